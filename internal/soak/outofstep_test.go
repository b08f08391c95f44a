package soak

import (
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"heatherbarrow/internal/gateway/netio/relaytest"
	"heatherbarrow/platform/storetest"
)

// outOfStep is a time in which one host knows less than the others.
type outOfStep struct {
	name  string
	begin func(d *deployment) (end func())    // what keeps news from the first host
	later func(d *deployment, others []*host) // what happens 0.6 s after that
}

// cutFromStoreAndBeats cuts the first host off from the store and from the datagrams of the others. Calls between hosts pass.
func cutFromStoreAndBeats(d *deployment) (end func()) {
	ends := []func(){
		d.hosts[0].store.Begin(relaytest.Fault{Direction: relaytest.ToTarget, Silent: true}),
		d.hosts[0].store.Begin(relaytest.Fault{Direction: relaytest.FromTarget, Silent: true}),
	}
	for from, relays := range d.beats {
		for i, r := range relays {
			if from == 0 || i == 0 { // the first relay of another host leads to the first host
				ends = append(ends, r.Begin(relaytest.DatagramFault{Loss: 1}))
			}
		}
	}
	return func() {
		for _, end := range ends {
			end()
		}
	}
}

// each calls f for all hosts at the same time.
func each(hosts []*host, f func(*host)) {
	var wg sync.WaitGroup
	defer wg.Wait()
	for _, h := range hosts {
		wg.Go(func() { f(h) })
	}
}

// Guards against streams of a new software version that go on at an earlier one at a host that has not heard of the new one
// and does not know yet that it is cut off: neither the store nor the other hosts can tell it.
func TestStreamsOfVersionUnknownToCutOffHostAreNotJoined(t *testing.T) {
	concurrently(t)
	standStill := func(_ *deployment, others []*host) { each(others, func(h *host) { h.pause(1200 * time.Millisecond) }) }
	for _, play := range []outOfStep{
		{"the others stand still", cutFromStoreAndBeats, standStill},
		{"the others are killed", cutFromStoreAndBeats, func(_ *deployment, others []*host) {
			each(others, func(h *host) { h.restart(syscall.SIGKILL, 0) })
			time.Sleep(time.Second) // they are ready, and the host is still cut off
		}},
		{"the others answer", cutFromStoreAndBeats, func(*deployment, []*host) {}},
		{"it stands still", func(d *deployment) func() {
			d.hosts[0].signal(syscall.SIGSTOP)
			return func() { d.hosts[0].signal(syscall.SIGCONT) }
		}, func(d *deployment, others []*host) {
			d.hosts[0].signal(syscall.SIGCONT)
			standStill(d, others)
		}},
		{"the store is silent", func(d *deployment) func() {
			d.store.SetFault(storetest.Silent)
			return func() { d.store.SetFault(storetest.None) }
		}, standStill},
	} {
		t.Run(play.name, func(t *testing.T) {
			concurrently(t)
			d := newDeploymentOfVersion(t, 3, 2, true, "v1")
			defer d.keepLogs(1)
			awaitReady(t, d.hosts)
			time.Sleep(500 * time.Millisecond) // until all hosts hear each other
			s := d.longCallers(4 * time.Millisecond)
			s.hangUp, s.second = 0.5, d.hosts[0]
			streams := s.followBeside(4*time.Second, func() {
				end := play.begin(d)
				time.Sleep(200 * time.Millisecond)
				for i := 0; i < len(d.replicas); i += 2 {
					d.replace(i, "v2")
				}
				time.Sleep(400 * time.Millisecond)
				play.later(d, d.hosts[1:])
				end()
			})
			checkFollowed(t, play.name, streams)
			d.checkBeats()
			both := joined(streams)
			assert.Empty(t, both, "%d streams hold events of two software versions", len(both))
			all, began, takenUp, wentOn := shares(streams)
			t.Logf("%s: %v of %v streams began, %v of %v that were taken up went on, %d joined", play.name, began, all, wentOn, takenUp, len(both))
			assert.GreaterOrEqual(t, wentOn/takenUp, minTakeUpShare*began/all)
		})
	}
}

// Guards against hosts that refuse all streams which callers take up while the store is away, has dropped its history or was not
// read yet, though there has been one software version only.
func TestStreamsOfOnlyVersionGoOn(t *testing.T) {
	concurrently(t)
	d := newDeploymentOfVersion(t, 3, 2, false, "v1")
	defer d.keepLogs(1)
	awaitReady(t, d.hosts)
	time.Sleep(500 * time.Millisecond)
	s := d.longCallers(10 * time.Millisecond)
	s.hangUp = 0.25
	playFault := func(fault storetest.Fault) func() {
		return func() {
			d.store.SetFault(fault)
			time.Sleep(2500 * time.Millisecond)
			each(d.hosts[1:3], func(h *host) { h.restart(syscall.SIGKILL, 0) })
			time.Sleep(time.Second)
			d.store.SetFault(storetest.None)
		}
	}
	for name, play := range map[string]func(){
		"store down": playFault(storetest.Down), "store silent": playFault(storetest.Silent),
		"all hosts killed": func() { killAll(d.hosts, func() {}) },
		"history dropped": func() {
			d.store.DropHistory()
			each(d.hosts[1:3], func(h *host) { h.restart(syscall.SIGKILL, 0) })
		},
	} {
		streams := s.followBeside(6*time.Second, play)
		checkFollowed(t, name, streams)
		assert.Empty(t, joined(streams), name)
		all, began, takenUp, wentOn := shares(streams)
		t.Logf("%s: %v of %v streams began, %v of %v that were taken up went on", name, began, all, wentOn, takenUp)
		assert.GreaterOrEqual(t, wentOn/takenUp, minTakeUpShare*began/all, name)
	}
}
