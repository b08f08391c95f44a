package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"heatherbarrow/internal/gateway"
	"heatherbarrow/internal/gateway/netio/relaytest"
)

// beatPort returns the port on which a host receives datagrams. Hosts send them to the port of their own on the
// address of the other host, where a relay receives them.
func beatPort(i int) int { return 9100 + i }

func ownBeatPort(i int) func(*gateway.Settings) {
	return func(s *gateway.Settings) { s.BeatPort = beatPort(i) }
}

// relayBeatsOf puts a relay between a host and each other one. Hosts started with ownBeatPort use them.
func relayBeatsOf(t *testing.T, lane, from, hosts int) (relays []*relaytest.Datagrams) {
	t.Helper()
	for to := range hosts {
		if to == from {
			continue
		}
		address := hostAddress(lane, to)
		r, err := relaytest.NewDatagrams(fmt.Sprintf("%s:%d", address, beatPort(from)), fmt.Sprintf("%s:%d", address, beatPort(to)))
		require.NoError(t, err)
		t.Cleanup(r.Close)
		relays = append(relays, r)
	}
	return relays
}

// troubleBeats harms the datagrams between hosts until faultTime is over: from one host to another, from one to all,
// or all.
func (d *deployment) troubleBeats(random *rand.Rand) {
	var wg sync.WaitGroup
	for end := time.Now().Add(faultTime); time.Now().Before(end); {
		var harmed []*relaytest.Datagrams
		from := random.IntN(len(d.beats))
		switch others := d.beats[from]; random.IntN(3) {
		case 0:
			if len(others) > 0 {
				harmed = append(harmed, others[random.IntN(len(others))])
			}
		case 1:
			harmed = others
		default:
			for _, relays := range d.beats {
				harmed = append(harmed, relays...)
			}
		}
		delay := time.Duration(random.IntN(1500)) * time.Millisecond
		f := []relaytest.DatagramFault{{Loss: 1}, {Loss: 0.5}, {Latency: delay, Jitter: delay}, {Doubled: 1, Jitter: delay}}[random.IntN(4)]
		lasts := time.Duration(200+random.IntN(2500)) * time.Millisecond
		d.t.Logf("beats harmed on %d ways (h%d), %+v for %v", len(harmed), from, f, lasts)
		wg.Go(func() {
			for _, r := range harmed {
				defer r.Begin(f)()
			}
			time.Sleep(lasts)
		})
		time.Sleep(time.Duration(random.IntN(1500)) * time.Millisecond)
	}
	wg.Wait()
}

// checkBeats checks that the datagrams of each host go through its relays.
func (d *deployment) checkBeats() {
	for i, relays := range d.beats {
		passed := int64(0)
		for _, r := range relays {
			passed += r.Passed()
		}
		if len(relays) > 0 {
			assert.Positive(d.t, passed, "%s sends datagrams through its relays", d.hosts[i].name)
		}
	}
}

// harmDatagrams harms datagrams until ctx ends, while the store rejects hosts, which must learn changes from others,
// and drops its history without a word. It plays beside the other faults and excuses no host from what the judge asks.
func (rig *configRig) harmDatagrams(ctx context.Context, random *rand.Rand) {
	for ctx.Err() == nil {
		host, way := random.IntN(len(rig.hosts)), random.IntN(5)
		late := []time.Duration{0, 50 * time.Millisecond, 750 * time.Millisecond}
		harm := relaytest.DatagramFault{Loss: []float64{0, 0.3, 0.7, 1}[random.IntN(4)], Doubled: []float64{0, 0.5}[random.IntN(2)]}
		harm.Latency = late[random.IntN(len(late))]
		harm.Jitter = harm.Latency
		other := (host + 1 + random.IntN(len(rig.hosts)-1)) % len(rig.hosts)
		var heal []func()
		for from, relays := range rig.datagrams {
			for i, relay := range relays {
				to := i
				if i >= from {
					to++
				}
				if way == 0 && from == host || way == 1 && to == host || way == 2 && from == host && to == other ||
					way == 3 && (from == host || to == host) && (from == other || to == other) || way == 4 && harm.Loss < 1 {
					heal = append(heal, relay.Begin(harm))
				}
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
			clock(from), host, other, way, harm, len(rejected), host, mode, silent)
		end := from.Add(time.Duration(500+random.IntN(6000)) * time.Millisecond)
		for ctx.Err() == nil && time.Now().Before(end) {
			// A key or a route is removed, or a route is added.
			rig.changeBy(random, random.Int64N(6), []int{0, 4, 5}[random.IntN(3)])
			time.Sleep(time.Duration(100+random.IntN(2000)) * time.Millisecond)
		}
		for _, end := range heal {
			end()
		}
		if len(rejected) > 0 {
			setModes(rejected, frontOpen)
			rig.note("", from, false, false)
		}
		time.Sleep(time.Duration(random.IntN(4000)) * time.Millisecond)
	}
}
