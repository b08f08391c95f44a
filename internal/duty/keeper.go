package duty

import (
	"bytes"
	"context"
	"encoding/json"
	"slices"
	"sync"

	"github.com/rs/zerolog"

	"heatherbarrow/internal/lease"
)

// Lease is the lease of the duties, with the state that its holder keeps in it.
type Lease interface {
	Step(ctx context.Context) error
	Release(ctx context.Context) error
	Grant() (lease.Grant, bool)
	StoredState() (state json.RawMessage, era uint64)
	SetState(state json.RawMessage)
}

// Keeper keeps the state of the duties in their lease. A report is handed out only after it has been stored there, so
// that a successor sends the same one. Step, Release and SetOrders must be called by one goroutine; the other methods
// are safe for concurrent use.
type Keeper struct {
	lease  Lease
	rules  UsageRules // a zero value reports no usage
	ledger *Ledger
	logger zerolog.Logger

	token   uint64          // of the lease that state belongs to; 0 if it is not held
	state   State           // to be stored
	written json.RawMessage // state as last passed to the lease
	decoded json.RawMessage // stored state that reports was decoded from

	mu      sync.Mutex
	reports []Report // stored
	sent    map[int64]bool
}

// NewKeeper returns a Keeper that does not hold the lease yet.
func NewKeeper(l Lease, rules UsageRules, ledger *Ledger, logger zerolog.Logger) *Keeper {
	return &Keeper{lease: l, rules: rules, ledger: ledger, logger: logger, sent: make(map[int64]bool)}
}

// Held reports whether this host held the lease at the last step.
func (k *Keeper) Held() bool { return k.token != 0 }

// Orders returns the replicas that are wanted, as stored by this host or an earlier holder.
func (k *Keeper) Orders() []Order { return k.state.Orders }

// SetOrders sets the replicas that are wanted. They are stored with the next step.
func (k *Keeper) SetOrders(orders []Order) { k.state.Orders = slices.Clone(orders) }

// Step fixes the reports that are due at a moment in Unix milliseconds. It renews the lease, or tries to acquire it, if
// renew is set or the state has changed.
func (k *Keeper) Step(ctx context.Context, unixMs int64, renew bool) error {
	_, held := k.lease.Grant()
	if held && k.token != 0 && k.rules.Windows.Length > 0 {
		for _, r := range k.rules.Fix(&k.state, k.ledger, unixMs) {
			k.logger.Info().Int64("window", r.Window).Uint64("requests", r.total()).Int("teams", len(r.Counts)).
				Int64("age_ms", unixMs-k.rules.Windows.End(r.Window)).Msg("usage of window fixed")
		}
	}
	if changed := held && k.token != 0 && !bytes.Equal(k.written, k.encoded()); !changed && !renew {
		return nil
	}
	if k.token != 0 {
		k.written = k.encoded()
		k.lease.SetState(k.written)
	}
	err := k.lease.Step(ctx)
	grant, held := k.lease.Grant()
	stored, era := k.lease.StoredState()
	switch {
	case !held:
		k.setToken(0)
		return err
	case grant.Token != k.token:
		k.begin(grant, stored, era, unixMs)
	case k.state.EnterEra(era, k.window(unixMs)):
		k.logger.Warn().Uint64("era", era).Int64("first_window", k.state.FirstWindow).Msg("store came back from a copy, giving up reports of earlier windows")
	}
	k.handOut(stored)
	return err
}

// Release gives up the lease for a reason.
func (k *Keeper) Release(ctx context.Context, why string) error {
	if k.token != 0 {
		k.logger.Info().Str("why", why).Msg("giving up the lease of duties")
	}
	k.setToken(0)
	return k.lease.Release(ctx)
}

// Unsent returns the reports that are stored, not yet accepted by the platform and not overdue.
func (k *Keeper) Unsent(unixMs int64) (reports []Report) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, r := range k.reports {
		if !k.sent[r.Window] && k.rules.pending(r.Window, unixMs) {
			reports = append(reports, r)
		}
	}
	return reports
}

// Accepted notes that the platform has accepted the report of a window.
func (k *Keeper) Accepted(window int64) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.sent[window] = true
}

// window returns the current window, or 0 if no usage is reported.
func (k *Keeper) window(unixMs int64) int64 {
	if k.rules.Windows.Length == 0 {
		return 0
	}
	return k.rules.Windows.At(unixMs)
}

// begin takes over the duties with a lease that was just acquired.
func (k *Keeper) begin(grant lease.Grant, stored json.RawMessage, era uint64, unixMs int64) {
	var err error
	k.state, err = DecodeState(stored, era, k.window(unixMs))
	if err != nil {
		k.logger.Error().Err(err).Msg("state of duties cannot be read, beginning anew")
	}
	k.setToken(grant.Token)
	k.logger.Info().Uint64("fencing_token", grant.Token).Uint64("era", era).Int64("first_window", k.state.FirstWindow).
		Int("reports", len(k.state.Reports)).Int("orders", len(k.state.Orders)).Msg("duties taken over")
}

func (k *Keeper) setToken(token uint64) {
	if k.token == token {
		return
	}
	if k.token != 0 {
		k.logger.Info().Uint64("fencing_token", k.token).Msg("duties given up")
	}
	k.token, k.written, k.decoded = token, nil, nil
	k.mu.Lock()
	defer k.mu.Unlock()
	k.reports = nil
	clear(k.sent)
}

// encoded returns the state as it is stored.
func (k *Keeper) encoded() json.RawMessage {
	data, err := k.state.Encode()
	if err != nil {
		k.logger.Error().Err(err).Msg("state of duties cannot be encoded")
	}
	return data
}

// handOut makes the reports that are stored available to Unsent.
func (k *Keeper) handOut(stored json.RawMessage) {
	if bytes.Equal(stored, k.decoded) {
		return
	}
	k.decoded = stored
	var s State
	if err := json.Unmarshal(stored, &s); err != nil {
		k.logger.Error().Err(err).Msg("state of duties cannot be read")
		return
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	k.reports = s.Reports
}
