package soak

import (
	"math/rand/v2"
	"net/http"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"heatherbarrow/platform"
)

// withdrawTime is how long after its last entry a replica may get requests.
const withdrawTime = 2 * time.Second

// lapseTime is the time in which the store removes an entry that is not renewed: three heartbeats of a
// replica.
const lapseTime = 3 * time.Second

// sentTo counts the requests that the hosts sent to a replica in a time.
func (d *deployment) sentTo(r *replica, from, until time.Time, hosts ...*host) int {
	return len(d.ledger.arrived(from, until, func(a *arrival) bool {
		return a.replica == r.id && slices.ContainsFunc(hosts, func(h *host) bool { return h.name == senderOf(a.id) })
	}))
}

// restoreStore brings the store back from a copy that is up to four seconds old, once or twice while
// faults are played, and lets the operator and the replicas write again what they had written.
func (d *deployment) restoreStore(random *rand.Rand) {
	for range 1 + random.IntN(2) {
		time.Sleep(time.Duration(random.IntN(2000)) * time.Millisecond)
		d.writes.Lock()
		saved := d.store.Copy()
		d.writes.Unlock()
		age := time.Duration(random.IntN(4000)) * time.Millisecond
		time.Sleep(age)
		d.t.Logf("store restored from a copy that is %v old", age)
		d.writes.Lock()
		restored := time.Now()
		d.store.Restore(saved)
		time.Sleep(time.Duration(random.IntN(500)) * time.Millisecond)
		d.putConfig(d.version.Load())
		for i := range d.replicas {
			d.writeEntry(i)
		}
		d.ledger.noteTrouble(storeName, restored)
		d.writes.Unlock()
	}
}

// Guards against a store that comes back from a copy and gives out revisions again: hosts must not keep
// an older state because its revision is higher, take a replica for alive that had left, spread what
// they know of before, or remain without their own entries. One host cannot reach the store until it
// has reached the old revisions again.
func TestStoreRestoredFromCopy(t *testing.T) {
	concurrently(t)
	d := newDeployment(t, 2, 2, false)
	defer d.keepLogs(1)
	awaitReady(t, d.hosts)
	c := newCallers(d)
	defer c.end()
	leaving, left, draining, sound := d.replicas[0], d.replicas[1], d.replicas[2], d.replicas[3]
	serves := func(h *host, version int64) bool {
		return c.send(h, "lookup", versionPath(version)+"x").status == http.StatusOK
	}
	late, others := d.hosts[3], d.hosts[:3]

	saved := d.store.Copy()
	saved.Drop(platform.KindHosts)
	late.store.Stop()
	for range 5 {
		for i := range d.replicas {
			d.register(i, "ready") // the revision rises
		}
	}
	d.store.Remove(platform.KindMembers, left.id)
	d.register(2, "draining")
	d.configure()
	for _, h := range d.hosts {
		require.Eventually(t, func() bool { return serves(h, 2) }, settleTime, 50*time.Millisecond, "%s has the change before the restore", h.name)
	}
	time.Sleep(withdrawTime)

	d.store.Restore(saved)
	restored := time.Now()
	// The replica that had left does not renew the entry that came back.
	time.AfterFunc(lapseTime, func() { d.store.Remove(platform.KindMembers, left.id) })
	time.Sleep(200 * time.Millisecond)
	d.writes.Lock()
	d.putConfig(2)
	d.writes.Unlock()
	d.register(0, "ready")
	d.register(3, "ready")
	d.register(0, "draining")
	d.configure()
	changed := time.Now()
	for _, h := range others {
		assert.Eventually(t, func() bool { return serves(h, 3) }, withdrawTime, 20*time.Millisecond, "%s serves the route added after the restore", h.name)
	}
	assert.Eventually(t, func() bool { return d.store.Count(platform.KindHosts) == len(others) }, settleTime, 50*time.Millisecond, "the hosts register again")
	time.Sleep(time.Until(changed.Add(withdrawTime)))
	// The store passes the revision that the late host knows.
	for range 10 {
		d.register(3, "ready")
	}
	require.NoError(t, late.store.Start())
	healed := time.Now()
	assert.Eventually(t, func() bool { return serves(late, 3) }, withdrawTime, 20*time.Millisecond, "the late host serves the route")
	time.Sleep(time.Until(healed.Add(2 * withdrawTime)))
	until := time.Now()
	assert.Zero(t, d.sentTo(leaving, changed.Add(withdrawTime), until, others...), "a replica that drains after the restore")
	assert.Zero(t, d.sentTo(leaving, healed.Add(withdrawTime), until, late), "at the late host")
	assert.Zero(t, d.sentTo(left, restored, until, d.hosts...), "a replica that had left before the restore, and that the copy lists")
	assert.Zero(t, d.sentTo(draining, restored, until, d.hosts...), "a replica that was draining before the restore, and that the copy lists as ready")
	assert.Positive(t, d.sentTo(sound, restored, until, d.hosts...))

	// The replica that had left was alive: it registers again.
	d.register(1, "ready")
	registered := time.Now()
	for _, h := range d.hosts {
		assert.Eventually(t, func() bool { return d.sentTo(left, registered, time.Now(), h) > 0 }, settleTime, 50*time.Millisecond, "%s uses it again", h.name)
	}
	d.store.Remove(platform.KindMembers, left.id)
	removed := time.Now()
	time.Sleep(2 * withdrawTime)
	assert.Zero(t, d.sentTo(left, removed.Add(withdrawTime), time.Now(), d.hosts...), "it is removed again")
}
