package forward

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"syscall"
	"time"

	"github.com/rotisserie/eris"

	"heatherbarrow/internal/connends"
)

const (
	// bootHeader identifies one start of the process that gives an answer of a plain service.
	bootHeader = "Heatherbarrow-Boot"
	// bootPath is requested to learn which process answers now. An answer with any status tells.
	bootPath = "/heatherbarrow/boot"
	// inspectTimeout is the time within which a live replica accepts a connection.
	inspectTimeout = 500 * time.Millisecond
	// inspectInterval is the time between two tries to reach a replica.
	inspectInterval = 100 * time.Millisecond
	// bootTimeout is the time within which a live service states its process, or accepts a connection although it is busy.
	bootTimeout = 2 * time.Second
	// maxBootWait bounds the time for which an answer waits for its process: for a question that others have sent
	// before and for the next one.
	maxBootWait = 2 * bootTimeout
	// maxBootConns bounds the connections to one replica over which its process is asked for.
	maxBootConns = 4
	// endsArriveTime is the time within which the ends of connections that something on the way ended together arrive.
	endsArriveTime = 10 * time.Millisecond
	// maxWitnesses bounds the replicas that are asked at a time whether this host can open connections.
	maxWitnesses = 8
)

var (
	// errNoBoot means that an answer does not state its process.
	errNoBoot = errors.New("answer states no process")
	// errNoAnswer means that a question for a process was not answered in time.
	errNoAnswer = errors.New("no answer in time")
)

// isUnframed reports whether the body of an answer has neither a length nor chunks and ends with its connection.
func isUnframed(response *http.Response) bool {
	return response.ContentLength < 0 && len(response.TransferEncoding) == 0 && response.Body != http.NoBody
}

// unframedEnd is the end of an answer without a length or chunks.
type unframedEnd struct {
	conn *connends.Conn // nil if unknown
	at   time.Time      // when it was read
	boot string         // the process that the answer states, if any
}

// checkUnframed returns an error if an answer that ended with its connection may be incomplete: the kernel closes the
// connections of a process that was killed in the same way as the replica does after the last byte, a replica that stops
// work when the time of the call is over does so too, and what cuts connections on the way leaves the process alive.
func (c *Client) checkUnframed(ctx context.Context, call *ServiceCall, end *unframedEnd) error {
	if deadline, bounded := ctx.Deadline(); bounded && deadline.Sub(end.at) <= connends.DeadlineMargin {
		return eris.Wrap(ErrTimeout, "answer without a length ended as its time was over")
	}
	check := c.checkListener
	if end.boot != "" {
		check = c.checkBoot
	}
	if err := check(ctx, call, end); err != nil || end.conn == nil {
		return err
	}
	c.ends.AwaitOthers(ctx, end.conn, end.at, endsArriveTime)
	if seen := c.ends.EndOfAnswer(end.conn, end.at); seen.Cut {
		return eris.Wrapf(ErrBroken, "answer without a length ended together with %d other connections, and %d other replicas had such ends", seen.Ended, seen.Elsewhere)
	}
	return nil
}

// checkBoot returns an error unless the process still answers at the address. The questions need no new connection while
// one of an earlier check is open, and serve all answers that ended before they are sent. Refusals and connections that
// end without an answer are tried again for a while, as they may come from something in between.
func (c *Client) checkBoot(ctx context.Context, call *ServiceCall, end *unframedEnd) error {
	ctx, cancel := context.WithTimeout(ctx, maxBootWait)
	defer cancel()
	var last time.Time // when refusals are tried again for the last time
	for {
		answering, err := c.questions.askNow(ctx, call.Address)
		if last.IsZero() {
			last = time.Now().Add(inspectTimeout)
		}
		switch {
		case answering == end.boot:
			return nil
		case answering != "":
			return eris.Wrap(ErrBroken, "answer without a length ended, and another process answers")
		case ctx.Err() != nil, errors.Is(err, errNoAnswer):
			return eris.Wrap(ErrTimeout, "answer without a length ended, and its process does not answer")
		case time.Now().After(last):
			return eris.Wrapf(ErrBroken, "answer without a length ended, and its process did not answer again: %v", err)
		}
		pause(ctx, inspectInterval)
	}
}

// requestBoot returns the process that answers at an address. It is empty if there is an error.
func (c *Client) requestBoot(ctx context.Context, transport http.RoundTripper, address string) (string, error) {
	request := &http.Request{
		Method: http.MethodHead, // the answer has no body, so that the connection is kept
		URL:    &url.URL{Scheme: c.scheme, Host: address, Path: bootPath},
		Header: make(http.Header),
	}
	tracker := &sendTracker{ends: &c.ends, question: true}
	response, err := transport.RoundTrip(request.WithContext(httptrace.WithClientTrace(ctx, tracker.trace())))
	if err != nil {
		return "", err
	}
	tracker.gotHead(response)
	_ = response.Body.Close() // an answer to HEAD has none
	boot := response.Header.Get(bootHeader)
	if boot == "" {
		return "", errNoBoot
	}
	return boot, nil
}

func pause(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// checkListener returns an error unless something listens at the replica's address, or neither accepts nor refuses connections while
// others to it live on, as of a replica that is full.
func (c *Client) checkListener(ctx context.Context, call *ServiceCall, end *unframedEnd) error {
	err := c.probe(ctx, call.Address)
	switch {
	case err == nil:
		return nil
	case !errors.Is(err, syscall.ECONNREFUSED) && c.othersOpen(end):
		return nil
	case !errors.Is(err, syscall.ECONNREFUSED):
		return eris.Wrapf(ErrTimeout, "answer without a length ended, and its replica cannot be reached: %v", err)
	case c.refusalShowsEnd(ctx, call):
		return eris.Wrap(ErrBroken, "answer without a length ended with its process")
	}
	return nil
}

// othersOpen reports whether other connections to the replica of an answer live on that were opened before its end.
func (c *Client) othersOpen(end *unframedEnd) bool {
	if end.conn == nil {
		return false
	}
	open, _ := c.ends.Others(end.conn, end.at, end.conn.Address())
	return open
}

// probe opens a connection to an address, for which a live replica has as long as for an answer to a question.
func (c *Client) probe(ctx context.Context, address string) error {
	ctx, cancel := context.WithTimeout(ctx, bootTimeout)
	defer cancel()
	return c.connect(ctx, address)
}

// refusalShowsEnd reports whether a refused connection shows that the replica's process ended. For a repeatable call it
// shows nothing while the service's other replicas cannot be reached either. A call that may not be made again then has
// an unknown outcome, as its answer would be kept for the key.
func (c *Client) refusalShowsEnd(ctx context.Context, call *ServiceCall) bool {
	var others []string
	if call.Others != nil {
		others = call.Others()
	}
	if !call.Repeatable || len(others) == 0 {
		return true
	}
	ctx, cancel := context.WithTimeout(ctx, inspectTimeout)
	defer cancel()
	return c.anyAccepts(ctx, others)
}

// anyAccepts reports whether one of the addresses accepts a connection before ctx ends.
func (c *Client) anyAccepts(ctx context.Context, addresses []string) bool {
	accepted := make(chan struct{}, 1)
	for ctx.Err() == nil {
		rand.Shuffle(len(addresses), func(i, j int) { addresses[i], addresses[j] = addresses[j], addresses[i] })
		for _, address := range addresses[:min(len(addresses), maxWitnesses)] {
			go func() {
				if c.connect(ctx, address) != nil {
					return
				}
				select {
				case accepted <- struct{}{}:
				default:
				}
			}()
		}
		select {
		case <-accepted:
			return true
		case <-ctx.Done():
		case <-time.After(inspectInterval):
		}
	}
	return len(accepted) > 0
}

// connect reports whether a connection to an address can be opened.
func (c *Client) connect(ctx context.Context, address string) error {
	conn, err := c.dial(ctx, "tcp", address)
	if err != nil {
		return err
	}
	_ = conn.Close() // it only served as a probe
	return nil
}
