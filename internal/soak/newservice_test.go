package soak

import (
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"time"

	"heatherbarrow/platform"
	"heatherbarrow/platform/storetest"
)

// newServicePrefix begins the paths of routes to services that were added.
const newServicePrefix = "/new-"

// newEnginePrefix begins the paths of those whose replicas are engines.
const newEnginePrefix = "/new-engine-"

// addedReplica is the entry of a replica of an added service.
type addedReplica struct {
	id   string
	spec map[string]any
}

// addServices adds routes to services of one replica, which registers before or after, with a priority and keys of
// their own, until ctx ends. Some are added when the store has just been away.
func (rig *configRig) addServices(ctx context.Context, random *rand.Rand) {
	for n := 1; ctx.Err() == nil; n++ {
		service := fmt.Sprintf("new-%s-%d", []string{"plain", "engine"}[random.IntN(2)], n)
		id := service + "-0"
		replica := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { answerAs(w, r, id, service) }))
		rig.t.Cleanup(replica.CloseClientConnections)
		if random.IntN(4) == 0 {
			from := time.Now()
			rig.store.SetFault(storetest.Down)
			time.Sleep(time.Duration(random.IntN(2000)) * time.Millisecond)
			rig.store.SetFault(storetest.None)
			rig.note("", from, true, false)
		}
		register := func() {
			rig.writing.Lock()
			defer rig.writing.Unlock()
			r := addedReplica{id, map[string]any{
				"service": service, "address": replica.Listener.Addr().String(), "zone": "z1", "slots": 4, "state": "ready", "born": 1,
			}}
			rig.added = append(rig.added, r)
			rig.store.Put(platform.KindMembers, r.id, r.spec)
		}
		add := func() {
			rig.writing.Lock()
			defer rig.writing.Unlock()
			rig.mu.Lock()
			rig.services = append(rig.services, service)
			rig.mu.Unlock()
			last := rig.last()
			next := configWrite{version: last.version + 1, routes: maps.Clone(last.routes), keys: append(slices.Clone(last.keys), "new-key-"+service)}
			// One at a time, so that it is asked for often.
			maps.DeleteFunc(next.routes, func(prefix string, _ configRoute) bool { return strings.HasPrefix(prefix, newServicePrefix) })
			next.routes["/"+service+"/"] = configRoute{service, 4 * time.Second}
			rig.write(next)
		}
		steps := []func(){register, add}
		if random.IntN(2) == 0 {
			slices.Reverse(steps)
		}
		steps[0]()
		time.Sleep(time.Duration(random.IntN(3000)) * time.Millisecond)
		steps[1]()
		rig.t.Logf("%s service %s added", clock(time.Now()), service)
		rig.mu.Lock()
		rig.ledger.newServices["/"+service+"/"] = time.Now()
		rig.mu.Unlock()
		time.Sleep(time.Duration(4000+random.IntN(4000)) * time.Millisecond)
	}
}
