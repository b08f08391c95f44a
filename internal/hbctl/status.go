package hbctl

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"google.golang.org/protobuf/encoding/protojson"

	"heatherbarrow/internal/rpc"
)

// statusCommand is "hbctl status".
type statusCommand struct {
	command
	JSON bool `long:"json" description:"print JSON"`
}

func (s *statusCommand) print(ctx context.Context, _ []string) error {
	statuses := s.app.statuses(ctx)
	if s.JSON {
		return s.printJSON(statuses)
	}
	reached := 0
	for _, status := range statuses {
		if status.err == nil {
			reached++
		}
	}
	s.printBundle(statuses)
	s.table(func(w io.Writer) { printHosts(w, statuses) })
	s.table(func(w io.Writer) { printZones(w, statuses) })
	s.table(func(w io.Writer) { printClasses(w, statuses) })
	s.table(func(w io.Writer) { printReplicas(w, statuses) })
	quarantine := s.app.quarantine(ctx, statuses)
	s.table(func(w io.Writer) { printQuarantine(w, quarantine) })
	if reached == 0 {
		return fmt.Errorf("none of %d controls could be reached", len(statuses))
	}
	return nil
}

func (s *statusCommand) table(fill func(w io.Writer)) {
	w := tabwriter.NewWriter(s.app.stdout, 0, 0, 2, ' ', 0)
	fill(w)
	_ = w.Flush()
	fmt.Fprintln(s.app.stdout)
}

// jsonStatus is one control in the JSON form.
type jsonStatus struct {
	Control string          `json:"control"`
	Error   string          `json:"error,omitempty"`
	Status  json.RawMessage `json:"status,omitempty"`
}

func (s *statusCommand) printJSON(statuses []controlStatus) error {
	out := make([]jsonStatus, 0, len(statuses))
	for _, status := range statuses {
		entry := jsonStatus{Control: status.address}
		if status.err != nil {
			entry.Error = status.err.Error()
		} else {
			data, err := protojson.MarshalOptions{UseProtoNames: true, EmitUnpopulated: true}.Marshal(status.response)
			if err != nil {
				return err
			}
			entry.Status = data
		}
		out = append(out, entry)
	}
	encoder := json.NewEncoder(s.app.stdout)
	encoder.SetIndent("", "  ")
	return encoder.Encode(out)
}

func (s *statusCommand) printBundle(statuses []controlStatus) {
	var newest *rpc.StatusResponse
	for _, status := range statuses {
		r := status.response
		if r != nil && r.Bundle != nil && (newest == nil || r.Bundle.Generation > newest.Bundle.Generation) {
			newest = r
		}
	}
	if newest == nil {
		fmt.Fprint(s.app.stdout, "no control has a bundle\n\n")
		return
	}
	b := newest.Bundle
	fmt.Fprintf(s.app.stdout, "newest bundle: generation %d sha256 %s\n  author %s, approver %s, approved %s\n\n",
		b.Generation, b.Sha256, b.Author, b.Approver, formatUnix(b.ApprovedUnixMs))
}

func printHosts(w io.Writer, statuses []controlStatus) {
	fmt.Fprintln(w, "HOST\tZONE\tSTATE\tGENERATION\tIN FORCE FOR\tPLATFORM\tWATCH\tLEASE HOLDER\tREASON")
	for _, status := range statuses {
		r := status.response
		if status.err != nil {
			fmt.Fprintf(w, "%s\t\tunreachable\t\t\t\t\t\t%s\n", status.address, shortError(status.err))
			continue
		}
		fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%s\t%s\t%s\t%s\t%s\n", r.Self.Host, r.Self.AvailabilityZone, stateName(r.Self.State),
			r.Self.Generation, age(r.BundleAgeMs, r.Bundle != nil), platformState(r), yesNo(r.WatchesPlatform), dash(r.LeaseHolder), r.NotReady)
	}
}

func platformState(r *rpc.StatusResponse) string {
	switch {
	case r.PlatformReachable:
		return "ok, answered " + age(r.PlatformLastOkMs, true) + " ago"
	case r.PlatformLastOkMs < 0:
		return "never answered"
	case r.WatchesPlatform || r.Self.PlatformFailed:
		return "silent for " + age(r.PlatformLastOkMs, true)
	default:
		return "not asked, answered " + age(r.PlatformLastOkMs, true) + " ago"
	}
}

// printZones shows how each zone that could be asked sees the others.
func printZones(w io.Writer, statuses []controlStatus) {
	fmt.Fprintln(w, "SEEN FROM\tZONE\tLISTED\tLIVE\tLOWEST GENERATION\tLAST HEARD")
	for _, status := range statuses {
		if status.response == nil {
			continue
		}
		zones := slices.Clone(status.response.Zones)
		slices.SortFunc(zones, func(a, b *rpc.ZoneStatus) int { return cmp.Compare(a.AvailabilityZone, b.AvailabilityZone) })
		for _, z := range zones {
			fmt.Fprintf(w, "%s\t%s\t%d\t%d\t%d\t%s\n", status.response.Self.Host, z.AvailabilityZone, z.ListedHosts, z.LiveHosts, z.Generation, age(z.LastHeardMs, z.LastHeardMs >= 0))
		}
	}
}

// printClasses shows the last minute of each class on all hosts together.
func printClasses(w io.Writer, statuses []controlStatus) {
	type totals struct {
		tier               uint32
		finished, refused  uint64
		attained, goodput  float64
		longestBelowTarget int64
	}
	classes := make(map[string]*totals)
	for _, status := range statuses {
		for _, c := range status.response.GetClasses() {
			t := classes[c.Class]
			if t == nil {
				t = &totals{tier: c.Tier}
				classes[c.Class] = t
			}
			t.finished += c.Finished
			t.refused += c.Refused
			t.attained += c.Attainment * float64(c.Finished)
			t.goodput += c.Goodput
			t.longestBelowTarget = max(t.longestBelowTarget, c.BelowTargetMs)
		}
	}
	fmt.Fprintln(w, "CLASS\tTIER\tREQUESTS\tATTAINMENT\tGOODPUT/S\tREFUSED\tBELOW TARGET FOR")
	for _, name := range sortedKeys(classes) {
		t := classes[name]
		below := "-"
		if t.longestBelowTarget > 0 {
			below = age(t.longestBelowTarget, true)
		}
		fmt.Fprintf(w, "%s\t%d\t%d\t%.3f\t%.2f\t%d\t%s\n", name, t.tier, t.finished, t.attained/float64(t.finished),
			t.goodput, t.refused, below)
	}
}

// freshestReplicas returns each replica as the host with the freshest report sees it.
func freshestReplicas(statuses []controlStatus) map[string]*rpc.ReplicaState {
	freshest := make(map[string]*rpc.ReplicaState)
	for _, status := range statuses {
		for _, r := range status.response.GetReplicas() {
			key := r.Upstream + "/" + r.Replica
			if old := freshest[key]; old == nil || fresher(r, old) {
				freshest[key] = r
			}
		}
	}
	return freshest
}

func printReplicas(w io.Writer, statuses []controlStatus) {
	freshest := freshestReplicas(statuses)
	fmt.Fprintln(w, "REPLICA\tSTATE\tRUNNING\tWAITING\tTOKENS/S\tREPORT AGE\tMODELS")
	for _, key := range sortedKeys(freshest) {
		r := freshest[key]
		if !r.HasLoad {
			fmt.Fprintf(w, "%s\t%s\t-\t-\t-\t-\t\n", key, stateName(r.State))
			continue
		}
		fmt.Fprintf(w, "%s\t%s\t%d\t%d\t%d\t%s\t%s\n", key, stateName(r.State), r.Running, r.Waiting, r.TokensPerSecond,
			age(int64(r.ReportAgeMs), true), strings.Join(r.Models, ","))
	}
}

// fresher prefers leaving and dead states, which win everywhere in the end, and
// then the newer report.
func fresher(a, b *rpc.ReplicaState) bool {
	if a.State != b.State {
		return a.State > b.State
	}
	return a.HasLoad && (!b.HasLoad || a.ReportAgeMs < b.ReportAgeMs)
}

func sortedKeys[V any](m map[string]V) []string {
	keys := make([]string, 0, len(m))
	for key := range m {
		keys = append(keys, key)
	}
	slices.Sort(keys)
	return keys
}

func stateName(s rpc.State) string {
	return strings.ToLower(strings.TrimPrefix(s.String(), "STATE_"))
}

func age(ms int64, known bool) string {
	if !known {
		return "never"
	}
	d := time.Duration(ms) * time.Millisecond
	if d >= time.Minute {
		return d.Round(time.Second).String()
	}
	return d.Round(100 * time.Millisecond).String()
}

func yesNo(b bool) string {
	if b {
		return "yes"
	}
	return "no"
}

func dash(s string) string {
	if s == "" {
		return "-"
	}
	return s
}

func shortError(err error) string {
	text := err.Error()
	if i := strings.LastIndex(text, ": "); i >= 0 {
		return text[i+2:]
	}
	return text
}
