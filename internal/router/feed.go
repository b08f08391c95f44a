package router

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"heatherbarrow/internal/bundle"
	"heatherbarrow/internal/rpc"
	"heatherbarrow/internal/scheduling"
	"heatherbarrow/internal/scheduling/requestlimit"
)

const (
	watchWait    = 10 * time.Second
	watchRetry   = 200 * time.Millisecond
	tickInterval = 50 * time.Millisecond
	// watchMargin is how much longer than its wait a watch may take before
	// control counts as unreachable.
	watchMargin = 3 * time.Second
)

// Follow takes bundles and views from control until ctx ends. Traffic goes on
// with the last ones while control cannot be reached.
func (s *Server) Follow(ctx context.Context) {
	var viewVersion uint64
	reachable := true
	for ctx.Err() == nil {
		response, err := s.watch(ctx, viewVersion)
		if err != nil && ctx.Err() != nil {
			return
		}
		if (err == nil) != reachable {
			reachable = err == nil
			s.Logger.Warn().Err(err).Bool("reachable", reachable).Msg("reachability of control changed")
		}
		if err != nil {
			// A control that was started again numbers its views anew.
			viewVersion = 0
			sleep(ctx, watchRetry)
			continue
		}
		s.applyBundle(response)
		if response.View != nil {
			viewVersion = response.View.Version
			s.applyView(viewFromRPC(response.View, time.Now()))
		}
	}
}

func (s *Server) watch(ctx context.Context, viewVersion uint64) (*rpc.WatchResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, watchWait+watchMargin)
	defer cancel()
	return s.Feed.Watch(ctx, &rpc.WatchRequest{
		Generation: s.generation(), ViewVersion: viewVersion, WaitMs: uint32(watchWait.Milliseconds()),
	})
}

// generation returns the generation of the bundle in force, 0 when there is none.
func (s *Server) generation() uint64 {
	if snapshot := s.snapshot.Load(); snapshot != nil {
		return snapshot.Generation
	}
	return 0
}

func (s *Server) applyView(view *scheduling.View) {
	s.viewMu.Lock()
	defer s.viewMu.Unlock()
	s.view = view
	s.Scheduler.Update(nil, view)
}

// Tick drives the scheduler's time-dependent work until ctx ends.
func (s *Server) Tick(ctx context.Context) {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			s.Scheduler.Tick()
		}
	}
}

func (s *Server) applyBundle(response *rpc.WatchResponse) {
	record := response.Bundle
	if record == nil || len(record.Content) == 0 {
		if s.snapshot.Load() == nil && response.NotReady != "" {
			s.notReady.Store(&response.NotReady)
		}
		return
	}
	if current := s.snapshot.Load(); current != nil && record.Generation <= current.Generation {
		return
	}
	if err := s.Install(record); err != nil {
		s.Logger.Error().Err(err).Uint64("generation", record.Generation).Msg("bundle cannot be applied")
		return
	}
	s.Logger.Info().Uint64("generation", record.Generation).Str("sha256", record.Sha256).Msg("bundle in force")
}

// Install puts a bundle in force.
func (s *Server) Install(record *rpc.BundleRecord) error {
	b, err := bundle.Parse(record.Content)
	if err != nil {
		return err
	}
	snapshot := bundle.Compile(b, record.Generation, record.Sha256)
	// The scheduler knows the bundle before any request refers to it.
	s.Scheduler.Update(snapshot, nil)
	s.snapshot.Store(snapshot)
	s.notReady.Store(nil)
	s.metrics.generation.Update(float64(record.Generation))
	return nil
}

func viewFromRPC(v *rpc.View, now time.Time) *scheduling.View {
	out := &scheduling.View{Version: v.Version, HostsInZone: int(v.HostsInZone), ZoneCount: int(v.ZoneCount)}
	for _, r := range v.Replicas {
		out.Replicas = append(out.Replicas, scheduling.ReplicaLoad{
			ID:         scheduling.ReplicaID{Upstream: r.Upstream, Replica: r.Replica},
			State:      replicaState(r.State),
			HasReport:  r.HasLoad,
			Running:    int(r.Running),
			Waiting:    int(r.Waiting),
			ReportedAt: now.Add(-time.Duration(r.ReportAgeMs) * time.Millisecond),
			Models:     r.Models,
		})
	}
	for _, l := range v.Limits {
		if l.PerSecond >= 0 {
			out.Limits = append(out.Limits, scheduling.ReplicaLimit{
				ID: scheduling.ReplicaID{Upstream: l.Upstream, Replica: l.Replica},
				Known: requestlimit.Known{
					Statement: requestlimit.Statement{Limited: l.Limited, PerSecond: l.PerSecond}, At: now.Add(-time.Duration(l.AgeMs) * time.Millisecond),
				},
			})
		}
	}
	for _, h := range v.Hosts {
		if h.State != rpc.State_STATE_UNKNOWN {
			out.Hosts = append(out.Hosts, scheduling.EntryHost{Name: h.Host, Zone: h.AvailabilityZone, Live: h.State == rpc.State_STATE_LIVE})
		}
	}
	out.Quarantine = quarantineFromRPC(v.Quarantine)
	out.Parts = rpc.SuspectPartEntries(v.SuspectParts, now)
	for _, share := range v.Shares {
		out.Shares = append(out.Shares, scheduling.TeamShare{
			Team:            share.Team,
			TokensPerSecond: share.TokensPerSecond,
			InProgress:      share.InProgress,
			Expires:         now.Add(time.Duration(share.ValidMs) * time.Millisecond),
		})
	}
	return out
}

func replicaState(s rpc.State) scheduling.ReplicaState {
	switch s {
	case rpc.State_STATE_LEAVING:
		return scheduling.ReplicaLeaving
	case rpc.State_STATE_DEAD:
		return scheduling.ReplicaDead
	default:
		return scheduling.ReplicaLive
	}
}

func replicaIDs(names []string) []scheduling.ReplicaID {
	var out []scheduling.ReplicaID
	for _, name := range names {
		if id, ok := scheduling.ParseReplicaID(name); ok {
			out = append(out, id)
		}
	}
	return out
}

func quarantineFromRPC(entries []*rpc.QuarantineEntry) []scheduling.QuarantineEntry {
	var out []scheduling.QuarantineEntry
	for _, q := range entries {
		out = append(out, scheduling.QuarantineEntry{
			Fingerprint: q.Fingerprint,
			Replicas:    replicaIDs(q.CrashedReplicas),
			Expires:     time.UnixMilli(q.ExpiresUnixMs),
			Released:    q.Released,
		})
	}
	return out
}

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

func writeJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(value)
}
