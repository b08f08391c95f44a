package main

import (
	"context"
	"errors"
	"net"
	"sync"
)

// network opens the connections between the parts.
type network interface {
	listen() (net.Listener, error)
	dial(ctx context.Context, network, address string) (net.Conn, error)
}

// tcpNetwork is loopback TCP.
type tcpNetwork struct{}

func (tcpNetwork) listen() (net.Listener, error) { return net.Listen("tcp", "127.0.0.1:0") }

func (tcpNetwork) dial(ctx context.Context, network, address string) (net.Conn, error) {
	return (&net.Dialer{}).DialContext(ctx, network, address)
}

// memoryNetwork connects the parts without file descriptors.
type memoryNetwork struct {
	mu        sync.Mutex
	listeners map[string]*memoryListener
}

var errNoListener = errors.New("no part listens at this address")

func newMemoryNetwork() *memoryNetwork {
	return &memoryNetwork{listeners: make(map[string]*memoryListener)}
}

func (m *memoryNetwork) listen() (net.Listener, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	address := &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1), Port: len(m.listeners) + 1}
	l := &memoryListener{address: address, conns: make(chan net.Conn), closed: make(chan struct{})}
	m.listeners[address.String()] = l
	return l, nil
}

func (m *memoryNetwork) dial(ctx context.Context, _, address string) (net.Conn, error) {
	m.mu.Lock()
	l, ok := m.listeners[address]
	m.mu.Unlock()
	if !ok {
		return nil, errNoListener
	}
	near, far := net.Pipe()
	select {
	case l.conns <- far:
		return near, nil
	case <-l.closed:
		return nil, net.ErrClosed
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

type memoryListener struct {
	address *net.TCPAddr
	conns   chan net.Conn
	once    sync.Once
	closed  chan struct{}
}

// Accept implements net.Listener.
func (l *memoryListener) Accept() (net.Conn, error) {
	select {
	case conn := <-l.conns:
		return conn, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (l *memoryListener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return nil
}

// Addr implements net.Listener.
func (l *memoryListener) Addr() net.Addr { return l.address }
