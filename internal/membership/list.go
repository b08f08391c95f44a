package membership

import (
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"heatherbarrow/internal/objectstore"
	"heatherbarrow/internal/rpc"
)

// stateLeaving is the state of leaving hosts and replicas in the platform's list.
const stateLeaving = "leaving"

// zoneSizeHold is how long a decrease in the number of listed hosts is held back
// before it raises the per-host entitlement floors. Hosts that just left the list
// may still use their floors and grants, and peers learn of the new list later. The
// value equals shares.CoordinatorTakeoverDelay.
const zoneSizeHold = 6 * time.Second

// hostList is the newest known version of the platform's host list.
type hostList struct {
	fetchedAt       time.Time // when a host got it from the platform; zero when there is no list yet
	hash            uint64
	zones           map[string][]string // sorted host names by zone
	previousLeaving map[string]bool     // by host: whether it was leaving in the list that this host polled before
	polled          bool                // whether the local host has polled a list; nothing reads it
	recentZoneSizes []zoneSize          // sizes of the local zone that still count
}

// zoneSize is a number of listed hosts that counts until the given time.
type zoneSize struct {
	hosts int
	until time.Time
}

func (l *hostList) contains(name string) bool {
	for _, names := range l.zones {
		if _, found := slices.BinarySearch(names, name); found {
			return true
		}
	}
	return false
}

func (l *hostList) zoneNames() []string {
	var out []string
	for zone := range l.zones {
		out = append(out, zone)
	}
	slices.Sort(out)
	return out
}

func hashZones(zones map[string][]string, names []string) uint64 {
	var d xxhash.Digest
	d.Reset()
	for _, zone := range names {
		_, _ = d.WriteString(zone + "\n" + strings.Join(zones[zone], "\x00") + "\n")
	}
	return d.Sum64()
}

// ApplyHostList applies a host list that the local host polled from the platform.
func (t *Table) ApplyHostList(list *objectstore.HostList, now time.Time) {
	zones := make(map[string][]string)
	leaving := make(map[string]bool)
	for i := range list.Hosts {
		h := &list.Hosts[i]
		zones[h.AvailabilityZone] = append(zones[h.AvailabilityZone], h.Name)
		leaving[h.Name] = h.State == stateLeaving
		t.applyListedHost(h, now)
	}
	for _, names := range zones {
		slices.Sort(names)
	}
	t.list.previousLeaving, t.list.polled = leaving, true
	t.setZones(zones, now, now)
	for i := range list.Upstreams {
		t.applyListedReplica(&list.Upstreams[i])
	}
}

// applyListedHost applies a host's state only if it differs from the previously
// polled list. The list lags, so an unchanged entry may still show a host as
// leaving that has restarted since.
func (t *Table) applyListedHost(entry *objectstore.Host, now time.Time) {
	h := t.hosts[entry.Name]
	if h == nil {
		h = t.addUnknownHost(Peer{Host: entry.Name, Zone: entry.AvailabilityZone, Address: entry.PeerAddress}, now)
	}
	wasLeaving, wasListed := t.list.previousLeaving[entry.Name]
	isLeaving := entry.State == stateLeaving
	switch {
	case isLeaving && (!wasListed || !wasLeaving) && h.state.State != rpc.State_STATE_LEAVING:
		t.setHostLeaving(h, true, now)
	case !isLeaving && wasListed && wasLeaving && h.state.State == rpc.State_STATE_LEAVING && !(h == t.self && t.drained):
		t.setHostLeaving(h, false, now)
	}
}

// applyListedReplica applies a replica's state from the platform's list. A live
// entry reverts a leaving state only if the list itself showed that state before:
// the list lags, so it may not yet include a leaving state that the table learned
// from another source.
func (t *Table) applyListedReplica(entry *objectstore.Upstream) {
	r := t.replica(entry.Upstream+"/"+entry.Replica, entry.Upstream, entry.Replica)
	if entry.State == stateLeaving {
		if !r.leaving {
			t.setReplicaLeaving(r, true)
		}
		r.listedLeavingMark = r.mark + 1
		return
	}
	if r.leaving && r.listedLeavingMark == r.mark+1 {
		t.setReplicaLeaving(r, false)
	}
}

// setReplicaLeaving sets or clears the replica's leaving state under a new mark.
func (t *Table) setReplicaLeaving(r *replica, leaving bool) {
	r.leaving = leaving
	r.mark++
	r.markSends = 0
	t.recordChange(true)
}

// mergeReplicaMark applies a replica's live or leaving state received from a
// peer. The state with the higher mark wins; at equal marks, leaving wins.
func (t *Table) mergeReplicaMark(s *rpc.ReplicaState) {
	r := t.replica(s.Upstream+"/"+s.Replica, s.Upstream, s.Replica)
	leaving := s.State == rpc.State_STATE_LEAVING
	if s.Mark < r.mark || s.Mark == r.mark && (!leaving || r.leaving) {
		return
	}
	r.mark, r.leaving, r.markSends = s.Mark, leaving, 0
	t.recordChange(true)
}

func (t *Table) setZones(zones map[string][]string, fetchedAt, now time.Time) {
	t.list.fetchedAt = fetchedAt
	hash := hashZones(zones, sortedZoneNames(zones))
	if hash != t.list.hash {
		t.recordChange(false)
	}
	t.list.hash, t.list.zones = hash, zones
	t.recordZoneSize(now)
}

func sortedZoneNames(zones map[string][]string) []string {
	l := hostList{zones: zones}
	return l.zoneNames()
}

// recordZoneSize makes the current size of the local zone's list count for
// zoneSizeHold from now on and drops sizes that no longer count.
func (t *Table) recordZoneSize(now time.Time) {
	l := &t.list
	n := len(l.zones[t.opts.Zone])
	kept := l.recentZoneSizes[:0]
	for _, size := range l.recentZoneSizes {
		if size.until.After(now) && size.hosts != n {
			kept = append(kept, size)
		}
	}
	l.recentZoneSizes = append(kept, zoneSize{hosts: n, until: now.Add(zoneSizeHold)})
}

// mergeListDigest applies a peer's host list if it was fetched from the platform after
// the stored one. It reports whether the peer must send the host names because
// only the hash of a different list was received.
func (t *Table) mergeListDigest(d *rpc.HostListDigest, now time.Time) bool {
	fetchedAt := now.Add(-time.Duration(d.AgeMs) * time.Millisecond)
	if !t.list.fetchedAt.IsZero() && fetchedAt.Sub(t.list.fetchedAt) < duplicateWindow {
		return false
	}
	if d.Hash == t.list.hash && !t.list.fetchedAt.IsZero() {
		t.list.fetchedAt = fetchedAt
		t.recordZoneSize(now)
		return false
	}
	if len(d.Zones) == 0 {
		return true
	}
	zones := make(map[string][]string)
	for _, z := range d.Zones {
		zones[z.AvailabilityZone] = z.Hosts
	}
	t.setZones(zones, fetchedAt, now)
	return false
}

// HostsInZone returns the number of hosts among which the local zone's
// entitlements are divided: the hosts in the platform's list and hosts that have
// sent a heartbeat but are not listed yet, or all known hosts while no host of the
// zone is listed. A host without recent heartbeats still counts, because it may
// still be running and using its floor; if it is neither listed nor named in the
// settings, it counts until it is dropped after forgetAfter. A decrease of the number
// of listed hosts takes effect only after zoneSizeHold.
func (t *Table) HostsInZone(now time.Time) int {
	n := 0
	for _, size := range t.list.recentZoneSizes {
		if size.until.After(now) {
			n = max(n, size.hosts)
		}
	}
	listedNames := t.list.zones[t.opts.Zone]
	n = max(n, len(listedNames))
	for name, h := range t.hosts {
		if h.state.AvailabilityZone != t.opts.Zone || h.state.State == rpc.State_STATE_UNKNOWN && len(listedNames) > 0 {
			continue
		}
		if _, found := slices.BinarySearch(listedNames, name); !found {
			n++
		}
	}
	return n
}

// ZoneCount returns the number of zones among which an entitlement without zone
// weights is divided.
func (t *Table) ZoneCount() int {
	if len(t.list.zones) > 0 {
		return len(t.list.zones)
	}
	return len(t.Zones())
}

// ListedHosts returns the sorted names of the hosts that the platform lists in the
// zone, and a hash of the platform's whole list, which also changes when only
// another zone does. If the list has no hosts of the zone yet, ListedHosts returns
// all known hosts of the zone and a hash of their names.
func (t *Table) ListedHosts(zone string) ([]string, uint64) {
	if listed := t.list.zones[zone]; len(listed) > 0 {
		return listed, t.list.hash
	}
	var out []string
	for name, h := range t.hosts {
		if h.state.AvailabilityZone == zone {
			out = append(out, name)
		}
	}
	slices.Sort(out)
	return out, xxhash.Sum64String(strings.Join(out, "\x00"))
}

// ListedHostCount returns the number of hosts that the platform lists in the zone.
func (t *Table) ListedHostCount(zone string) int { return len(t.list.zones[zone]) }
