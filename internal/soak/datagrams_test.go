package soak

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"heatherbarrow/internal/gateway/netio/relaytest"
)

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
