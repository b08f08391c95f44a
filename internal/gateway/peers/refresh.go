package peers

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"heatherbarrow/internal/gateway/state"
)

// What a host knows says nothing of what the others have learned since. Where a decision needs that there is nothing newer, such
// as a further software version, the host reads the store after the request has come, by itself or through another host.

const (
	// storeReadTimeout bounds a read of the store for a decision. A slow store takes a few hundred milliseconds.
	storeReadTimeout = 400 * time.Millisecond
	// storeReadPause is the pause between two such reads of a host. All decisions that come meanwhile share the next one.
	storeReadPause = 20 * time.Millisecond
	// streamReadPause is the same for reads of the streams that hosts have written. One read brings all of them, so that a further one
	// serves only streams that were begun shortly before their host ended.
	streamReadPause = 200 * time.Millisecond
	// maxStoreReaders is the number of hosts that are asked to read the store for this one.
	maxStoreReaders = 2
)

var (
	errStoreLost  = errors.New("the store cannot be reached, and no other host reaches it")
	errNotCurrent = errors.New("the host cannot tell whether its registrations are up to date")
)

// sharedCall makes calls for all that wait for one. None waits for a call that began before it asked.
type sharedCall struct {
	call  func(ctx context.Context) error
	pause time.Duration // between two calls

	mu      sync.Mutex
	next    *sharedResult // of the call that begins next; nil if nobody waits for it
	current *sharedResult // of the latest call
	running bool
}

type sharedResult struct {
	done chan struct{} // closed when err is set
	err  error
}

// do waits for a call that begins after do, or until ctx ends.
func (c *sharedCall) do(ctx context.Context) error {
	c.mu.Lock()
	if c.next == nil {
		c.next = &sharedResult{done: make(chan struct{})}
	}
	result := c.next
	if !c.running {
		c.running = true
		go c.run()
	}
	c.mu.Unlock()
	select {
	case <-result.done:
		return result.err
	case <-ctx.Done():
		return ctx.Err()
	}
}

// join waits for the call in progress, if there is one, or until ctx ends. It may have begun before join.
func (c *sharedCall) join(ctx context.Context) {
	c.mu.Lock()
	current := c.current
	c.mu.Unlock()
	if current == nil {
		return
	}
	select {
	case <-current.done:
	case <-ctx.Done():
	}
}

// take returns the result of the next call, or nil if nobody waits for one.
func (c *sharedCall) take() *sharedResult {
	c.mu.Lock()
	defer c.mu.Unlock()
	result := c.next
	c.next, c.current, c.running = nil, result, result != nil
	return result
}

// run makes calls as long as somebody waits for one.
func (c *sharedCall) run() {
	for result := c.take(); result != nil; result = c.take() {
		result.err = c.call(context.Background())
		close(result.done)
		time.Sleep(c.pause)
	}
}

// Refresh brings the registrations up to date. When it returns nil, they include all changes that the store had confirmed
// when it was called.
func (e *Exchange) Refresh(ctx context.Context) error { return e.refresh.do(ctx) }

// readStore is the call of e.storeReads.
func (e *Exchange) readStore(ctx context.Context) error {
	if e.opts.ReadMembers == nil || e.opts.State.StoreLost() {
		return errStoreLost
	}
	ctx, cancel := context.WithTimeout(ctx, storeReadTimeout)
	defer cancel()
	return e.opts.ReadMembers(ctx)
}

// readStreams is the call of e.streamReads.
func (e *Exchange) readStreams(ctx context.Context) error {
	if e.opts.ReadStreams == nil || e.opts.State.StoreLost() {
		return errStoreLost
	}
	ctx, cancel := context.WithTimeout(ctx, storeReadTimeout)
	defer cancel()
	return e.opts.ReadStreams(ctx)
}

// refreshMembers is the call of e.refresh. A host that does not follow the store leaves the read to one that does, so that the
// number of reads does not grow with that of the hosts.
func (e *Exchange) refreshMembers(ctx context.Context) error {
	follows := e.opts.Role.Following()
	if follows && e.storeReads.do(ctx) == nil {
		return nil
	}
	if e.pullCurrent(ctx, e.storeReaders(time.Now())) {
		return nil
	}
	if follows {
		return errStoreLost
	}
	return e.storeReads.do(ctx)
}

// pullCurrent pulls from hosts at the same time what the store has now, and reports whether one of them could tell it.
func (e *Exchange) pullCurrent(ctx context.Context, addresses []string) bool {
	ctx, cancel := context.WithTimeout(ctx, storeReadTimeout)
	defer cancel()
	results := make(chan error, len(addresses))
	for _, address := range addresses {
		go func() { results <- e.pull(ctx, address, true) }()
	}
	for range addresses {
		err := <-results
		if err == nil {
			return true
		}
		e.opts.Logger.Debug().Err(err).Msg("host cannot read the store for this one")
	}
	return false
}

// storeReaders returns the addresses of hosts that seem to reach the store: first those of this zone that follow it.
func (e *Exchange) storeReaders(now time.Time) (addresses []string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	var readers []*peer
	for _, p := range e.peers {
		if p.storeReachable && now.Sub(later(p.lastHeartbeat, p.lastInDigest)) < silenceTimeout {
			readers = append(readers, p)
		}
	}
	rand.Shuffle(len(readers), func(i, j int) { readers[i], readers[j] = readers[j], readers[i] })
	slices.SortStableFunc(readers, func(a, b *peer) int {
		nearA, nearB := a.zone == e.opts.Zone, b.zone == e.opts.Zone
		switch {
		case nearA && nearB:
			return state.CompareRank(a.host, b.host)
		case nearA:
			return -1
		case nearB:
			return 1
		}
		return 0 // as shuffled
	})
	for _, p := range readers[:min(len(readers), maxStoreReaders)] {
		addresses = append(addresses, p.address)
	}
	return addresses
}
