package hbctl

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"heatherbarrow/internal/bundle"
	"heatherbarrow/internal/placement"
	"heatherbarrow/internal/rpc"
)

// placedReplica is what is known of the placement of one engine.
type placedReplica struct {
	zone   string
	wanted bundle.Replica
	target *placement.Target // nil while the holder of the lease has decided nothing
	report *rpc.ReplicaState // nil when no control that answers knows it
}

// showPlacement prints what the bundle asks for, what the holders of the zones'
// leases have decided, and what the engines report.
func (a *app) showPlacement(ctx context.Context, _ []string) error {
	current, _, err := a.store.Current(ctx)
	if err != nil {
		return err
	}
	content, err := a.store.Content(ctx, current.SHA256)
	if err != nil {
		return err
	}
	b, err := bundle.Parse(content)
	if err != nil {
		return err
	}
	targets, err := a.placementTargets(ctx)
	if err != nil {
		return err
	}
	reports := freshestReplicas(a.statuses(ctx))
	fmt.Fprintf(a.stdout, "bundle in force: generation %d sha256 %s\n\n", current.Generation, current.SHA256)
	w := tabwriter.NewWriter(a.stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "REPLICA\tZONE\tSTATE\tLOADED\tROLE\tPINNED\tORDERS IN PROGRESS\tDECIDED\tREASON")
	for i := range b.Upstreams {
		if b.Upstreams[i].Kind != bundle.KindEngine {
			continue
		}
		for _, r := range b.Upstreams[i].Replicas {
			id := b.Upstreams[i].Name + "/" + r.ID
			p := placedReplica{zone: r.AvailabilityZone, wanted: r, report: reports[id]}
			if t, ok := targets[r.AvailabilityZone].Targets[id]; ok {
				p.target = &t
			}
			p.print(w, id)
		}
	}
	return w.Flush()
}

// placementTargets returns the desired states by zone.
func (a *app) placementTargets(ctx context.Context) (map[string]placement.Desired, error) {
	objects, err := a.store.Platform.List(ctx, placement.Kind, "")
	if err != nil {
		return nil, err
	}
	out := make(map[string]placement.Desired, len(objects))
	for _, o := range objects {
		var d placement.Desired
		if err := json.Unmarshal(o.Value, &d); err != nil {
			return nil, fmt.Errorf("placement of zone %s: %w", o.Name, err)
		}
		out[o.Name] = d
	}
	return out, nil
}

func (p *placedReplica) print(w io.Writer, id string) {
	state, loaded, role := "unknown", "?", "?"
	if p.report != nil {
		state = stateName(p.report.State)
	}
	if p.report.GetHasLoad() {
		loaded, role = joined(p.report.Models), dash(p.report.Role)
		if p.report.UnlistedModels {
			loaded += " and others"
		}
	}
	decided, reason := "-", "-"
	if p.target != nil {
		decided, reason = time.UnixMilli(p.target.ChangedUnixMS).UTC().Format(time.RFC3339), dash(p.target.Reason)
	}
	fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%s\t%s\t%s\t%s\n", id, p.zone, state, loaded, role,
		joined(p.wanted.PinnedModels), p.inProgress(), decided, reason)
}

// inProgress returns the orders by which the report differs from the decision:
// the holder of the lease sends them until they are reported.
func (p *placedReplica) inProgress() string {
	if p.target == nil || !p.report.GetHasLoad() {
		return "?"
	}
	var orders []string
	for _, m := range p.report.Models {
		if !slices.Contains(p.target.Models, m) {
			orders = append(orders, placement.OrderUnload+" "+m)
		}
	}
	for _, m := range p.target.Models {
		if !slices.Contains(p.report.Models, m) {
			orders = append(orders, placement.OrderLoad+" "+m)
		}
	}
	if p.target.Role != "" && p.target.Role != p.report.Role {
		orders = append(orders, placement.OrderRole+" "+p.target.Role)
	}
	return joined(orders)
}

func joined(names []string) string { return dash(strings.Join(names, ", ")) }
