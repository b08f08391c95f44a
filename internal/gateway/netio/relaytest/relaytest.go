// Package relaytest provides relays for tests, of TCP connections and of UDP datagrams, which can be harmed in many ways.
package relaytest

import (
	"context"
	"math/rand/v2"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

// Direction is that of the bytes on a connection.
type Direction int

// The directions, as seen from the caller.
const (
	ToTarget Direction = iota
	FromTarget
)

// Fault is what happens to the bytes of one direction, on the connections that are open and on later ones.
type Fault struct {
	Direction Direction
	// Silent drops the bytes, and the end of the connection too. They are acknowledged, so that only a timeout shows
	// it. The connections are closed when no fault that is Silent lasts any more, as they lack bytes.
	Silent bool
	// ResetAtEnd resets the connections that a Silent fault closes at its end, as an orderly end tells the peers that they
	// have all bytes.
	ResetAtEnd bool
	// Reset resets a connection when bytes come.
	Reset bool
	// Latency delays the bytes, by up to Jitter more or less.
	Latency, Jitter time.Duration
	// PieceSize passes the bytes on in pieces of this size, PieceVariation more or less, with PieceDelay after each.
	PieceSize, PieceVariation int
	PieceDelay                time.Duration
}

// active is a fault that lasts.
type active struct {
	Fault
	ended chan struct{}
}

// Relay forwards connections to a target. No method waits for a peer.
type Relay struct {
	target, address string
	faults          atomic.Pointer[[]*active] // replaced while mu is held

	mu       sync.Mutex // never held during I/O with a peer
	listener net.Listener
	stopped  context.CancelFunc // ends the time of the listener
	open     map[*connection]struct{}
	closed   bool
}

// New starts a relay to an address on a loopback address. The caller must Close it.
func New(target string) (*Relay, error) { return NewAt("127.0.0.1:0", target) }

// NewAt is New for a relay that listens on the given address.
func NewAt(address, target string) (*Relay, error) {
	r := &Relay{target: target, address: address, open: make(map[*connection]struct{})}
	r.faults.Store(&[]*active{})
	return r, r.Start()
}

// Address returns the IP:port of the relay.
func (r *Relay) Address() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.address
}

// Start listens again, on the same address, after Stop.
func (r *Relay) Start() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.closed {
		return net.ErrClosed
	}
	if r.listener != nil {
		return nil
	}
	listener, err := net.Listen("tcp", r.address)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	r.listener, r.address, r.stopped = listener, listener.Addr().String(), cancel
	go r.accept(ctx, listener)
	return nil
}

// Stop closes the listener and all connections, as the end of the target's process does. Faults last on.
func (r *Relay) Stop() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.listener == nil {
		return
	}
	_ = r.listener.Close()
	r.stopped()
	r.listener = nil
	for c := range r.open {
		r.end(c, false)
	}
}

// CloseConnections closes all connections in order, as a proxy does that goes on. Later connections work.
func (r *Relay) CloseConnections() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for c := range r.open {
		r.end(c, false)
	}
}

// Close stops the relay for good.
func (r *Relay) Close() {
	r.Stop()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.closed = true
}

// Silence stops forwarding on all open connections, in both directions and for good. They stay open, and what is
// sent on them is acknowledged, so that only a timeout shows it. Later connections work.
func (r *Relay) Silence() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for c := range r.open {
		c.silent[ToTarget].Store(true)
		c.silent[FromTarget].Store(true)
		c.forGood = true
	}
}

// EndConnections closes a share of the open connections, chosen at random, in order, as if each side had closed them. Later
// connections work. It returns the addresses from which the target had those that it had.
func (r *Relay) EndConnections(share float64) (ended []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for c := range r.open {
		if rand.Float64() >= share {
			continue
		}
		if target := c.ends[1]; target != nil {
			ended = append(ended, target.LocalAddr().String())
		}
		r.end(c, false)
	}
	return ended
}

// EndOne closes one of the open connections, chosen at random, in order. Later connections work.
func (r *Relay) EndOne() {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := 0
	if len(r.open) > 0 {
		n = rand.IntN(len(r.open))
	}
	for c := range r.open {
		if n == 0 {
			r.end(c, false)
			return
		}
		n--
	}
}

// Begin begins a fault, which lasts until end is called. Others that overlap last on.
func (r *Relay) Begin(f Fault) (end func()) {
	a := &active{Fault: f, ended: make(chan struct{})}
	r.mu.Lock()
	defer r.mu.Unlock()
	faults := append(slices.Clone(*r.faults.Load()), a)
	r.faults.Store(&faults)
	for c := range r.open {
		if f.Silent {
			c.silent[f.Direction].Store(true)
			c.lacks = true
		}
		if f.Reset && c.waiting[f.Direction].Load() > 0 {
			r.end(c, true)
		}
	}
	return func() { r.finish(a) }
}

// Heal ends all faults.
func (r *Relay) Heal() {
	for _, a := range *r.faults.Load() {
		r.finish(a)
	}
}

func (r *Relay) finish(a *active) {
	r.mu.Lock()
	defer r.mu.Unlock()
	faults := slices.Clone(*r.faults.Load())
	at := slices.Index(faults, a)
	if at < 0 {
		return // it has ended before
	}
	faults = slices.Delete(faults, at, at+1)
	r.faults.Store(&faults)
	close(a.ended)
	if slices.ContainsFunc(faults, func(other *active) bool { return other.Silent }) {
		return
	}
	for c := range r.open {
		if c.lacks && !c.forGood {
			r.end(c, a.ResetAtEnd)
		}
	}
}

// acting returns the faults of a direction.
func (r *Relay) acting(d Direction) (faults []*active) {
	for _, a := range *r.faults.Load() {
		if a.Direction == d {
			faults = append(faults, a)
		}
	}
	return faults
}

func (r *Relay) accept(ctx context.Context, listener net.Listener) {
	for {
		caller, err := listener.Accept()
		if err != nil {
			return // the relay is stopped
		}
		c := &connection{relay: r, ends: [2]net.Conn{caller, nil}, closed: make(chan struct{})}
		if r.register(ctx, c) {
			go r.connect(ctx, c)
		}
	}
}

// register makes a connection one of the open ones, before the target can know of it, so that no fault passes it by.
func (r *Relay) register(ctx context.Context, c *connection) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.open[c] = struct{}{}
	if ctx.Err() != nil {
		r.end(c, false)
		return false
	}
	for _, a := range *r.faults.Load() {
		if a.Silent {
			c.silent[a.Direction].Store(true)
			c.lacks = true
		}
	}
	return true
}

func (r *Relay) connect(ctx context.Context, c *connection) {
	target, err := new(net.Dialer).DialContext(ctx, "tcp", r.target)
	r.mu.Lock()
	defer r.mu.Unlock()
	if err != nil {
		r.end(c, false)
		return
	}
	if _, open := r.open[c]; !open {
		_ = target.Close()
		return
	}
	c.ends[1] = target
	for _, d := range []Direction{ToTarget, FromTarget} {
		chunks := make(chan chunk, chunksWaiting)
		go c.read(d, chunks)
		go c.write(d, chunks)
	}
}

// end closes a connection. The caller holds r.mu; closing does not wait for the peer.
func (r *Relay) end(c *connection, reset bool) {
	if _, open := r.open[c]; !open {
		return
	}
	delete(r.open, c)
	close(c.closed)
	for _, end := range c.ends {
		if end == nil {
			continue // the target is still dialed
		}
		if tcp, ok := end.(*net.TCPConn); ok && reset {
			_ = tcp.SetLinger(0)
		}
		_ = end.Close()
	}
}

// connection is one of a caller, forwarded to the target.
type connection struct {
	relay   *Relay
	ends    [2]net.Conn // the caller's, and the target's once it is connected
	closed  chan struct{}
	silent  [2]atomic.Bool  // by direction; stays, as bytes are missing from then on
	waiting [2]atomic.Int64 // chunks read and not yet written, by direction

	// Guarded by the relay's mu.
	lacks, forGood bool // open during a fault that is Silent, and during Silence
}

// chunksWaiting is how many chunks wait in a direction until the relay reads no more.
const chunksWaiting = 64

// chunk is bytes as they were read.
type chunk struct {
	data []byte
	at   time.Time
}

func (c *connection) close(reset bool) {
	c.relay.mu.Lock()
	defer c.relay.mu.Unlock()
	c.relay.end(c, reset)
}

// read reads the bytes of a direction until the connection ends.
func (c *connection) read(d Direction, chunks chan<- chunk) {
	defer close(chunks)
	buffer := make([]byte, 32<<10)
	for {
		n, err := c.ends[d].Read(buffer)
		if n > 0 {
			c.waiting[d].Add(1)
			select {
			case chunks <- chunk{slices.Clone(buffer[:n]), time.Now()}:
			case <-c.closed:
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// write passes the bytes of a direction on.
func (c *connection) write(d Direction, chunks <-chan chunk) {
	for next := range chunks {
		if !c.pass(d, next) {
			return
		}
		c.waiting[d].Add(-1)
	}
	if !c.silent[d].Load() {
		c.close(false)
	}
}

// pass passes a chunk on as the faults allow, and reports whether the connection is still open.
func (c *connection) pass(d Direction, next chunk) bool {
	for _, a := range c.relay.acting(d) {
		if a.Latency > 0 {
			delay := a.Latency
			if a.Jitter > 0 {
				delay += rand.N(2*a.Jitter) - a.Jitter
			}
			c.wait(time.Until(next.at.Add(delay)), a)
		}
	}
	for data := next.data; len(data) > 0; {
		if c.silent[d].Load() {
			return true
		}
		size, slowest := len(data), (*active)(nil)
		for _, a := range c.relay.acting(d) {
			if a.Reset {
				c.close(true)
				return false
			}
			if a.PieceSize > 0 {
				piece := a.PieceSize
				if a.PieceVariation > 0 {
					piece += rand.N(2*a.PieceVariation) - a.PieceVariation
				}
				size, slowest = min(size, max(piece, 1)), a
			}
		}
		if _, err := c.ends[1-d].Write(data[:size]); err != nil {
			c.close(false)
			return false
		}
		data = data[size:]
		if slowest != nil {
			c.wait(slowest.PieceDelay, slowest)
		}
	}
	return true
}

// wait waits for a time, or until the fault or the connection ends.
func (c *connection) wait(delay time.Duration, a *active) {
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-a.ended:
	case <-c.closed:
	}
}
