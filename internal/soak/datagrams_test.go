package soak

import (
	"context"
	"math/rand/v2"
	"net"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"heatherbarrow/internal/gateway"
)

// datagramHarm is what happens to each datagram of a link. Those that are delayed by different times are reordered.
type datagramHarm struct {
	lost, doubled float64 // shares
	late          time.Duration
}

// datagramLink is the way of datagrams from one host to another.
type datagramLink struct {
	from, to int
	harm     atomic.Pointer[datagramHarm] // nil for none
}

// beatPort returns the port on which a host receives datagrams. Hosts send them to the port of their own on the
// address of the other host, where a datagramLink receives them.
func beatPort(i int) int { return 9100 + i }

func newDatagramLink(t *testing.T, from, to int, random *rand.Rand) *datagramLink {
	l := &datagramLink{from: from, to: to}
	address := net.ParseIP(hostAddress(to))
	socket, err := net.ListenUDP("udp4", &net.UDPAddr{IP: address, Port: beatPort(from)})
	require.NoError(t, err)
	t.Cleanup(func() { _ = socket.Close() })
	target := &net.UDPAddr{IP: address, Port: beatPort(to)}
	go func() {
		buffer := make([]byte, 1<<16)
		for {
			n, _, err := socket.ReadFromUDP(buffer)
			if err != nil {
				return
			}
			harm := l.harm.Load()
			if harm == nil {
				_, _ = socket.WriteToUDP(buffer[:n], target) // the host may have ended
				continue
			}
			if random.Float64() < harm.lost {
				continue
			}
			data, copies := slices.Clone(buffer[:n]), 1
			if random.Float64() < harm.doubled {
				copies = 2
			}
			for range copies {
				time.AfterFunc(time.Duration(random.Float64()*float64(harm.late)), func() { _, _ = socket.WriteToUDP(data, target) })
			}
		}
	}()
	return l
}

// relayDatagrams puts a link between each two hosts, in each direction. Hosts started with ownBeatPort use them.
func (rig *configRig) relayDatagrams(hosts int, seed uint64) {
	for from := range hosts {
		for to := range hosts {
			if from != to {
				random := rand.New(rand.NewPCG(seed, uint64(3000+from*hosts+to)))
				rig.datagrams = append(rig.datagrams, newDatagramLink(rig.t, from, to, random))
			}
		}
	}
}

func ownBeatPort(i int) func(*gateway.Settings) {
	return func(s *gateway.Settings) { s.BeatPort = beatPort(i) }
}

// harmDatagrams harms datagrams until ctx ends, while the store rejects hosts, which must learn changes from others,
// and drops its history without a word. It plays beside the other faults and excuses no host from what the judge asks.
func (rig *configRig) harmDatagrams(ctx context.Context, random *rand.Rand) {
	for ctx.Err() == nil {
		host, way := random.IntN(len(rig.hosts)), random.IntN(5)
		harm := &datagramHarm{
			lost: []float64{0, 0.3, 0.7, 1}[random.IntN(4)], doubled: []float64{0, 0.5}[random.IntN(2)],
			late: []time.Duration{0, 100 * time.Millisecond, 1500 * time.Millisecond}[random.IntN(3)],
		}
		other := (host + 1 + random.IntN(len(rig.hosts)-1)) % len(rig.hosts)
		var harmed []*datagramLink
		for _, l := range rig.datagrams {
			if way == 0 && l.from == host || way == 1 && l.to == host || way == 2 && l.from == host && l.to == other ||
				way == 3 && (l.from == host || l.to == host) && (l.from == other || l.to == other) || way == 4 && harm.lost < 1 {
				harmed = append(harmed, l)
				l.harm.Store(harm)
			}
		}
		var rejected []*storeFront
		mode := 1 + random.Int32N(frontModes-1)
		if n := random.IntN(len(rig.hosts)); random.IntN(2) == 0 {
			rejected = slices.Concat(rig.fronts, rig.fronts)[host : host+n]
		}
		from := time.Now()
		setModes(rejected, mode)
		silent := random.IntN(4) == 0
		if silent {
			rig.store.DropHistoryUnreported()
		}
		rig.t.Logf("%s datagrams of h%d (h%d), way %d: %+v; store rejects %d hosts from h%d, mode %d; history dropped: %v",
			clock(from), host, other, way, *harm, len(rejected), host, mode, silent)
		end := from.Add(time.Duration(500+random.IntN(6000)) * time.Millisecond)
		for ctx.Err() == nil && time.Now().Before(end) {
			// A key or a route is removed, or a route is added.
			rig.changeBy(random, random.Int64N(6), []int{0, 4, 5}[random.IntN(3)])
			time.Sleep(time.Duration(100+random.IntN(2000)) * time.Millisecond)
		}
		for _, l := range harmed {
			l.harm.Store(nil)
		}
		if len(rejected) > 0 {
			setModes(rejected, frontOpen)
			rig.note("", from, false, false)
		}
		time.Sleep(time.Duration(random.IntN(4000)) * time.Millisecond)
	}
}

// Guards against a link that passes nothing on, or that harms what it should not.
func TestDatagramLink(t *testing.T) {
	for name, c := range map[string]struct {
		harm     *datagramHarm
		received int
	}{
		"calm": {nil, 100}, "lost": {&datagramHarm{lost: 1}, 0}, "doubled": {&datagramHarm{doubled: 1}, 200},
		"late": {&datagramHarm{late: 100 * time.Millisecond}, 100},
	} {
		const from, to = 200, 201
		t.Run(name, func(t *testing.T) {
			l := newDatagramLink(t, from, to, rand.New(rand.NewPCG(1, 1)))
			l.harm.Store(c.harm)
			target, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.ParseIP(hostAddress(to)), Port: beatPort(to)})
			require.NoError(t, err)
			defer func() { _ = target.Close() }()
			sender, err := net.DialUDP("udp4", nil, &net.UDPAddr{IP: net.ParseIP(hostAddress(to)), Port: beatPort(from)})
			require.NoError(t, err)
			defer func() { _ = sender.Close() }()
			for i := range 100 {
				_, err := sender.Write([]byte{byte(i)})
				require.NoError(t, err)
			}
			require.NoError(t, target.SetReadDeadline(time.Now().Add(time.Second)))
			received := 0
			for buffer := make([]byte, 10); ; received++ {
				if _, err := target.Read(buffer); err != nil {
					break
				}
			}
			require.Equal(t, c.received, received)
		})
	}
}
