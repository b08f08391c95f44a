package hbctl

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"slices"
	"strconv"
	"strings"
	"text/tabwriter"
	"time"

	"heatherbarrow/internal/bundle"
	"heatherbarrow/internal/rpc"
)

// States of a fingerprint as its zone's hosts know it.
const (
	stateSuspect     = "suspect"
	stateQuarantined = "quarantined"
	stateReleased    = "released"
	stateUnknown     = "unknown" // the zone's bundle could not be read
	statePart        = "part"    // a message that requests are refused for, whatever else their prompts contain
)

// zoneEntry is a quarantine entry with the zone that keeps it.
type zoneEntry struct {
	*rpc.QuarantineEntry
	zone   string
	bundle string         // SHA-256 of the zone's bundle, empty when it has none
	limits *bundle.Limits // of that bundle, nil when it could not be read
}

// state tells whether the zone refuses the fingerprint.
func (e zoneEntry) state() string {
	switch {
	case len(e.CrashedReplicas) == 0:
		return stateReleased
	case e.limits == nil:
		return stateUnknown
	case len(e.CrashedReplicas) < e.limits.PoisonCrashes:
		return stateSuspect
	default:
		return stateQuarantined
	}
}

// lastCrash returns when the entry was last extended by a crash. It is not known
// without the limits.
func (e zoneEntry) lastCrash() (at time.Time, known bool) {
	if e.limits == nil || len(e.CrashedReplicas) == 0 {
		return time.Time{}, false
	}
	return time.UnixMilli(e.ExpiresUnixMs).Add(-e.limits.QuarantineTime.Std()), true
}

func (e zoneEntry) sinceLastCrash() string {
	at, known := e.lastCrash()
	if !known {
		return dash("")
	}
	return max(time.Since(at), 0).Round(time.Second).String()
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
				best[k] = zoneEntry{QuarantineEntry: e, zone: zone, bundle: s.response.GetBundle().GetSha256()}
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

// quarantine returns each entry once for each zone, with the limits of the zone's
// bundle where the platform has it.
func (a *app) quarantine(ctx context.Context, statuses []controlStatus) []zoneEntry {
	entries := quarantineByZone(statuses)
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	limits := make(map[string]*bundle.Limits)
	for i := range entries {
		hash := entries[i].bundle
		if len(entries[i].CrashedReplicas) == 0 {
			continue
		}
		if _, read := limits[hash]; !read {
			limits[hash] = a.limits(ctx, hash)
		}
		entries[i].limits = limits[hash]
	}
	return entries
}

func (a *app) limits(ctx context.Context, hash string) *bundle.Limits {
	if hash == "" {
		return nil
	}
	b, err := a.store.Bundle(ctx, hash)
	if err != nil {
		return nil
	}
	return &b.Limits
}

func printQuarantine(w io.Writer, entries []zoneEntry) {
	fmt.Fprintln(w, "FINGERPRINT\tSTATE\tZONE\tMODEL\tCRASHED REPLICAS\tLAST CRASH\tEXPIRES IN")
	for _, e := range entries {
		if len(e.CrashedReplicas) > 0 {
			fmt.Fprintf(w, "%016x\t%s\t%s\t%s\t%s\t%s\t%s\n", e.Fingerprint, e.state(), e.zone, dash(e.Model),
				strings.Join(e.CrashedReplicas, ","), e.sinceLastCrash(), e.remaining())
		}
	}
}

// zonePart is a part of prompts that the hosts of a zone refuse requests for.
type zonePart struct {
	*rpc.SuspectPart
	zone string
}

// partsByZone returns each refused part once for each zone.
func partsByZone(statuses []controlStatus) []zonePart {
	var out []zonePart
	for _, s := range statuses {
		if s.response == nil {
			continue
		}
		zone := s.response.Self.AvailabilityZone
		for _, p := range s.response.SuspectParts {
			known := func(o zonePart) bool { return o.zone == zone && o.Part == p.Part }
			if !slices.ContainsFunc(out, known) {
				out = append(out, zonePart{SuspectPart: p, zone: zone})
			}
		}
	}
	slices.SortFunc(out, func(a, b zonePart) int { return cmp.Or(cmp.Compare(a.zone, b.zone), cmp.Compare(a.Part, b.Part)) })
	return out
}

func printParts(w io.Writer, parts []zonePart) {
	for _, p := range parts {
		last := dash("")
		if n := len(p.Crashes); n > 0 {
			last = (time.Duration(p.Crashes[n-1].AgeMs) * time.Millisecond).Round(time.Second).String()
		}
		fmt.Fprintf(w, "%016x\t%s\t%s\t%s\t%d crashes\t%s\t%s\n", p.Part, statePart, p.zone, dash(""), len(p.Crashes), last, time.Duration(p.ExpiresInS)*time.Second)
	}
}

// quarantineList is "hbctl quarantine list".
type quarantineList struct {
	command
	JSON bool `long:"json" description:"print JSON"`
}

// listedEntry is the JSON form of an entry.
type listedEntry struct {
	Fingerprint     string   `json:"fingerprint"` // 16 hex digits
	State           string   `json:"state"`
	Zone            string   `json:"availability_zone"`
	Model           string   `json:"model,omitempty"`
	CrashedReplicas []string `json:"crashed_replicas"`
	LastCrash       string   `json:"last_crash,omitempty"`
	Expires         string   `json:"expires"`
	Released        uint64   `json:"released"`
}

func (q *quarantineList) print(ctx context.Context, _ []string) error {
	statuses := q.app.statuses(ctx)
	if !slices.ContainsFunc(statuses, func(s controlStatus) bool { return s.err == nil }) {
		return errors.New("no control could be reached")
	}
	entries := q.app.quarantine(ctx, statuses)
	if !q.JSON {
		w := tabwriter.NewWriter(q.app.stdout, 0, 0, 2, ' ', 0)
		printQuarantine(w, entries)
		printParts(w, partsByZone(statuses))
		return w.Flush()
	}
	out := make([]listedEntry, 0, len(entries))
	for _, e := range entries {
		out = append(out, e.listed())
	}
	for _, p := range partsByZone(statuses) {
		out = append(out, listedEntry{
			Fingerprint: fmt.Sprintf("%016x", p.Part), State: statePart, Zone: p.zone, CrashedReplicas: []string{}, Released: p.Released,
			Expires: formatUnix(time.Now().Add(time.Duration(p.ExpiresInS) * time.Second).UnixMilli()),
		})
	}
	return json.NewEncoder(q.app.stdout).Encode(out)
}

func (e zoneEntry) listed() listedEntry {
	l := listedEntry{
		Fingerprint: fmt.Sprintf("%016x", e.Fingerprint), State: e.state(), Zone: e.zone, Model: e.Model,
		CrashedReplicas: e.CrashedReplicas, Expires: formatUnix(e.ExpiresUnixMs), Released: e.Released,
	}
	if at, known := e.lastCrash(); known {
		l.LastCrash = formatUnix(at.UnixMilli())
	}
	return l
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
