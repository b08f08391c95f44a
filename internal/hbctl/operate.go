package hbctl

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"text/tabwriter"
	"time"

	"heatherbarrow/internal/rpc"
)

// drain takes a host's name or its operator address.
func (a *app) drain(ctx context.Context, args []string) error {
	target, err := one(args, "host or operator address")
	if err != nil {
		return err
	}
	address, err := a.addressOf(ctx, target)
	if err != nil {
		return err
	}
	response, err := a.control(address).Drain(ctx, &rpc.DrainRequest{Exit: true})
	if err != nil {
		return err
	}
	fmt.Fprintf(a.stdout, "drain started with %d requests in progress\n", response.InProgress)
	return nil
}

func (a *app) addressOf(ctx context.Context, target string) (string, error) {
	if strings.Contains(target, ":") {
		return target, nil
	}
	for _, s := range a.statuses(ctx) {
		if s.response != nil && s.response.Self.Host == target {
			return s.address, nil
		}
	}
	return "", fmt.Errorf("no control that can be reached is on a host named %q", target)
}

// lookupCommand is "hbctl lookup".
type lookupCommand struct {
	command
	Team string `long:"team" value-name:"TEAM" required:"true" description:"team that made the request"`
}

func (l *lookupCommand) find(ctx context.Context, args []string) error {
	id, err := one(args, "request id")
	if err != nil {
		return err
	}
	asked := 0
	for _, address := range l.app.settings.Controls {
		answer, err := l.app.control(address).Lookup(ctx, &rpc.LookupRequest{RequestId: id, Team: l.Team})
		if err != nil {
			continue
		}
		asked++
		if answer.InProgress {
			fmt.Fprintf(l.app.stdout, "request %s: in progress, outcome unknown\n", id)
			return nil
		}
		if answer.Found {
			fmt.Fprintf(l.app.stdout, "request %s: outcome %s, status %d\n", id, answer.Outcome, answer.Status)
			return nil
		}
	}
	if asked == 0 {
		return errors.New("no control could be reached")
	}
	return fmt.Errorf("no host that can be reached knows request %s of team %s", id, l.Team)
}

// zoneEntry is a quarantine entry with the zone that keeps it.
type zoneEntry struct {
	*rpc.QuarantineEntry
	zone string
}

func (e zoneEntry) remaining() string {
	return max(time.Until(time.UnixMilli(e.ExpiresUnixMs)), 0).Round(time.Second).String()
}

// quarantineByZone returns each entry once for each zone.
func quarantineByZone(statuses []controlStatus) []zoneEntry {
	type key struct {
		zone        string
		fingerprint uint64
	}
	best := make(map[key]zoneEntry)
	for _, s := range statuses {
		if s.response == nil {
			continue
		}
		zone := s.response.Self.AvailabilityZone
		for _, e := range s.response.Quarantine {
			k := key{zone, e.Fingerprint}
			old, known := best[k]
			newer := e.Released > old.GetReleased() || e.Released == old.GetReleased() && len(e.CrashedReplicas) > len(old.GetCrashedReplicas())
			if !known || newer {
				best[k] = zoneEntry{e, zone}
			}
		}
	}
	out := make([]zoneEntry, 0, len(best))
	for _, e := range best {
		out = append(out, e)
	}
	slices.SortFunc(out, func(a, b zoneEntry) int {
		return cmp.Or(cmp.Compare(a.zone, b.zone), cmp.Compare(a.Fingerprint, b.Fingerprint))
	})
	return out
}

// quarantineList is "hbctl quarantine list".
type quarantineList struct {
	command
	JSON bool `long:"json" description:"print JSON"`
}

// listedEntry is the JSON form of an entry.
type listedEntry struct {
	Fingerprint     string   `json:"fingerprint"` // 16 hex digits
	Zone            string   `json:"availability_zone"`
	Model           string   `json:"model,omitempty"`
	CrashedReplicas []string `json:"crashed_replicas"`
	Expires         string   `json:"expires"`
	Released        uint64   `json:"released"`
}

func (q *quarantineList) print(ctx context.Context, _ []string) error {
	statuses := q.app.statuses(ctx)
	if !slices.ContainsFunc(statuses, func(s controlStatus) bool { return s.err == nil }) {
		return errors.New("no control could be reached")
	}
	entries := quarantineByZone(statuses)
	if !q.JSON {
		w := tabwriter.NewWriter(q.app.stdout, 0, 0, 2, ' ', 0)
		printQuarantine(w, statuses)
		return w.Flush()
	}
	out := make([]listedEntry, 0, len(entries))
	for _, e := range entries {
		out = append(out, listedEntry{
			Fingerprint: fmt.Sprintf("%016x", e.Fingerprint), Zone: e.zone, Model: e.Model, CrashedReplicas: e.CrashedReplicas,
			Expires: formatUnix(e.ExpiresUnixMs), Released: e.Released,
		})
	}
	return json.NewEncoder(q.app.stdout).Encode(out)
}

// releaseQuarantine releases a fingerprint in every zone that has it. One host
// of a zone is enough; the next is asked only when it does not know the entry.
func (a *app) releaseQuarantine(ctx context.Context, args []string) error {
	text, err := one(args, "fingerprint")
	if err != nil {
		return err
	}
	fingerprint, err := strconv.ParseUint(text, 16, 64)
	if err != nil {
		return fmt.Errorf("%q is not a fingerprint in hex", text)
	}
	released := make(map[string]bool)
	for _, s := range a.statuses(ctx) {
		if s.response == nil || released[s.response.Self.AvailabilityZone] {
			continue
		}
		response, err := a.control(s.address).ReleaseQuarantine(ctx, &rpc.ReleaseRequest{Fingerprint: fingerprint})
		if err == nil && response.Found {
			zone := s.response.Self.AvailabilityZone
			released[zone] = true
			fmt.Fprintf(a.stdout, "released %016x in zone %s through host %s\n", fingerprint, zone, s.response.Self.Host)
		}
	}
	if len(released) == 0 {
		return fmt.Errorf("no zone that can be reached has fingerprint %016x in quarantine", fingerprint)
	}
	return nil
}
