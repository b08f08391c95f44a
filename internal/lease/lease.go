// Package lease implements named leases in the platform's object store, each held
// by at most one process at a time. The fencing token follows from the object's version
// after the acquisition. The object may also hold state that only the holder changes and
// that its successor reads with its own acquisition.
package lease

import (
	"context"
	"encoding/json"
	"errors"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rotisserie/eris"
	"github.com/rs/xid"
	"github.com/rs/zerolog"

	"heatherbarrow/internal/objectstore"
)

// kindLease is the default kind of the objects in which leases are stored.
const kindLease = "lease"

const (
	defaultTTL      = 10 * time.Second
	defaultInterval = 2 * time.Second
	releaseTimeout  = time.Second
	// maxTTL is the longest TTL that a candidate waits for. A longer one in a lease
	// object counts as maxTTL.
	maxTTL = time.Hour
	// clockDriftDivisor sets the margin that a candidate adds to the TTL: the TTL
	// divided by it. The candidate's clock may run faster than the holder's.
	clockDriftDivisor = 10
)

// ErrNotHeld means that this host does not hold the lease, or that the lease may
// have expired.
var ErrNotHeld = errors.New("lease is not held")

// Store is the part of the object store's client that a lease uses.
type Store = objectstore.ConditionalStore

// Options configures a Holder. Zero durations select the defaults.
type Options struct {
	Store    Store
	Kind     string // of the objects; empty for the default
	Name     string // name of the lease, such as the availability zone
	Host     string
	Clock    clockwork.Clock
	Logger   zerolog.Logger
	TTL      time.Duration
	Interval time.Duration // time between renewals, and between a candidate's reads of the lease
	// Candidate reports whether this host may try to acquire the lease. A nil
	// function means that it always may.
	Candidate func() bool
	// NoQuickReturn keeps a host that held the lease before its latest holder from acquiring it until a TTL after this
	// process last held it, or started. Otherwise hosts may act in the order A, B, A within a TTL.
	NoQuickReturn bool
	// OneProcess tells that no two processes run with the same Host at a time, so that a process that was restarted need not
	// wait for the lease of the one before.
	OneProcess bool
	// Token returns the fencing token for the object that an acquisition wrote. It must rise
	// from one acquisition to the next. A nil function means the object's version, which
	// suffices where the store never goes back to an older copy.
	Token func(objectstore.Object) uint64
}

// Grant describes a lease that was held when the Grant was returned.
type Grant struct {
	// Token is the fencing token. It is higher than that of every earlier
	// acquisition.
	Token      uint64
	AcquiredAt time.Time // by the monotonic clock, when the answer to the acquisition arrived
	// ExpiresAt is by the monotonic clock. Each confirmed renewal whose send time is
	// known moves it forward.
	ExpiresAt time.Time
}

// record is the value of a lease object.
type record struct {
	Holder string `json:"holder"`
	// Acquisition is a unique identifier of one acquisition. With it, a process
	// recognizes its own acquisition after the answer was lost.
	Acquisition string `json:"acquisition"`
	Renewals    uint64 `json:"beat"` // number of renewals since the acquisition
	TTLMS       int64  `json:"ttl_ms"`
	Released    bool   `json:"released,omitempty"`
	Previous    string `json:"previous,omitempty"` // latest other host that held the lease
	// Era is that of the store as the writer knew it. An object with a record of an earlier era is from a copy: a later
	// holder may use the lease although the record does not tell it.
	Era uint64 `json:"era,omitempty"`
	// State is what the holder keeps with the lease, see Holder.SetState.
	State json.RawMessage `json:"state,omitempty"`
}

// sameWrite reports whether both records were written by the same write: each one has an
// acquisition, a number of renewals and a release of its own.
func (r *record) sameWrite(other *record) bool {
	return r.Acquisition == other.Acquisition && r.Renewals == other.Renewals && r.Released == other.Released
}

// writeAttempt is a write to the lease object whose outcome may not be known.
type writeAttempt struct {
	record record
	sentAt time.Time // taken before the request was sent
}

// Holder acquires and renews a lease. While it does not hold the lease, it is also
// called a candidate. Run, Step and Release must be called by one goroutine only;
// Grant and HolderName are safe for concurrent use.
type Holder struct {
	options Options

	observedVersion uint64          // latest object version read as a candidate
	observedEra     uint64          // era of the store then
	observedAt      time.Time       // when observedVersion was first read
	lastHeld        time.Time       // when the lease was last given up or expired; at first, when the process started
	missingSince    time.Time       // when the object was first missing; zero if it was there at the latest read
	lastWrite       writeAttempt    // latest write of this process
	state           json.RawMessage // to be written with the next renewal

	mu         sync.Mutex // guards the fields below
	held       bool
	grant      Grant
	version    uint64          // object version of the latest confirmed write
	lastHolder string          // last known holder: read from the object, or this host after an acquisition
	era        uint64          // of the store at the latest confirmed write
	stored     json.RawMessage // state in the object as of the latest confirmed write
}

// New returns a Holder that does not hold its lease yet.
func New(options Options) *Holder {
	if options.Clock == nil {
		options.Clock = clockwork.NewRealClock()
	}
	if options.TTL == 0 {
		options.TTL = defaultTTL
	}
	if options.Interval == 0 {
		options.Interval = defaultInterval
	}
	if options.Kind == "" {
		options.Kind = kindLease
	}
	if options.Token == nil {
		options.Token = func(o objectstore.Object) uint64 { return o.Version }
	}
	if options.Candidate == nil {
		options.Candidate = func() bool { return true }
	}
	return &Holder{options: options, lastHeld: options.Clock.Now()}
}

// Run acquires the lease when it is free and renews it until ctx ends, and then
// releases it.
func (h *Holder) Run(ctx context.Context) {
	ticker := h.options.Clock.NewTicker(h.options.Interval)
	defer ticker.Stop()
	for {
		stepCtx, cancel := context.WithTimeout(ctx, h.options.Interval)
		if err := h.Step(stepCtx); err != nil && ctx.Err() == nil {
			h.options.Logger.Debug().Err(err).Str("zone", h.options.Name).Msg("cannot acquire or renew lease")
		}
		cancel()
		select {
		case <-ctx.Done():
			releaseCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), releaseTimeout)
			defer cancel()
			_ = h.Release(releaseCtx)
			return
		case <-ticker.Chan():
		}
	}
}

// Grant returns the current grant, and whether this host holds the lease now.
// Callers check it immediately before each action that requires the lease.
func (h *Holder) Grant() (Grant, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.held || !h.options.Clock.Now().Before(h.grant.ExpiresAt) {
		return Grant{}, false
	}
	return h.grant, true
}

// HolderName returns the last known holder of the lease, which may no longer hold
// it.
func (h *Holder) HolderName() string {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.lastHolder
}

// StoredState returns the state in the lease's object as of the latest acquisition or confirmed renewal
// of this host, and the store's era then.
func (h *Holder) StoredState() (state json.RawMessage, era uint64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.stored, h.era
}

// SetState sets the state that the next renewal writes. It is stored once StoredState returns it. It must be
// called by the goroutine that calls Step.
func (h *Holder) SetState(state json.RawMessage) { h.state = state }

// Step renews the lease if it is held. Otherwise it acquires the lease if it is
// free and this host is a candidate.
func (h *Holder) Step(ctx context.Context) error {
	if _, ok := h.Grant(); ok {
		return h.renew(ctx)
	}
	h.markNotHeld()
	if !h.options.Candidate() {
		return nil
	}
	return h.acquireIfFree(ctx)
}

// markNotHeld records that the lease is no longer held.
func (h *Holder) markNotHeld() {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.held {
		h.options.Logger.Warn().Str("zone", h.options.Name).Uint64("fencing_token", h.grant.Token).Msg("lease lost")
		h.lastHeld = h.options.Clock.Now()
		if h.grant.ExpiresAt.Before(h.lastHeld) {
			h.lastHeld = h.grant.ExpiresAt
		}
	}
	h.held = false
}

func (h *Holder) read(ctx context.Context) (objectstore.Object, record, error) {
	var v record
	o, err := h.options.Store.Get(ctx, h.options.Kind, h.options.Name)
	if err != nil {
		return o, v, err
	}
	if err := json.Unmarshal(o.Value, &v); err != nil {
		return o, v, eris.Wrapf(err, "decode lease %s", h.options.Name)
	}
	h.mu.Lock()
	h.lastHolder = v.Holder
	h.mu.Unlock()
	return o, v, nil
}

// acquireIfFree acquires the lease if its object does not exist, was released, has
// expired or holds an earlier acquisition of this process.
func (h *Holder) acquireIfFree(ctx context.Context) error {
	o, v, err := h.read(ctx)
	if errors.Is(err, objectstore.ErrNotFound) {
		return h.acquireMissing(ctx)
	}
	if err != nil {
		return err
	}
	// The clock is read after the store has answered. The holder counts the TTL from
	// before it sent the write that is read here, so the lease expires for the holder
	// before it does for this candidate.
	now := h.options.Clock.Now()
	h.missingSince = time.Time{}
	if o.Version != h.observedVersion || o.Era != h.observedEra {
		h.observedVersion, h.observedEra, h.observedAt = o.Version, o.Era, now
	}
	ttl := h.clampTTL(v.TTLMS)
	expired := now.Sub(h.observedAt) > withDrift(ttl)
	ownAcquisition := v.Acquisition != "" && v.Acquisition == h.lastWrite.record.Acquisition
	// An earlier process of this host has ended, and with it the use of its lease.
	ownHost := h.options.OneProcess && v.Holder == h.options.Host
	restored := o.Era != v.Era
	if !expired && (restored || !v.Released && !ownAcquisition && !ownHost) {
		return nil
	}
	if h.options.NoQuickReturn && v.Previous == h.options.Host && v.Holder != h.options.Host && now.Sub(h.lastHeld) < ttl {
		return nil
	}
	return h.acquire(ctx, o, &v)
}

// acquireMissing creates the lease object. A process that knows that it existed waits for a lease that may be in use: the
// store came back from a copy that is older than the object.
func (h *Holder) acquireMissing(ctx context.Context) error {
	now := h.options.Clock.Now()
	if h.missingSince.IsZero() {
		h.missingSince = now
	}
	existed := h.observedVersion != 0 || h.lastWrite.record.Acquisition != ""
	if existed && now.Sub(h.missingSince) <= withDrift(h.options.TTL) {
		return nil
	}
	return h.acquire(ctx, objectstore.Object{}, &record{})
}

// withDrift returns how long a candidate waits for a lease with the given TTL to expire.
func withDrift(ttl time.Duration) time.Duration { return ttl + ttl/clockDriftDivisor }

// clampTTL limits the TTL read from a lease object to the range from this host's own
// TTL to maxTTL. With a TTL that is missing, negative or large enough to overflow a
// time.Duration, the lease would be taken over while its holder still uses it.
func (h *Holder) clampTTL(ms int64) time.Duration {
	ms = min(ms, maxTTL.Milliseconds())
	return max(time.Duration(ms)*time.Millisecond, h.options.TTL)
}

// acquire writes a new acquisition over the object, which holds the record before, or creates
// the object if its version is 0. The state of the previous holder is kept.
func (h *Holder) acquire(ctx context.Context, o objectstore.Object, before *record) error {
	version, state := o.Version, before.State
	h.state = state
	previous := before.Holder
	if previous == h.options.Host {
		previous = before.Previous
	}
	h.lastWrite = writeAttempt{
		record: record{
			Holder: h.options.Host, Acquisition: xid.New().String(), TTLMS: h.options.TTL.Milliseconds(),
			Previous: previous, Era: o.Era, State: state,
		},
		sentAt: h.options.Clock.Now(),
	}
	var err error
	if version == 0 {
		o, err = h.options.Store.Create(ctx, h.options.Kind, h.options.Name, h.lastWrite.record)
	} else {
		o, err = h.options.Store.Update(ctx, h.options.Kind, h.options.Name, version, h.lastWrite.record)
	}
	if errors.Is(err, objectstore.ErrUncertain) {
		o, err = h.confirmWrite(ctx)
	}
	if errors.Is(err, objectstore.ErrConflict) || errors.Is(err, ErrNotHeld) {
		return nil // another host acquired the lease, or the write did not take effect
	}
	if err != nil {
		return err
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.held, h.version, h.lastHolder = true, o.Version, h.options.Host
	h.era, h.stored = o.Era, state
	h.grant = Grant{Token: h.options.Token(o), AcquiredAt: h.options.Clock.Now(), ExpiresAt: h.lastWrite.sentAt.Add(h.options.TTL)}
	h.options.Logger.Info().Str("zone", h.options.Name).Uint64("fencing_token", h.grant.Token).Msg("lease acquired")
	return nil
}

// confirmWrite finds out whether a write whose answer was lost took effect. It
// returns the object if it holds the latest write of this process, and ErrNotHeld
// otherwise.
func (h *Holder) confirmWrite(ctx context.Context) (objectstore.Object, error) {
	o, v, err := h.read(ctx)
	if err != nil {
		return o, err
	}
	if !v.sameWrite(&h.lastWrite.record) {
		return o, ErrNotHeld
	}
	return o, nil
}

// renew writes a renewal. If the outcome is uncertain, the version conflicts or the
// object is gone, the object is read to find out whether the lease is still held.
func (h *Holder) renew(ctx context.Context) error {
	h.mu.Lock()
	version, era := h.version, h.era
	h.mu.Unlock()
	next := h.lastWrite.record
	next.Era = era
	next.Renewals++
	next.State = h.state
	h.lastWrite = writeAttempt{record: next, sentAt: h.options.Clock.Now()}
	o, err := h.options.Store.Update(ctx, h.options.Kind, h.options.Name, version, next)
	if err == nil {
		h.extendGrant(o, next.State, h.lastWrite.sentAt.Add(h.options.TTL))
		return nil
	}
	if !errors.Is(err, objectstore.ErrUncertain) && !errors.Is(err, objectstore.ErrConflict) && !errors.Is(err, objectstore.ErrNotFound) {
		return err
	}
	return h.resolveRenewal(ctx)
}

// resolveRenewal reads the object to find out which renewal took effect. If the read
// fails, the lease still expires as set by the latest confirmed renewal.
func (h *Holder) resolveRenewal(ctx context.Context) error {
	o, v, err := h.read(ctx)
	switch {
	case errors.Is(err, objectstore.ErrNotFound):
		h.markNotHeld()
		return nil
	case err != nil:
		return err
	case v.Acquisition != h.lastWrite.record.Acquisition || v.Released:
		h.markNotHeld()
	case v.sameWrite(&h.lastWrite.record):
		h.extendGrant(o, v.State, h.lastWrite.sentAt.Add(h.options.TTL))
	default:
		h.extendGrant(o, v.State, time.Time{}) // an earlier renewal took effect, whose send time is not kept
	}
	return nil
}

// extendGrant records a confirmed write of an object with the given state. It never moves the expiry back.
func (h *Holder) extendGrant(o objectstore.Object, state json.RawMessage, expiresAt time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.version, h.era, h.stored = o.Version, o.Era, state
	if expiresAt.After(h.grant.ExpiresAt) {
		h.grant.ExpiresAt = expiresAt
	}
}

// Release releases the lease. Grant stops returning it before the request is sent.
func (h *Holder) Release(ctx context.Context) error {
	h.mu.Lock()
	held, version, era := h.held, h.version, h.era
	h.held = false
	h.mu.Unlock()
	if !held {
		return nil
	}
	h.lastHeld = h.options.Clock.Now()
	v := h.lastWrite.record
	v.Released, v.Era = true, era
	v.State = h.state
	_, err := h.options.Store.Update(ctx, h.options.Kind, h.options.Name, version, v)
	return eris.Wrapf(err, "release lease %s", h.options.Name)
}
