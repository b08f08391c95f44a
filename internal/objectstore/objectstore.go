// Package objectstore is the client of the platform's object API: objects with
// versions, conditional updates, lists and watches, and the list of hosts.
package objectstore

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
	// ErrNotModified means that the list of hosts still has the known version.
	ErrNotModified = errors.New("list not modified")
	// ErrTooLarge means that a list is longer than the client reads. Lists of longer
	// prefixes return parts of it.
	ErrTooLarge = errors.New("platform list too large")
)

// MaxValueBytes is the largest value that the platform holds.
const MaxValueBytes = 1 << 20

// maxAnswerBytes bounds an answer; a list returns many values. It is several times
// MaxValueBytes, and bounds what a host holds while it reads a long list in parts.
const maxAnswerBytes = 16 << 20

// Object is a named value with a version that the platform raises on each
// write. Versions are unique and increasing over all objects.
type Object struct {
	Kind    string          `json:"kind"`
	Name    string          `json:"name"`
	Version uint64          `json:"version"`
	Value   json.RawMessage `json:"value,omitempty"`
	Deleted bool            `json:"deleted,omitempty"` // in watch events only
	// Era is that of the store when it answered a read or write of this object alone, see Revisions.Era.
	Era uint64 `json:"-"`
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
	// Version is the entity tag of the list; empty when the platform gave none.
	Version string `json:"-"`
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

// List returns the objects of a kind whose names begin with prefix, in order of name,
// or ErrTooLarge.
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

// Hosts returns the platform's list of hosts, or ErrNotModified when the list
// still has the known version. With an empty version the list is read whole.
func (c *Client) Hosts(ctx context.Context, known string) (HostList, error) {
	var out HostList
	header, err := c.readIfChanged(ctx, "/v1/hosts", known, &out)
	out.Version = header.Get("ETag")
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
	_, err := c.readIfChanged(ctx, path, "", out)
	return err
}

// readIfChanged returns the answer's header. A version, unless empty, makes the
// read conditional.
func (c *Client) readIfChanged(ctx context.Context, path, version string, out any) (http.Header, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, c.base+path, nil)
	if err != nil {
		return nil, eris.Wrap(err, "build platform request")
	}
	if version != "" {
		request.Header.Set("If-None-Match", version)
	}
	response, body, err := c.do(request)
	switch {
	case errors.Is(err, ErrRateLimited), errors.Is(err, ErrTooLarge):
		return nil, eris.Wrapf(err, "GET %s", path)
	case err != nil:
		return nil, eris.Wrapf(ErrUnavailable, "GET %s: %v", path, err)
	case response.StatusCode == http.StatusNotFound:
		return nil, ErrNotFound
	case response.StatusCode == http.StatusNotModified && version != "":
		return nil, ErrNotModified
	case response.StatusCode != http.StatusOK:
		return nil, eris.Wrapf(ErrUnavailable, "GET %s: status %d", path, response.StatusCode)
	}
	if err := json.Unmarshal(body, out); err != nil {
		return nil, eris.Wrapf(ErrUnavailable, "GET %s: %v", path, err)
	}
	return response.Header, nil
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
	response, body, err := c.do(request)
	if errors.Is(err, ErrRateLimited) {
		return Object{}, eris.Wrapf(err, "%s %s/%s", method, kind, name)
	}
	if err != nil {
		return Object{}, eris.Wrapf(ErrUncertain, "%s %s/%s: %v", method, kind, name, err)
	}
	switch response.StatusCode {
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
		return Object{}, eris.Wrapf(ErrUncertain, "%s %s/%s: status %d", method, kind, name, response.StatusCode)
	}
}

// do makes a call and reads the answer, whose body is closed already. An error
// that is ErrRateLimited means that nothing was done.
func (c *Client) do(request *http.Request) (*http.Response, []byte, error) {
	if err := c.limits.wait(request.Context(), request.Method); err != nil {
		return nil, nil, err
	}
	c.calls.Add(1)
	response, err := c.http.Do(request)
	if err != nil {
		return nil, nil, err
	}
	defer func() { _ = response.Body.Close() }()
	if response.ContentLength > maxAnswerBytes {
		return nil, nil, ErrTooLarge
	}
	body, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes+1))
	if err != nil {
		return nil, nil, err
	}
	if len(body) > maxAnswerBytes {
		return nil, nil, ErrTooLarge
	}
	// A proxy or a broken platform may answer 5xx: that is no sign of life.
	if response.StatusCode < http.StatusInternalServerError {
		c.last.Store(time.Now().UnixNano())
	}
	if response.StatusCode == http.StatusTooManyRequests {
		c.limits.note(request.Method, response.Header)
		return nil, nil, ErrRateLimited
	}
	return response, body, nil
}
