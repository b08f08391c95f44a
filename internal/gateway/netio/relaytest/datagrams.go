package relaytest

import (
	"math/rand/v2"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

// DatagramFault is what happens to datagrams.
type DatagramFault struct {
	// Loss is the share that is dropped, Doubled that of which a second copy is sent, Latency and Jitter of its own later.
	Loss, Doubled float64
	// Latency delays each datagram, by up to Jitter more or less, so that some overtake others.
	Latency, Jitter time.Duration
}

// Datagrams forwards UDP datagrams to a target. Answers do not pass.
type Datagrams struct {
	socket *net.UDPConn
	target *net.UDPAddr
	passed atomic.Int64

	mu     sync.Mutex
	faults []*DatagramFault
}

// NewDatagrams starts a relay that listens on the given address. The caller must Close it.
func NewDatagrams(address, target string) (*Datagrams, error) {
	to, err := net.ResolveUDPAddr("udp4", target)
	if err != nil {
		return nil, err
	}
	at, err := net.ResolveUDPAddr("udp4", address)
	if err != nil {
		return nil, err
	}
	socket, err := net.ListenUDP("udp4", at)
	if err != nil {
		return nil, err
	}
	d := &Datagrams{socket: socket, target: to}
	go d.forward()
	return d, nil
}

// Address returns the IP:port of the relay.
func (d *Datagrams) Address() string { return d.socket.LocalAddr().String() }

// Close stops the relay.
func (d *Datagrams) Close() { _ = d.socket.Close() }

// Begin begins a fault, which lasts until end is called. Others that overlap last on.
func (d *Datagrams) Begin(f DatagramFault) (end func()) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.faults = append(d.faults, &f)
	return func() {
		d.mu.Lock()
		defer d.mu.Unlock()
		d.faults = slices.DeleteFunc(d.faults, func(other *DatagramFault) bool { return other == &f })
	}
}

func (d *Datagrams) forward() {
	buffer := make([]byte, 64<<10)
	for {
		n, _, err := d.socket.ReadFromUDP(buffer)
		if err != nil {
			return // the relay is closed: nothing is sent back, so that no target refuses
		}
		data := slices.Clone(buffer[:n])
		for _, delay := range d.delays() {
			if delay <= 0 {
				d.send(data)
			} else {
				time.AfterFunc(delay, func() { d.send(data) })
			}
		}
	}
}

// send sends a datagram. A socket that is not connected hears of no refusal.
func (d *Datagrams) send(data []byte) {
	_, _ = d.socket.WriteToUDP(data, d.target)
	d.passed.Add(1)
}

// Passed returns how many datagrams went on.
func (d *Datagrams) Passed() int64 { return d.passed.Load() }

// delays returns after which times copies of a datagram go on.
func (d *Datagrams) delays() []time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	copies := []time.Duration{0}
	for _, f := range d.faults {
		if rand.Float64() < f.Loss {
			return nil
		}
		if rand.Float64() < f.Doubled {
			copies = append(copies, copies...)
		}
		for i := range copies {
			copies[i] += f.Latency
			if f.Jitter > 0 {
				copies[i] += rand.N(2*f.Jitter) - f.Jitter
			}
		}
	}
	return copies
}
