package state

import (
	"cmp"
	"context"
	"slices"
	"sync"

	"github.com/cespare/xxhash/v2"
)

// FollowersPerZone is the number of hosts in an availability zone that follow the store
// for the others. With two, updates continue without a pause when one dies or hangs.
const FollowersPerZone = 2

// Neighbor is another host of the same availability zone that counts as live.
type Neighbor struct {
	Host           string
	StoreReachable bool // the host's last call to the store did not fail
}

// FollowsStore reports whether a host must follow the store itself. It must if fewer than
// FollowersPerZone neighbors that reach the store precede it in the order of CompareRank, which
// is the same on all hosts. If followers fail, the next hosts in this order therefore take their
// place. Hosts that do not receive each other's heartbeats may all follow, which only costs extra
// calls.
func FollowsStore(host string, neighbors []Neighbor) bool {
	higherRanked := 0
	for _, n := range neighbors {
		if n.StoreReachable && CompareRank(n.Host, host) < 0 {
			higherRanked++
		}
	}
	return higherRanked < FollowersPerZone
}

// SpeaksForZone reports whether a host is the speaker of its availability zone, which sends a
// digest of the zone's in-flight requests to the other zones. The speaker is the first of this host
// and its neighbors in the order of CompareRank. Hosts that do not receive each other's heartbeats
// may both be speakers.
func SpeaksForZone(host string, neighbors []Neighbor) bool {
	for _, n := range neighbors {
		if CompareRank(n.Host, host) < 0 {
			return false
		}
	}
	return true
}

// CompareRank orders hosts by a hash of their names, so that hosts with consecutive names, such
// as those of one rack, do not all come first.
func CompareRank(a, b string) int {
	return cmp.Or(cmp.Compare(xxhash.Sum64String(a), xxhash.Sum64String(b)), cmp.Compare(a, b))
}

// Role is the current store-following role of this host: following or not. While it is not
// following, the goroutines that list and watch the store pause.
type Role struct {
	mu            sync.Mutex
	following     bool
	followingChan chan struct{} // closed while following
	onStop        []func()
}

// NewRole returns a Role that is set to following.
func NewRole() *Role {
	r := &Role{following: true, followingChan: make(chan struct{})}
	close(r.followingChan)
	return r
}

// Set changes the role and reports whether it differs from the previous one.
func (r *Role) Set(following bool) (changed bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.following == following {
		return false
	}
	r.following = following
	if following {
		close(r.followingChan)
		return true
	}
	r.followingChan = make(chan struct{})
	for _, callback := range slices.Clone(r.onStop) {
		callback()
	}
	return true
}

// Following reports whether this host follows the store.
func (r *Role) Following() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.following
}

// waitFollowing blocks until the host follows the store. It returns false if ctx ends first.
func (r *Role) waitFollowing(ctx context.Context) bool {
	r.mu.Lock()
	followingChan := r.followingChan
	r.mu.Unlock()
	select {
	case <-ctx.Done():
		return false
	case <-followingChan:
		return true
	}
}

// notifyStop registers a callback that runs whenever the host stops following. The callback
// runs with the role's lock held and must neither block nor call the Role.
func (r *Role) notifyStop(callback func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.onStop = append(r.onStop, callback)
}
