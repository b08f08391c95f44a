// Package platform is the client of the platform's object API: objects with
// versions, conditional updates, lists and watches, and the list of hosts.
package platform

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rotisserie/eris"
)

// Errors of the object API.
var (
	// ErrNotFound means that no object has the name.
	ErrNotFound = errors.New("object not found")
	// ErrConflict means that the condition of an update did not hold: nothing was written.
	ErrConflict = errors.New("object version conflict")
	// ErrUncertain means that a write was sent and its answer was lost: it may
	// or may not have taken effect.
	ErrUncertain = errors.New("answer to a write was lost")
	// ErrUnavailable means that the platform did not answer a read or refused a call.
	ErrUnavailable = errors.New("platform unavailable")
	// ErrRateLimited means that the platform refused a call because of its rate,
	// or that the call was held back after such an answer: nothing was done. It is
	// an ErrUnavailable too.
	ErrRateLimited = fmt.Errorf("rate limit: %w", ErrUnavailable)
)

// MaxValueBytes is the largest value that the platform holds.
const MaxValueBytes = 1 << 20

// maxAnswerBytes bounds an answer; a list returns many values.
const maxAnswerBytes = 64 << 20

// Object is a named value with a version that the platform raises on each
// write. Versions are unique and increasing over all objects.
type Object struct {
	Kind    string          `json:"kind"`
	Name    string          `json:"name"`
	Version uint64          `json:"version"`
	Value   json.RawMessage `json:"value,omitempty"`
	Deleted bool            `json:"deleted,omitempty"` // in watch events only
}

// Host is an entry of the platform's list of hosts.
type Host struct {
	Name             string `json:"name"`
	AvailabilityZone string `json:"availability_zone"`
	PeerAddress      string `json:"peer_address,omitempty"`
	State            string `json:"state"` // "live" or "leaving"
}

// Upstream is an entry of the platform's list of upstream replicas.
type Upstream struct {
	Upstream string `json:"upstream"`
	Replica  string `json:"replica"`
	State    string `json:"state"` // "live" or "leaving"
}

// HostList is the platform's lagging list of hosts and upstream replicas.
type HostList struct {
	Hosts     []Host     `json:"hosts"`
	Upstreams []Upstream `json:"upstreams"`
}

// Client calls the platform.
type Client struct {
	base   string
	http   *http.Client
	calls  atomic.Uint64
	last   atomic.Int64 // unix nanoseconds of the last answer
	limits limits
}

// NewClient returns a client for the API at base, for example "http://10.0.0.1:7000".
func NewClient(base string, httpClient *http.Client) *Client {
	return &Client{base: strings.TrimSuffix(base, "/"), http: httpClient, limits: limits{clock: clockwork.NewRealClock()}}
}

// Calls returns the number of calls made.
func (c *Client) Calls() uint64 { return c.calls.Load() }

// RateLimited returns the number of calls that the platform refused by rate.
func (c *Client) RateLimited() uint64 { return c.limits.refused.Load() }

// LastAnswer returns when the platform last answered; zero when never.
func (c *Client) LastAnswer() time.Time {
	if n := c.last.Load(); n != 0 {
		return time.Unix(0, n)
	}
	return time.Time{}
}

// Get returns the object.
func (c *Client) Get(ctx context.Context, kind, name string) (Object, error) {
	var o Object
	err := c.read(ctx, objectPath(kind, name), &o)
	return o, err
}

// List returns the objects of a kind whose names begin with prefix, in order of name.
func (c *Client) List(ctx context.Context, kind, prefix string) ([]Object, error) {
	var out struct {
		Objects []Object `json:"objects"`
	}
	err := c.read(ctx, "/v1/objects/"+url.PathEscape(kind)+"?prefix="+url.QueryEscape(prefix), &out)
	return out.Objects, err
}

// Watch waits until an object of the kind has a version above after, or until
// the platform ends the wait. It returns the changed objects, oldest first.
func (c *Client) Watch(ctx context.Context, kind string, after uint64) ([]Object, error) {
	var out struct {
		Objects []Object `json:"objects"`
	}
	path := fmt.Sprintf("/v1/watch/%s?after=%d", url.PathEscape(kind), after)
	err := c.read(ctx, path, &out)
	return out.Objects, err
}

// Hosts returns the platform's list of hosts.
func (c *Client) Hosts(ctx context.Context) (HostList, error) {
	var out HostList
	err := c.read(ctx, "/v1/hosts", &out)
	return out, err
}

// Create writes an object that must not exist yet.
func (c *Client) Create(ctx context.Context, kind, name string, value any) (Object, error) {
	return c.write(ctx, http.MethodPut, kind, name, "If-None-Match", "*", value)
}

// Update writes an object that must have the given version.
func (c *Client) Update(ctx context.Context, kind, name string, version uint64, value any) (Object, error) {
	return c.write(ctx, http.MethodPut, kind, name, "If-Match", strconv.FormatUint(version, 10), value)
}

// Delete removes an object that must have the given version.
func (c *Client) Delete(ctx context.Context, kind, name string, version uint64) error {
	_, err := c.write(ctx, http.MethodDelete, kind, name, "If-Match", strconv.FormatUint(version, 10), nil)
	return err
}

func objectPath(kind, name string) string {
	return "/v1/objects/" + url.PathEscape(kind) + "/" + url.PathEscape(name)
}

func (c *Client) read(ctx context.Context, path string, out any) error {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, c.base+path, nil)
	if err != nil {
		return eris.Wrap(err, "build platform request")
	}
	status, body, err := c.do(request)
	switch {
	case errors.Is(err, ErrRateLimited):
		return eris.Wrapf(err, "GET %s", path)
	case err != nil:
		return eris.Wrapf(ErrUnavailable, "GET %s: %v", path, err)
	case status == http.StatusNotFound:
		return ErrNotFound
	case status != http.StatusOK:
		return eris.Wrapf(ErrUnavailable, "GET %s: status %d", path, status)
	}
	if err := json.Unmarshal(body, out); err != nil {
		return eris.Wrapf(ErrUnavailable, "GET %s: %v", path, err)
	}
	return nil
}

func (c *Client) write(ctx context.Context, method, kind, name, header, condition string, value any) (Object, error) {
	var payload []byte
	if value != nil {
		var err error
		if payload, err = json.Marshal(value); err != nil {
			return Object{}, eris.Wrap(err, "encode object value")
		}
		if len(payload) > MaxValueBytes {
			return Object{}, eris.Errorf("value of %s/%s has %d bytes, the platform holds %d", kind, name, len(payload), MaxValueBytes)
		}
	}
	request, err := http.NewRequestWithContext(ctx, method, c.base+objectPath(kind, name), bytes.NewReader(payload))
	if err != nil {
		return Object{}, eris.Wrap(err, "build platform request")
	}
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set(header, condition)
	status, body, err := c.do(request)
	if errors.Is(err, ErrRateLimited) {
		return Object{}, eris.Wrapf(err, "%s %s/%s", method, kind, name)
	}
	if err != nil {
		return Object{}, eris.Wrapf(ErrUncertain, "%s %s/%s: %v", method, kind, name, err)
	}
	switch status {
	case http.StatusOK, http.StatusCreated:
		var o Object
		if err := json.Unmarshal(body, &o); err != nil {
			return Object{}, eris.Wrapf(ErrUncertain, "%s %s/%s: %v", method, kind, name, err)
		}
		return o, nil
	case http.StatusPreconditionFailed:
		return Object{}, ErrConflict
	case http.StatusNotFound:
		return Object{}, ErrNotFound
	default:
		return Object{}, eris.Wrapf(ErrUncertain, "%s %s/%s: status %d", method, kind, name, status)
	}
}

// do makes a call. An error that is ErrRateLimited means that nothing was done.
func (c *Client) do(request *http.Request) (int, []byte, error) {
	if err := c.limits.wait(request.Context(), request.Method); err != nil {
		return 0, nil, err
	}
	c.calls.Add(1)
	response, err := c.http.Do(request)
	if err != nil {
		return 0, nil, err
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes))
	if err != nil {
		return 0, nil, err
	}
	// A proxy or a broken platform may answer 5xx: that is no sign of life.
	if response.StatusCode < http.StatusInternalServerError {
		c.last.Store(time.Now().UnixNano())
	}
	if response.StatusCode == http.StatusTooManyRequests {
		c.limits.note(request.Method, response.Header)
		return 0, nil, ErrRateLimited
	}
	return response.StatusCode, body, nil
}
