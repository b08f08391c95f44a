package gateway

import (
	"context"
	"encoding/json"
	"time"

	"heatherbarrow/internal/gateway/fleet"
	"heatherbarrow/internal/gateway/state"
	"heatherbarrow/internal/objectstore"
)

const (
	// registerTimeout bounds a call that makes this host known.
	registerTimeout = 2 * time.Second
	// registerPause is the pause between two tries, and listPause that between two
	// looks at the hosts: the seeds and the other hosts usually tell of new ones. A host for
	// which others follow the store looks rarely.
	registerPause = 2 * time.Second
	listPause     = 30 * time.Second
	rareListPause = 5 * time.Minute
	// earlyListPause is the pause before the first look after the registration: hosts that
	// start together do not see each other's before, and a list may be seconds old.
	earlyListPause = 3 * time.Second
	// presumeTimeout bounds the look at the hosts before a host begins to follow the store.
	presumeTimeout = 300 * time.Millisecond
)

// storeService follows the store and makes this host known there.
type storeService struct {
	program *Program

	// Used by register alone.
	registered   bool
	registeredAt time.Time
}

// Stop implements kernel.Stopper. It takes this host's registration back; other
// hosts do so for one that was killed.
func (s *storeService) Stop(ctx context.Context) error {
	call, cancel := context.WithTimeout(ctx, registerTimeout)
	defer cancel()
	p := s.program
	if err := p.store.Remove(call, p.adapter.KindHosts, p.settings.Host); err != nil {
		p.logger.Warn().Err(err).Msg("registration of this host is not removed")
	}
	return nil
}

// Name implements kernel.Service.
func (s *storeService) Name() string { return "store" }

// Dependencies implements kernel.Dependent.
func (s *storeService) Dependencies() []string { return []string{"state", "peers"} }

// Start implements kernel.Starter.
func (s *storeService) Start(ctx context.Context) error {
	p := s.program
	probe := func(fresh bool) time.Duration {
		if p.peers.StoreFollowingShared() {
			return state.SharedWait
		}
		return state.ProbeWaitFor(p.fleet.Hosts(), fresh)
	}
	margin := func() time.Duration {
		if p.peers.StoreFollowingShared() {
			return state.SharedMargin
		}
		return state.WatchMargin
	}
	long := func(bool) time.Duration { return state.LongWait }
	config := &state.Follower{
		Store: p.store, Kind: p.adapter.KindConfig, State: p.state, Logger: p.logger, Wait: probe, Apply: s.applyConfig, Role: p.role,
		Margin: margin,
	}
	members := &state.Follower{
		Store: p.store, Kind: p.adapter.KindMembers, State: p.state, Logger: p.logger, Wait: long, Apply: s.applyMembers, Role: p.role,
	}
	config.Others = []*state.Follower{members}
	members.Others = []*state.Follower{config}
	go func() {
		s.presumeHosts(ctx)
		go config.Run(ctx)
		go members.Run(ctx)
		s.register(ctx)
	}()
	return nil
}

// presumeHosts looks which hosts of the zone are registered before this one begins to follow
// the store. A store that does not answer at once is not waited for.
func (s *storeService) presumeHosts(ctx context.Context) {
	p := s.program
	call, cancel := context.WithTimeout(ctx, presumeTimeout)
	defer cancel()
	records, err := s.hostRecords(call)
	if err != nil {
		p.logger.Warn().Err(err).Msg("hosts cannot be listed at the start")
		return
	}
	var neighbors []string
	for name, record := range records {
		if record.AvailabilityZone == p.settings.AvailabilityZone {
			neighbors = append(neighbors, name)
		}
		p.peers.AddInZone(record.PeerAddress, record.AvailabilityZone)
	}
	p.peers.AssumeLive(neighbors)
}

func (s *storeService) applyConfig(r objectstore.Revisions, _ bool) error {
	for _, o := range r.Objects {
		if o.Name != s.program.adapter.NameConfig || o.Deleted {
			continue
		}
		if err := s.program.state.Publish(state.Config{Raw: o.Value, Source: state.FromStore}); err != nil {
			return err
		}
	}
	return nil
}

func (s *storeService) applyMembers(r objectstore.Revisions, complete bool) error {
	news := state.Members{Source: state.FromStore, Complete: complete, AsOf: r.AsOf}
	for _, o := range r.Objects {
		n := state.Registration{Member: fleet.Member{ID: o.Name}, Revision: o.Version, Removed: o.Deleted}
		if !o.Deleted {
			member, err := s.program.adapter.DecodeMember(o.Name, o.Value)
			if err == nil {
				n.Member = member
			} else {
				// An entry by another writer names no replica to use, nor does it say any
				// more where the one is that had the name.
				s.program.logger.Warn().Err(err).Str("replica", o.Name).Msg("registration names no replica")
				n.Removed = true
			}
		}
		if n.Removed && n.Revision == 0 {
			n.Revision = r.AsOf
		}
		news.Entries = append(news.Entries, n)
	}
	return s.program.state.Publish(news)
}

// hostRecord is this product's own object that makes a host known to the others.
type hostRecord struct {
	PeerAddress      string `json:"peer_address"`
	AvailabilityZone string `json:"availability_zone"`
}

// register makes this host known and looks for others.
func (s *storeService) register(ctx context.Context) {
	p := s.program
	record := hostRecord{PeerAddress: p.settings.PeerListen, AvailabilityZone: p.settings.AvailabilityZone}
	for early := true; ctx.Err() == nil; early = false {
		pause := listPause
		switch {
		case early:
			pause = earlyListPause
		case !p.role.Following():
			pause = rareListPause
		}
		if !s.registered {
			call, cancel := context.WithTimeout(ctx, registerTimeout)
			err := p.store.Replace(call, p.adapter.KindHosts, p.settings.Host, record)
			cancel()
			s.registered, s.registeredAt = err == nil, time.Now()
			if err != nil {
				p.logger.Warn().Err(err).Msg("host is not registered")
				pause = registerPause
			}
		}
		timer := time.NewTimer(pause)
		select {
		case <-ctx.Done():
			timer.Stop()
			return
		case <-timer.C:
		}
		if err := s.listHosts(ctx); err != nil {
			p.logger.Warn().Err(err).Msg("hosts cannot be listed")
		}
	}
}

// hostRecords returns the registered hosts by name.
func (s *storeService) hostRecords(ctx context.Context) (map[string]hostRecord, error) {
	r, err := s.program.store.ListKindStale(ctx, s.program.adapter.KindHosts)
	if err != nil {
		return nil, err
	}
	records := make(map[string]hostRecord, len(r.Objects))
	for _, o := range r.Objects {
		var record hostRecord
		if err := json.Unmarshal(o.Value, &record); err != nil || record.PeerAddress == "" {
			s.program.logger.Warn().Str("name", o.Name).Msg("host's registration is ignored")
			continue
		}
		records[o.Name] = record
	}
	return records, nil
}

func (s *storeService) listHosts(ctx context.Context) error {
	call, cancel := context.WithTimeout(ctx, registerTimeout)
	defer cancel()
	records, err := s.hostRecords(call)
	if err != nil {
		return err
	}
	// A list may be older than this host's registration; one that stays away is missed by
	// the next look.
	_, found := records[s.program.settings.Host]
	for name, record := range records {
		if s.program.peers.TakeExpired(record.PeerAddress) {
			s.program.logger.Info().Str("name", name).Msg("registration of a host that is gone is removed")
			if err := s.program.store.Remove(call, s.program.adapter.KindHosts, name); err != nil {
				return err
			}
			continue
		}
		s.program.peers.AddInZone(record.PeerAddress, record.AvailabilityZone)
	}
	if !found && time.Since(s.registeredAt) > listPause/2 {
		s.registered = false
	}
	return nil
}
