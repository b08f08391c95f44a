package gateway

import (
	"context"
	"encoding/json"
	"errors"
	"math/rand/v2"
	"slices"
	"time"

	"heatherbarrow/internal/gateway/fleet"
	"heatherbarrow/internal/gateway/state"
	"heatherbarrow/internal/objectstore"
)

const (
	// registerTimeout limits each registration of this host, each removal of its
	// registration, and each listing of the hosts with the removals that follow from it.
	registerTimeout = 2 * time.Second
	// registerRetryInterval is the time until a failed registration is retried.
	// hostListInterval is the time between two listings of the hosts; new hosts are usually
	// learned from the seeds and the other peers first. A host that does not follow the
	// store, because other hosts of its zone follow it for that host, lists them only every
	// nonFollowerHostListInterval.
	registerRetryInterval       = 2 * time.Second
	hostListInterval            = 30 * time.Second
	nonFollowerHostListInterval = 5 * time.Minute
	// firstHostListDelay is the time from the first registration attempt to the next host
	// listing. Hosts that start together do not see each other's registration any earlier,
	// and the store may return a list that is seconds old.
	firstHostListDelay = 3 * time.Second
	// newEraRegisterSpread is the time over which hosts register again when the store came back from a
	// copy.
	newEraRegisterSpread = time.Second
	// initialHostListTimeout limits the host listing before a host starts to follow the
	// store.
	initialHostListTimeout = 300 * time.Millisecond
)

var (
	errMembersNotListed = errors.New("the registrations have not been listed yet")
	errMembersEra       = errors.New("the store came back from a copy since the registrations were listed")
)

// storeService follows the configuration and the replica registrations in the store and
// maintains the registration of this host there.
type storeService struct {
	program *Program

	// Used only by the goroutine that runs maintainRegistration.
	registered   bool
	registeredAt time.Time
}

// Stop implements kernel.Stopper. It removes the registration of this host and its streams. The
// registration of a host that was killed is removed by other hosts.
func (s *storeService) Stop(ctx context.Context) error {
	callCtx, cancel := context.WithTimeout(ctx, registerTimeout)
	defer cancel()
	p := s.program
	if err := p.store.Remove(callCtx, p.adapter.KindHosts, p.settings.Host); err != nil {
		p.logger.Warn().Err(err).Msg("cannot remove the registration of this host")
	}
	if !p.streamsStored.Load() {
		return nil
	}
	// The other hosts know the streams that callers may still take up.
	if err := p.store.Remove(callCtx, p.adapter.KindStreams, p.settings.Host); err != nil {
		p.logger.Warn().Err(err).Msg("cannot remove the streams of this host")
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
	config := &state.Watcher{
		Store: p.store, Kind: p.adapter.KindConfig, State: p.state, Logger: p.logger, Apply: s.applyConfig, Role: p.role,
		Times: state.ProbeTimes(p.settings.configDelay()), NewestOnly: true,
	}
	members := &state.Watcher{
		Store: p.store, Kind: p.adapter.KindMembers, State: p.state, Logger: p.logger, Apply: s.applyMembers, Role: p.role,
		Times: state.WatchTimes{Wait: state.MaxWatchWait, Margin: state.WatchMargin},
	}
	config.Others = []*state.Watcher{members}
	members.Others = []*state.Watcher{config}
	go func() {
		s.loadInitialHosts(ctx)
		go config.Run(ctx)
		go members.Run(ctx)
		go newPartKeeper(p).run(ctx)
		go newRequestKeeper(p).run(ctx)
		go (&originKeeper{program: p}).run(ctx)
		s.maintainRegistration(ctx)
	}()
	return nil
}

// loadInitialHosts lists the registered hosts before this host starts to follow the
// store, adds them as peers and passes the names of those in its own zone to the peer
// exchange. It gives up after initialHostListTimeout, so that a slow store does not delay
// the followers.
func (s *storeService) loadInitialHosts(ctx context.Context) {
	p := s.program
	callCtx, cancel := context.WithTimeout(ctx, initialHostListTimeout)
	defer cancel()
	records, err := s.listHostRecords(callCtx)
	if err != nil {
		p.logger.Warn().Err(err).Msg("hosts cannot be listed at startup")
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

// applyConfig publishes the newest configuration received from the store. A watch may return many versions, which
// cost time to compile.
func (s *storeService) applyConfig(r objectstore.Revisions, _ bool) error {
	var versions [][]byte // the newest first
	for _, o := range slices.Backward(r.Objects) {
		if o.Name == s.program.adapter.NameConfig && !o.Deleted {
			versions = append(versions, o.Value)
		}
	}
	if len(versions) == 0 {
		return nil
	}
	return s.program.state.Publish(state.Config{Raw: versions[0], Source: state.FromStore, Earlier: versions[1:]})
}

// applyMembers publishes replica registrations received from the store. complete reports
// whether r contains all registrations rather than only the changed ones.
func (s *storeService) applyMembers(r objectstore.Revisions, complete bool) error {
	update := state.Members{Source: state.FromStore, Complete: complete, AsOf: r.AsOf, Era: r.Era}
	for _, o := range r.Objects {
		registration := state.Registration{Member: fleet.Member{ID: o.Name}, Revision: o.Version, Removed: o.Deleted}
		member, err := s.program.adapter.DecodeMember(o.Name, o.Value)
		switch {
		case err == nil:
			registration.Member = member // of a removed entry, as it was before
		case !o.Deleted:
			// An entry that another writer has overwritten with an invalid value does not
			// describe a usable replica, and the address registered before under this name
			// may no longer be valid.
			s.program.logger.Warn().Err(err).Str("replica", o.Name).Msg("invalid replica registration")
			registration.Removed = true
		}
		if registration.Removed && registration.Revision == 0 {
			registration.Revision = r.AsOf
		}
		update.Entries = append(update.Entries, registration)
	}
	return s.program.state.Publish(update)
}

// readMembers brings the registrations up to date: when it returns nil, they include all changes that the store had confirmed when
// it was called.
func (s *storeService) readMembers(ctx context.Context) error {
	p := s.program
	era := p.state.MembersEra() // before the revision, which begins anew with the era
	asOf := p.state.MembersAsOf()
	if asOf == 0 {
		return errMembersNotListed
	}
	r, err := p.store.WatchKind(ctx, p.adapter.KindMembers, asOf, state.MinWatchWait)
	if err != nil {
		return err
	}
	if r.Era != era {
		return errMembersEra
	}
	return s.applyMembers(r, false)
}

// hostRecord is the stored object that registers a host for the other hosts.
type hostRecord struct {
	PeerAddress      string `json:"peer_address"`
	AvailabilityZone string `json:"availability_zone"`
}

// maintainRegistration registers this host and periodically lists the other hosts until
// ctx ends.
func (s *storeService) maintainRegistration(ctx context.Context) {
	p := s.program
	record := hostRecord{PeerAddress: p.settings.PeerListen, AvailabilityZone: p.settings.AvailabilityZone}
	for first := true; ctx.Err() == nil; first = false {
		interval := hostListInterval
		switch {
		case first:
			interval = firstHostListDelay
		case !p.role.Following():
			interval = nonFollowerHostListInterval
		}
		if !s.registered {
			callCtx, cancel := context.WithTimeout(ctx, registerTimeout)
			err := p.store.Replace(callCtx, p.adapter.KindHosts, p.settings.Host, record)
			cancel()
			s.registered, s.registeredAt = err == nil, time.Now()
			if err != nil {
				p.logger.Warn().Err(err).Msg("cannot register this host")
				interval = registerRetryInterval
			}
		}
		timer := time.NewTimer(interval)
		select {
		case <-ctx.Done():
			timer.Stop()
			return
		case <-p.newEra:
			timer.Stop()
			p.logger.Info().Msg("registering this host again, as the store came back from a copy")
			s.registered = false
			s.sleep(ctx, rand.N(newEraRegisterSpread))
			continue
		case <-timer.C:
		}
		if err := s.refreshHosts(ctx); err != nil {
			p.logger.Warn().Err(err).Msg("hosts cannot be listed")
		}
	}
}

func (s *storeService) sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

// listHostRecords returns the registered hosts by name. Invalid registrations are logged
// and skipped.
func (s *storeService) listHostRecords(ctx context.Context) (map[string]hostRecord, error) {
	r, err := s.program.store.ListKindStale(ctx, s.program.adapter.KindHosts)
	if err != nil {
		return nil, err
	}
	records := make(map[string]hostRecord, len(r.Objects))
	for _, o := range r.Objects {
		var record hostRecord
		if err := json.Unmarshal(o.Value, &record); err != nil || record.PeerAddress == "" {
			s.program.logger.Warn().Str("name", o.Name).Msg("ignoring invalid host registration")
			continue
		}
		records[o.Name] = record
	}
	s.program.budget.SetHosts(len(records))
	return records, nil
}

// refreshHosts adds the registered hosts as peers, removes the registrations of hosts
// that have been silent for too long, and schedules a new registration of this host if
// its own is missing.
func (s *storeService) refreshHosts(ctx context.Context) error {
	callCtx, cancel := context.WithTimeout(ctx, registerTimeout)
	defer cancel()
	records, err := s.listHostRecords(callCtx)
	if err != nil {
		return err
	}
	// The list may be older than the registration of this host. A registration that is
	// really missing is detected by the next listing.
	_, listed := records[s.program.settings.Host]
	for name, record := range records {
		if s.program.peers.TakeExpired(record.PeerAddress) {
			s.program.logger.Info().Str("name", name).Msg("removing the registration of a host that is gone")
			for _, kind := range []string{s.program.adapter.KindHosts, s.program.adapter.KindStreams} {
				if err := s.program.store.Remove(callCtx, kind, name); err != nil {
					return err
				}
			}
			continue
		}
		s.program.peers.AddInZone(record.PeerAddress, record.AvailabilityZone)
	}
	if !listed && time.Since(s.registeredAt) > hostListInterval/2 {
		s.registered = false
	}
	return nil
}
