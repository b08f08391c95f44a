package rollout

import (
	"heatherbarrow/internal/bundle"
	"heatherbarrow/internal/configdiff"
)

// Change is one difference between two bundles.
type Change = configdiff.Change

// Diff returns what is different in b compared to a, by class, team, upstream
// and route.
func Diff(a, b *bundle.Bundle) []Change {
	var out []Change
	out = append(out, configdiff.Named("class", a.Classes, b.Classes, func(c bundle.Class) string { return c.Name })...)
	out = append(out, configdiff.Named("team", a.Teams, b.Teams, func(t bundle.Team) string { return t.Name })...)
	out = append(out, configdiff.Named("upstream", a.Upstreams, b.Upstreams, func(u bundle.Upstream) string { return u.Name })...)
	out = append(out, configdiff.Named("route", a.Routes, b.Routes, func(r bundle.Route) string {
		return r.Upstream + " " + r.Method + " " + r.PathPrefix
	})...)
	if fields := configdiff.Fields(a.Limits, b.Limits); len(fields) > 0 {
		out = append(out, Change{Kind: "limits", Change: "changed", Fields: fields})
	}
	return out
}
