package state

import (
	"bytes"
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"heatherbarrow/internal/bus"
	"heatherbarrow/internal/gateway/boottime"
	"heatherbarrow/internal/gateway/fleet"
	"heatherbarrow/internal/gateway/origin"
	"heatherbarrow/internal/gateway/routing"
)

var (
	// ErrStopped means that the state no longer accepts events.
	ErrStopped = errors.New("state is stopped")
)

// Source identifies where an update came from.
type Source string

// Sources of updates.
const (
	FromStore Source = "store"
	FromPeer  Source = "peer"
)

// Config is an update of the configuration, encoded as in the store.
type Config struct {
	Raw    []byte
	Source Source
	// Earlier are versions before Raw, the newest first. The first one that can be decoded takes effect if Raw
	// cannot.
	Earlier [][]byte
}

// Members is an update of the replicas' registrations.
type Members struct {
	Entries []Registration
	Source  Source
	// Complete means that Entries holds all registrations as of the store's revision AsOf.
	// Otherwise Entries holds all changes up to AsOf since the revision that was passed to the
	// watch or the pull.
	Complete bool
	AsOf     uint64
	Era      uint64 // of the store's revisions, see objectstore.Revisions.Era
	// Versions are the software versions that the peer knows of, those of replicas that have gone included; empty from the
	// store and from an earlier build.
	Versions []origin.Version
	// VersionsComplete means that Versions holds all that may have begun a stream which can still be taken up.
	VersionsComplete bool
}

// StoreCall is the outcome of a call to the store.
type StoreCall struct {
	Err error
	Era uint64 // of the store, if Err is nil and the answer tells it
}

// notFollowing means that this host has stopped following the store.
type notFollowing struct{}

// tick is the periodic event that ends expired holds.
type tick struct{}

// Options configures a State.
type Options struct {
	Bus   *bus.Bus
	Fleet *fleet.Fleet
	// Origins is told which software versions are in use; nil for none.
	Origins *origin.Tracker
	Decode  func([]byte) (routing.Config, error) // decodes a configuration that is encoded as in the store
	Logger  zerolog.Logger
	// MaxWithdrawTime is the time after a replica has left within which it must stop receiving
	// requests.
	MaxWithdrawTime time.Duration
	// MaxConfigDelay is the time within which a change of the configuration must be in force.
	MaxConfigDelay time.Duration
	// RegistrationLapse is the time after which the store removes the registration of a replica that
	// no longer renews it.
	RegistrationLapse time.Duration
	// OnNewEra is called when the store has come back from a copy: what this host wrote there may be
	// lost.
	OnNewEra func()
	// OnStoreChange is called after a configuration or a change of replicas from the store took
	// effect, and after a hold ended. It is not called for updates from a peer, as the
	// other hosts get these from that peer too.
	OnStoreChange func()
}

// Origin is the source of the configuration in force and the time when it took effect.
type Origin struct {
	Source Source
	At     time.Time
}

// State holds the configuration in force and the registrations of replicas on a host.
type State struct {
	opts Options

	table           atomic.Pointer[routing.Table]
	configOrigin    atomic.Pointer[Origin] // of the configuration in table
	rawConfig       atomic.Pointer[[]byte]
	storeEra        atomic.Uint64  // the highest era of the store that this host knows of
	membersEra      atomic.Uint64  // the era of the registrations
	membersRevision atomic.Uint64  // the highest revision of any registration of the era
	membersAsOf     atomic.Uint64  // the store's revision up to which no change of registrations is missing
	storeReachable  atomic.Bool    // the last call to the store succeeded; false before the first call
	storeLost       atomic.Bool    // the last call to the store failed; false before the first call and on a host that does not follow the store
	storeAnswered   boottime.Stamp // the last successful call to the store
	membersListed   atomic.Bool    // a full list, which may be empty, or some registrations from a peer have been received

	// The control goroutine, which runs handle, alone changes the registry's entries, with mu
	// locked; other goroutines read them with mu read-locked.
	mu       sync.RWMutex
	registry *registry

	// The fields below are used only by the control goroutine.
	lastUnstableAt time.Time // last failed call to the store, or the recovery after it, whichever is later
	storeFailing   bool      // same value as storeLost
	everAnswered   bool      // a call to the store succeeded
}

// New returns a State without configuration and replicas.
func New(opts Options) *State {
	return &State{opts: opts, registry: newRegistry(opts.MaxWithdrawTime, opts.RegistrationLapse)}
}

// Name implements kernel.Service.
func (s *State) Name() string { return "state" }

// Dependencies implements kernel.Dependent.
func (s *State) Dependencies() []string { return []string{"bus"} }

// Start implements kernel.Starter.
func (s *State) Start(ctx context.Context) error { return s.opts.Bus.Subscribe(ctx, s.handle) }

// Publish sends an event to the control goroutine and waits until it has been handled.
func (s *State) Publish(event any) error {
	if err := s.opts.Bus.Publish(event); err != nil {
		return ErrStopped
	}
	return nil
}

// Tick ends the holds that have expired. It must be called several times a second, so that the
// other hosts soon learn of the end of a hold; the fleet itself stops picking the replica without
// it.
func (s *State) Tick() error { return s.Publish(tick{}) }

// Table returns the routing table of the configuration in force, or nil when there is none.
func (s *State) Table() *routing.Table { return s.table.Load() }

// ConfigVersion returns the version of the configuration in force, or 0 when there is none.
func (s *State) ConfigVersion() int64 {
	if t := s.table.Load(); t != nil {
		return t.Version
	}
	return 0
}

// ConfigOrigin returns the origin of the configuration in force.
func (s *State) ConfigOrigin() Origin {
	if o := s.configOrigin.Load(); o != nil {
		return *o
	}
	return Origin{}
}

// RawConfig returns the configuration in force, encoded as in the store.
func (s *State) RawConfig() []byte {
	if rawConfig := s.rawConfig.Load(); rawConfig != nil {
		return *rawConfig
	}
	return nil
}

// StoreEra returns the highest era of the store that this host knows of.
func (s *State) StoreEra() uint64 { return s.storeEra.Load() }

// MembersEra returns the era of the registrations.
func (s *State) MembersEra() uint64 { return s.membersEra.Load() }

// MembersRevision returns the highest revision of any registration of the era.
func (s *State) MembersRevision() uint64 { return s.membersRevision.Load() }

// MembersAhead reports whether registrations of the given era up to the given revision are newer than
// those of this host. Era 0 stands for that of this host.
func (s *State) MembersAhead(era, revision uint64) bool {
	if own := s.MembersEra(); era != 0 && era != own {
		return era > own
	}
	return revision > s.MembersRevision()
}

// MembersSince returns the registrations that changed after a revision of an era, and the era and the
// revision membersAsOf up to which they include all changes. If revision is 0 or of another era, or if
// removals after it are not known or remembered, it returns all known registrations instead. complete
// reports that these include a full list; it is false if this host has not received one yet.
func (s *State) MembersSince(era, revision uint64) (entries []Registration, membersEra, membersAsOf uint64, complete bool) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	membersEra, membersAsOf = s.registry.era, s.membersAsOf.Load()
	if revision == 0 || revision < s.registry.forgottenRevision || era != 0 && era != membersEra {
		return s.registry.all(), membersEra, membersAsOf, membersAsOf > 0
	}
	return s.registry.since(revision), membersEra, membersAsOf, false
}

// MembersAsOf returns the store's revision up to which no change of registrations is missing.
func (s *State) MembersAsOf() uint64 { return s.membersAsOf.Load() }

// Known reports whether this host has received a configuration and the registrations, which it
// needs to be ready for requests.
func (s *State) Known() bool { return s.table.Load() != nil && s.membersListed.Load() }

// StoreLost reports whether the last call to the store failed. It is false on a host that
// has made no call yet, as the store may well be reachable from there.
func (s *State) StoreLost() bool { return s.storeLost.Load() }

// StoreReachable reports whether the last call to the store succeeded.
func (s *State) StoreReachable() bool { return s.storeReachable.Load() }

// StoreAnsweredRecently reports whether a call to the store succeeded within the time in which a change of the
// configuration must be in force. A host that does not follow the store makes no calls.
func (s *State) StoreAnsweredRecently() bool { return s.storeAnswered.Within(s.opts.MaxConfigDelay) }

// StoreAnswerAge returns how long ago the last call to the store succeeded, suspensions of this host included, or a
// negative time if none did.
func (s *State) StoreAnswerAge() time.Duration { return s.storeAnswered.Age() }

func (s *State) handle(event any) {
	now := time.Now()
	switch e := event.(type) {
	case Config:
		s.applyConfig(e)
	case Members:
		s.applyMembers(e, now)
	case StoreCall:
		s.recordStoreCall(e.Err, now)
		if e.Err == nil {
			s.recordEra(e.Era, FromStore, s.everAnswered, now)
			s.everAnswered = true
		}
	case notFollowing:
		s.setStoreLost(false, now) // it makes no calls that could show when the store is back
		s.storeFailing = false
	case tick:
		s.mu.Lock()
		expired := s.registry.expire(now)
		s.mu.Unlock()
		if expired {
			s.installMembers("hold ended", FromStore, now)
		}
	}
}

// applyConfig puts a configuration into force if it is newer than the current one.
func (s *State) applyConfig(config Config) {
	if s.table.Load() != nil && bytes.Equal(config.Raw, s.RawConfig()) {
		return // a list after a watch usually returns what is in force
	}
	decoded, err := s.opts.Decode(config.Raw)
	if err != nil {
		s.opts.Logger.Error().Err(err).Str("source", string(config.Source)).Msg("cannot decode configuration; keeping the previous one")
		if len(config.Earlier) > 0 {
			s.applyConfig(Config{Raw: config.Earlier[0], Source: config.Source, Earlier: config.Earlier[1:]})
		}
		return
	}
	previous := s.ConfigVersion()
	if s.table.Load() != nil && decoded.Version <= previous {
		return
	}
	table := routing.Compile(decoded)
	s.opts.Fleet.SetUpstreams(decoded.Upstreams)
	s.rawConfig.Store(&config.Raw)
	s.configOrigin.Store(&Origin{Source: config.Source, At: time.Now()})
	s.table.Store(table)
	s.opts.Logger.Info().Int64("version", decoded.Version).Int64("before", previous).Str("source", string(config.Source)).
		Int("routes", len(decoded.Routes)).Int("teams", len(decoded.Teams)).Msg("configuration in force")
	if config.Source == FromStore {
		s.opts.OnStoreChange()
	}
}

// storeUnstable reports whether the last call to the store failed, or a failed call or the
// recovery after it is less than unstableWindow ago. Registrations that vanish in that time may
// belong to live replicas.
func (s *State) storeUnstable(now time.Time) bool {
	return s.storeFailing || !s.lastUnstableAt.IsZero() && now.Sub(s.lastUnstableAt) < unstableWindow
}

// applyMembers merges an update of the registrations and passes the changes to the fleet.
func (s *State) applyMembers(update Members, now time.Time) {
	// Updates from a peer start no hold because of this host's failed store calls: the store
	// may be unreachable from this host only.
	storeUnstable := update.Source == FromStore && s.storeUnstable(now)
	if update.Source == FromPeer {
		s.recordEra(update.Era, FromPeer, s.StoreEra() > 0, now)
	}
	s.noteVersions(&update, now)
	changed, outdated := s.merge(update, storeUnstable, now)
	if outdated > 0 || changed {
		s.opts.Logger.Info().Str("source", string(update.Source)).Uint64("era", update.Era).Uint64("as_of", update.AsOf).
			Int("entries", len(update.Entries)).Int("outdated", outdated).Bool("complete", update.Complete).Msg("registrations received")
	}
	if changed {
		s.installMembers("registrations changed", update.Source, now)
	}
	if update.Complete || update.Source == FromPeer && len(update.Entries) > 0 {
		s.membersListed.Store(true)
	}
}

// merge merges an update into the registry. It reports whether the registry changed, and how many
// entries of the update are older than those that this host has.
func (s *State) merge(update Members, storeUnstable bool, now time.Time) (changed bool, outdated int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if update.Era == 0 {
		update.Era = s.registry.era // from a store without eras, or from a host that does not tell them
	}
	switch {
	case update.Era < s.registry.era:
		return false, len(update.Entries)
	case update.Era > s.registry.era && !update.Complete && len(s.registry.entries) > 0:
		// What the other entries are in that era is not known.
		return false, len(update.Entries)
	case update.Era > s.registry.era:
		s.registry.beginEra(update.Era)
		s.membersAsOf.Store(0)
	}
	listedIDs := make(map[string]bool, len(update.Entries))
	for _, r := range update.Entries {
		listedIDs[r.ID] = true
		if update.Source == FromStore || r.Era == 0 {
			r.Era = update.Era
		}
		old := s.registry.entries[r.ID]
		if old != nil && old.compare(&r) > 0 {
			outdated++
		} else {
			s.noteProcess(old, &r, &update, now)
		}
		changed = s.registry.merge(r, storeUnstable, now) || changed
	}
	if update.Complete {
		// Removals before the list, of entries that this host never had, are not known.
		s.registry.forgottenRevision = max(s.registry.forgottenRevision, update.AsOf)
		changed = s.registry.applyFullList(listedIDs, update.AsOf, storeUnstable, now) || changed
		s.noteListedProcesses()
	}
	s.membersEra.Store(s.registry.era)
	s.membersRevision.Store(s.registry.revision)
	if update.AsOf > s.membersAsOf.Load() {
		s.membersAsOf.Store(update.AsOf)
	}
	return changed, outdated
}

// installMembers applies changed registrations to the fleet and, when they came from the store,
// calls Options.OnStoreChange.
func (s *State) installMembers(reason string, source Source, now time.Time) {
	changed, removedIDs := s.registry.takeChanges(now)
	if s.opts.Origins != nil {
		// Before the fleet picks a replica of a new version: its first stream must be reported.
		s.opts.Origins.SetInUse(s.registry.versions(now), now)
	}
	s.opts.Fleet.Update(changed, removedIDs)
	inUse, leaving := s.registry.counts(now)
	s.opts.Logger.Info().Uint64("era", s.registry.era).Uint64("revision", s.registry.revision).Str("source", string(source)).Str("why", reason).
		Int("replicas", inUse).Int("changed", len(changed)).Int("gone", len(removedIDs)).Int("leaving", leaving).Int("held", s.registry.held).Msg("replicas in use")
	if source == FromStore {
		s.opts.OnStoreChange()
	}
}

// recordEra records the store's era, and whether an earlier one was known. A store that came back from a
// copy has lost entries, which their writers write again, so it counts as unstable.
func (s *State) recordEra(era uint64, source Source, earlierKnown bool, now time.Time) {
	previous := s.storeEra.Load()
	if era <= previous {
		return
	}
	s.storeEra.Store(era)
	if !earlierKnown {
		return
	}
	s.lastUnstableAt = now
	s.opts.Logger.Warn().Uint64("era", era).Uint64("before", previous).Str("source", string(source)).Msg("store came back from a copy")
	if s.opts.Origins != nil {
		s.opts.Origins.LoseVersions(now)
	}
	if s.opts.OnNewEra != nil {
		s.opts.OnNewEra()
	}
}

// recordStoreCall updates the store's status after a call.
func (s *State) recordStoreCall(err error, now time.Time) {
	s.setStoreLost(err != nil, now)
	if err != nil {
		if !s.storeFailing {
			s.opts.Logger.Warn().Err(err).Msg("store lost")
		}
		s.storeFailing = true
		s.lastUnstableAt = now
		s.storeReachable.Store(false)
		return
	}
	if s.storeFailing {
		s.opts.Logger.Info().Dur("since_failure_ms", now.Sub(s.lastUnstableAt)).Msg("store regained")
		s.lastUnstableAt = now
	}
	s.storeFailing = false
	s.storeAnswered.Set()
	s.storeReachable.Store(true)
}

func (s *State) setStoreLost(lost bool, now time.Time) {
	s.storeLost.Store(lost)
	if s.opts.Origins != nil {
		s.opts.Origins.SetStoreLost(lost, now)
	}
}
