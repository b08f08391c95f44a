// Package placement decides which models the engines of an availability zone
// hold, and sends the engines orders to load and unload models. The host that
// holds the zone's lease does this; see docs/operators/placement.md.
package placement

import (
	"context"
	"encoding/json"
	"errors"
	"slices"
	"strings"
	"time"

	"github.com/rotisserie/eris"
	"github.com/rs/zerolog"

	"heatherbarrow/internal/lease"
	"heatherbarrow/internal/objectstore"
	"heatherbarrow/internal/scheduling"
)

// Kind is the kind of the objects in which desired states are stored.
const Kind = "placement"

// errStaleToken means that a later lease holder has written the desired state.
var errStaleToken = errors.New("desired state was written by a later lease holder")

// Replica is an engine of the zone with its configuration and its last reported
// state.
type Replica struct {
	ID      scheduling.ReplicaID
	Address string
	// ChecksFencing reports whether the engine refuses orders with a stale fencing
	// token.
	ChecksFencing bool
	Live          bool
	HasReport     bool          // whether the view has a load report, and with it Running, Models and Role
	ReportAge     time.Duration // age of the load report
	Running       int           // number of running requests
	Models        []string
	// HasUnlistedModels reports whether the engine also holds models that the bundle
	// does not list. The view does not carry their names, so they are not in Models.
	HasUnlistedModels bool
	Role              string
	// ConfiguredRole and Pinned, the pinned models, are set in the bundle; both may be
	// empty.
	ConfiguredRole string
	Pinned         []string
}

// Demand is the demand of a class for a model, as a decayed average rate.
type Demand struct {
	Class           string
	Tier            int
	Model           string
	TokensPerSecond float64
}

// Pool holds the zone's replicas of one engine upstream and the demand of the classes
// that use the upstream.
type Pool struct {
	Upstream string
	Models   []string // models of the upstream; empty if no class uses it
	Replicas []Replica
	Demand   []Demand
	// UnknownDemandHosts are the hosts of the zone whose demand is not known. While
	// there are any, no model is unloaded to make room for another.
	UnknownDemandHosts []string
}

// Source provides the input of the planner.
type Source interface {
	// Pools returns the current state of the zone's engine upstreams.
	Pools() []Pool
}

// Target is the desired state of a replica.
type Target struct {
	Models []string `json:"models"`
	// Role is empty unless the bundle sets one.
	Role          string `json:"role,omitempty"`
	ChangedUnixMS int64  `json:"changed_unix_ms"`
	Reason        string `json:"reason,omitempty"`
}

// Desired is the desired state of a zone, the value of the object
// placement/{zone}.
type Desired struct {
	// FencingToken is the token of the lease holder that last wrote the object.
	FencingToken uint64 `json:"fencing_token"`
	// Targets are keyed by upstream/replica.
	Targets map[string]Target `json:"targets"`
}

func (d *Desired) clone() *Desired {
	out := *d
	out.Targets = make(map[string]Target, len(d.Targets))
	for id, t := range d.Targets {
		t.Models = slices.Clone(t.Models)
		out.Targets[id] = t
	}
	return &out
}

// Store is the part of the object store's client that placement uses.
type Store interface {
	Get(ctx context.Context, kind, name string) (objectstore.Object, error)
	Create(ctx context.Context, kind, name string, value any) (objectstore.Object, error)
	Update(ctx context.Context, kind, name string, version uint64, value any) (objectstore.Object, error)
}

// Lease is the lease of the zone.
type Lease interface {
	// Grant returns the current grant, and whether this host holds the lease now.
	Grant() (lease.Grant, bool)
}

// Manager plans a zone's placement and dispatches orders while its host holds the
// zone's lease. Step must be called by one goroutine only.
type Manager struct {
	Zone       string
	Lease      Lease
	Store      Store
	Source     Source
	Planner    *Planner
	Dispatcher *Dispatcher
	Logger     zerolog.Logger

	unknownDemandHosts string   // hosts whose demand is not known, as last logged
	desired            *Desired // nil until read under the current grant, and after a failed write
	version            uint64   // version of the stored object, 0 if there is none
}

// Step updates the zone's desired state to match demand and starts sending the orders
// that may be sent now. It does nothing while the lease is not held.
func (m *Manager) Step(ctx context.Context) error {
	grant, ok := m.Lease.Grant()
	if !ok {
		m.desired = nil
		return nil
	}
	if m.desired == nil || m.desired.FencingToken != grant.Token {
		if err := m.takeOver(ctx, grant); err != nil {
			return err
		}
	}
	pools := m.Source.Pools()
	next, decisions := m.Planner.Plan(m.desired, pools)
	if len(decisions) > 0 {
		if err := m.writeDesired(ctx, next); err != nil {
			return err
		}
		m.logDecisions(decisions, grant.Token)
	}
	m.logUnknownDemandHosts(pools)
	m.Dispatcher.Dispatch(ctx, m.desired, pools)
	return nil
}

// logUnknownDemandHosts logs each change in the set of hosts whose demand is not
// known. Without pools, no host counts as unknown.
func (m *Manager) logUnknownDemandHosts(pools []Pool) {
	unknownDemandHosts := ""
	if len(pools) > 0 {
		unknownDemandHosts = strings.Join(pools[0].UnknownDemandHosts, ",")
	}
	if unknownDemandHosts == m.unknownDemandHosts {
		return
	}
	m.unknownDemandHosts = unknownDemandHosts
	if unknownDemandHosts == "" {
		m.Logger.Info().Str("zone", m.Zone).Msg("placement may move models again: no host with unknown demand remains")
		return
	}
	m.Logger.Warn().Str("zone", m.Zone).Str("hosts", unknownDemandHosts).Msg("placement moves no models: demand of hosts is not known")
}

// takeOver reads the desired state and writes it back with the fencing token of
// this host's grant. The write changes the object's version, so that a write of an
// earlier holder that is still in flight fails its version check.
func (m *Manager) takeOver(ctx context.Context, grant lease.Grant) error {
	desired := &Desired{Targets: make(map[string]Target)}
	o, err := m.Store.Get(ctx, Kind, m.Zone)
	switch {
	case errors.Is(err, objectstore.ErrNotFound):
		o.Version = 0
	case err != nil:
		return err
	default:
		if err := json.Unmarshal(o.Value, desired); err != nil {
			return eris.Wrapf(err, "decode placement of zone %s", m.Zone)
		}
	}
	if desired.FencingToken > grant.Token {
		return eris.Wrapf(errStaleToken, "stored fencing token %d, held fencing token %d", desired.FencingToken, grant.Token)
	}
	if desired.Targets == nil {
		desired.Targets = make(map[string]Target)
	}
	m.version = o.Version
	desired.FencingToken = grant.Token
	return m.writeDesired(ctx, desired)
}

// writeDesired stores a desired state. After an error the state is read again
// before it is used, because the write may have taken effect.
func (m *Manager) writeDesired(ctx context.Context, next *Desired) error {
	m.desired = nil
	if grant, ok := m.Lease.Grant(); !ok || grant.Token != next.FencingToken {
		return lease.ErrNotHeld
	}
	var o objectstore.Object
	var err error
	if m.version == 0 {
		o, err = m.Store.Create(ctx, Kind, m.Zone, next)
	} else {
		o, err = m.Store.Update(ctx, Kind, m.Zone, m.version, next)
	}
	if err != nil {
		return eris.Wrapf(err, "write placement of zone %s", m.Zone)
	}
	m.desired, m.version = next, o.Version
	return nil
}

func (m *Manager) logDecisions(decisions []Decision, token uint64) {
	for _, d := range decisions {
		m.Logger.Info().Str("zone", m.Zone).Str("upstream", d.ID.Upstream).Str("replica", d.ID.Replica).
			Str("order", d.Order).Str("model", d.Model).Str("role", d.Role).
			Uint64("fencing_token", token).Str("reason", d.Reason).Msg("placement decision")
	}
}
