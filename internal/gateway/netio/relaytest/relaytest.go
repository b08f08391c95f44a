// Package relaytest provides a TCP relay for tests, whose connections can go silent.
package relaytest

import (
	"io"
	"net"
	"sync"
)

// Relay forwards connections to a target.
type Relay struct {
	target   string
	listener net.Listener

	mu     sync.Mutex
	silent map[net.Conn]chan struct{} // open connections of both sides; the channel is closed when one goes silent
	closed chan struct{}
}

// New starts a relay to an address on a loopback address. The caller must Close it.
func New(target string) (*Relay, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	r := &Relay{target: target, listener: listener, silent: make(map[net.Conn]chan struct{}), closed: make(chan struct{})}
	go r.accept()
	return r, nil
}

// Address returns the IP:port of the relay.
func (r *Relay) Address() string { return r.listener.Addr().String() }

// Silence stops forwarding on all open connections, in both directions and for good. They stay open, and what is
// sent on them is acknowledged, so that only a timeout shows it. Later connections work.
func (r *Relay) Silence() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for c, silent := range r.silent {
		select {
		case <-silent:
		default:
			close(silent)
		}
		delete(r.silent, c)
	}
}

// Close stops the relay and closes its connections.
func (r *Relay) Close() {
	_ = r.listener.Close()
	close(r.closed)
}

func (r *Relay) accept() {
	for {
		caller, err := r.listener.Accept()
		if err != nil {
			return // the relay is closed
		}
		server, err := net.Dial("tcp", r.target)
		if err != nil {
			_ = caller.Close()
			continue
		}
		silent := make(chan struct{})
		r.mu.Lock()
		r.silent[caller] = silent
		r.mu.Unlock()
		go r.forward(caller, server, silent)
		go r.forward(server, caller, silent)
	}
}

// forward copies bytes until one side closes its connection, and drops them once the connection is silent.
func (r *Relay) forward(from, to net.Conn, silent chan struct{}) {
	_, _ = io.Copy(gate{to, silent}, from) // fails when either side closes
	select {
	case <-silent:
		<-r.closed // the other side is not told
	default:
	}
	_ = from.Close()
	_ = to.Close()
}

// gate drops what is written once the connection is silent.
type gate struct {
	net.Conn
	silent chan struct{}
}

// Write implements io.Writer.
func (g gate) Write(p []byte) (int, error) {
	select {
	case <-g.silent:
		return len(p), nil
	default:
		return g.Conn.Write(p)
	}
}
