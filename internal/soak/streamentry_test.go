package soak

import (
	"cmp"

	"heatherbarrow/platform"
)

// register writes the replica's entry.
func (r *rigReplica) register(state string) {
	d := r.rig.deployment
	d.writes.Lock()
	defer d.writes.Unlock()
	r.mu.Lock()
	address, process := r.address, r.process
	r.mu.Unlock()
	if r.link != nil {
		address = r.link.Address()
	}
	d.store.Put(platform.KindMembers, r.id, map[string]any{
		"service": r.service, "address": address, "zone": r.zone, "slots": 400, "state": state, "born": process.born, "version": process.version,
	})
	d.ledger.noteState(r.id, process.born, state)
}

// unregister removes the replica's entry.
func (r *rigReplica) unregister() {
	d := r.rig.deployment
	d.writes.Lock()
	defer d.writes.Unlock()
	d.store.Remove(platform.KindMembers, r.id)
}

// configure writes the next version of the configuration.
func (g *streamRig) configure() {
	routes, services, named := []any{}, []any{}, make(map[string]bool)
	for _, r := range g.routes {
		routes = append(routes, map[string]any{
			"name": r.name, "host": callerHost, "pathPrefix": r.prefix(), "routeKind": r.kind, "timeoutMs": cmp.Or(r.timeout, rigTimeout).Milliseconds(), "goalMs": 500, "gapGoalMs": 400,
			"service": r.service, "maxAttempts": r.attempts, "resumable": r.resumable,
		})
		if !named[r.service] {
			services, named[r.service] = append(services, map[string]any{"name": r.service}), true
		}
	}
	g.writes.Lock()
	defer g.writes.Unlock()
	g.store.Put(platform.KindConfig, platform.NameConfig, map[string]any{
		"version": g.version.Add(1), "routes": routes, "services": services, "limits": map[string]any{"idleTimeoutMs": 10_000},
		"tenants": []any{map[string]any{"name": "counter", "apiKeys": []string{teamKey}}},
	})
}
