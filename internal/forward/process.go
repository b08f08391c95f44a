package forward

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"net/url"
	"syscall"
	"time"

	"github.com/rotisserie/eris"
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
	// bootTimeout is the time within which a live service states its process.
	bootTimeout = 2 * time.Second
	// maxBootWait bounds the time for which an answer waits for its process: for a question that others have sent
	// before and for the next one.
	maxBootWait = 2 * bootTimeout
	// maxBootConns bounds the connections to one replica over which its process is asked for.
	maxBootConns = 4
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

// checkUnframed returns an error if an answer that ended with its connection may be incomplete: the kernel closes the
// connections of a process that was killed in the same way as the replica does after the last byte. boot is the process
// that the answer states, if any.
func (c *Client) checkUnframed(ctx context.Context, call *ServiceCall, boot string) error {
	if boot != "" {
		return c.checkBoot(ctx, call.Address, boot)
	}
	if c.endedWithProcess(ctx, call) {
		return eris.Wrap(ErrBroken, "answer without a length ended with its process")
	}
	return nil
}

// checkBoot returns an error unless the process still answers at the address. The questions need no new connection while
// one of an earlier check is open, and serve all answers that ended before they are sent. Refusals and connections that
// end without an answer are tried again for a while, as they may come from something in between.
func (c *Client) checkBoot(ctx context.Context, address, boot string) error {
	ctx, cancel := context.WithTimeout(ctx, maxBootWait)
	defer cancel()
	var last time.Time // when refusals are tried again for the last time
	for {
		answering, err := c.questions.askNow(ctx, address)
		if last.IsZero() {
			last = time.Now().Add(inspectTimeout)
		}
		switch {
		case answering == boot:
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
func (c *Client) requestBoot(ctx context.Context, address string) (string, error) {
	request := &http.Request{
		Method: http.MethodHead, // the answer has no body, so that the connection is kept
		URL:    &url.URL{Scheme: c.scheme, Host: address, Path: bootPath},
		Header: make(http.Header),
	}
	response, err := c.process.RoundTrip(request.WithContext(ctx))
	if err != nil {
		return "", err
	}
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

// endedWithProcess reports whether nothing listens at the replica's address any more. For a repeatable call the refusal
// shows nothing while the service's other replicas cannot be reached either. A call that may not be made again then has
// an unknown outcome, as its answer would be kept for the key.
func (c *Client) endedWithProcess(ctx context.Context, call *ServiceCall) bool {
	ctx, cancel := context.WithTimeout(ctx, inspectTimeout)
	defer cancel()
	if !errors.Is(c.connect(ctx, call.Address), syscall.ECONNREFUSED) {
		return false
	}
	var others []string
	if call.Others != nil {
		others = call.Others()
	}
	if !call.Repeatable || len(others) == 0 {
		return true
	}
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
