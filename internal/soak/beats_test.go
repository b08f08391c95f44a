package soak

import (
	"fmt"
	"math/rand/v2"
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
