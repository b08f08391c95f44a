// Package routing holds the gateway's routing configuration: which upstream a request goes to,
// which team sent it and whether it may run more than once. A Table is immutable; each version
// of the configuration is compiled into a new one.
package routing

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"heatherbarrow/internal/scheduling/scaling"
)

// Kind defines whether the requests of a route may run more than once and how they are answered.
type Kind int

const (
	// NonIdempotent requests run at most once.
	NonIdempotent Kind = iota
	// Idempotent requests may run more than once.
	Idempotent
	// Streaming requests are answered by a series of events.
	Streaming
)

// String implements fmt.Stringer.
func (k Kind) String() string {
	return [...]string{"non-idempotent", "idempotent", "streaming"}[k]
}

// Target is an upstream of a route with its weight in the traffic split.
type Target struct {
	Upstream string
	Weight   int
}

// Route defines how requests for a host name and path prefix are served.
type Route struct {
	Name              string
	Host              string
	PathPrefix        string // begins and ends with a slash
	Kind              Kind
	Timeout           time.Duration // from the arrival of a request to the end of its answer
	Target            time.Duration // target latency; for a stream, to its first event
	GapTarget         time.Duration // target for the longest pause between events of a stream
	Priority          int           // 0 is the highest
	WeightedUpstreams []Target      // upstreams that share the route's requests by weight
	MaxAttempts       int           // number of times that a request may run; attempts that certainly did not run it do not count
	Public            bool          // no API key is required
	Resumable         bool          // a stream may be resumed on another replica
}

// Repeatable reports whether a request that may already have run may be sent again.
func (r *Route) Repeatable() bool {
	return r.Kind == Idempotent || r.Kind == Streaming && r.Resumable
}

// PickUpstream selects an upstream by weight. The hash of key determines the choice. It returns ""
// if the sum of the weights is 0.
func (r *Route) PickUpstream(key string) string {
	if len(r.WeightedUpstreams) == 1 {
		return r.WeightedUpstreams[0].Upstream
	}
	total := 0
	for _, t := range r.WeightedUpstreams {
		total += t.Weight
	}
	if total == 0 {
		return ""
	}
	n := int(xxhash.Sum64String(key) % uint64(total))
	for _, t := range r.WeightedUpstreams {
		if n < t.Weight {
			return t.Upstream
		}
		n -= t.Weight
	}
	return ""
}

// Upstreams returns the upstreams that PickUpstream may select.
func (r *Route) Upstreams() (names []string) {
	for _, t := range r.WeightedUpstreams {
		if t.Weight > 0 || len(r.WeightedUpstreams) == 1 {
			names = append(names, t.Upstream)
		}
	}
	return names
}

// Upstream is a pool of replicas.
type Upstream struct {
	Name     string
	MaxConns int // connections that a replica accepts from all its clients together; 0 if not known
	// Engine describes the replicas if they are model engines; nil for a plain service.
	Engine *Engine
	// Scaling is set if the gateway orders the replicas. It may be invalid.
	Scaling *Scaling
}

// Scaling are the settings for ordering the replicas of an upstream.
type Scaling = scaling.Settings

// Engine describes the model engines of an upstream.
type Engine struct {
	Slots          int // number of requests that run concurrently
	KVCacheTokens  int // KV-cache capacity, shared by running requests and cached prompts
	TokensPerEvent int // tokens in one event of a stream
	// BytesPerToken and LinkBitsPerSecond determine how long a KV-cache copy between two
	// engines takes. If either is 0, the engines cannot copy.
	BytesPerToken     int
	LinkBitsPerSecond float64
}

// Team is a group of callers, identified by its API keys.
type Team struct {
	Name     string
	Keys     []string
	Priority *int // takes precedence over the route's priority; nil if unset
}

// Limits holds the bounds on callers' requests and connections.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int64
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
}

// Config is one version of the configuration.
type Config struct {
	Version   int64
	Routes    []Route
	Upstreams []Upstream
	Teams     []Team
	Limits    Limits
}

// Table is a configuration with indexes for lookups on the request path.
type Table struct {
	Config
	byHost    map[string][]*Route // longest prefix first
	byKey     map[string]*Team
	upstreams map[string]*Upstream
}

// Compile builds the Table of a configuration, which must not be modified afterwards.
func Compile(c Config) *Table {
	t := &Table{
		Config:    c,
		byHost:    make(map[string][]*Route),
		byKey:     make(map[string]*Team),
		upstreams: make(map[string]*Upstream, len(c.Upstreams)),
	}
	for i := range t.Routes {
		r := &t.Routes[i]
		t.byHost[r.Host] = append(t.byHost[r.Host], r)
	}
	for _, routes := range t.byHost {
		slices.SortStableFunc(routes, func(a, b *Route) int { return cmp.Compare(len(b.PathPrefix), len(a.PathPrefix)) })
	}
	for i := range t.Teams {
		for _, key := range t.Teams[i].Keys {
			t.byKey[key] = &t.Teams[i]
		}
	}
	for i := range t.Upstreams {
		t.upstreams[t.Upstreams[i].Name] = &t.Upstreams[i]
	}
	return t
}

// Match returns the route of a host with the longest path prefix that matches, or nil if there is
// none. host may include a port.
func (t *Table) Match(host, path string) *Route {
	if name, _, found := strings.Cut(host, ":"); found {
		host = name
	}
	for _, r := range t.byHost[host] {
		if strings.HasPrefix(path, r.PathPrefix) {
			return r
		}
	}
	return nil
}

// TeamByKey returns the team that an API key belongs to, or nil if there is none.
func (t *Table) TeamByKey(key string) *Team { return t.byKey[key] }

// Upstream returns the upstream with the given name, or nil if there is none.
func (t *Table) Upstream(name string) *Upstream { return t.upstreams[name] }
