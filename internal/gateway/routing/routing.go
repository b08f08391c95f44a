// Package routing holds the configuration that the gateway serves by: which
// upstream a request goes to, which team sent it and what may be repeated. A
// Table is immutable; a new version of the configuration makes a new one.
package routing

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Kind tells what may be repeated and how an answer is delivered.
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

// Target is an upstream of a route with its part of the traffic.
type Target struct {
	Upstream string
	Weight   int
}

// Route tells how the requests of one host name and path prefix are served.
type Route struct {
	Name        string
	Host        string
	PathPrefix  string // begins and ends with a slash
	Kind        Kind
	Timeout     time.Duration // from the arrival of a request to the end of its answer
	Target      time.Duration // latency objective; to the first event of a stream
	GapTarget   time.Duration // longest pause between the events of a stream
	Priority    int           // 0 is the highest
	Targets     []Target
	MaxAttempts int  // replicas that one request may run on
	Public      bool // needs no key
	Resumable   bool // a stream may continue on another replica
}

// Repeatable tells whether a request may run again after it may have run.
func (r *Route) Repeatable() bool {
	return r.Kind == Idempotent || r.Kind == Streaming && r.Resumable
}

// PickUpstream selects an upstream by weight. key spreads the requests.
func (r *Route) PickUpstream(key string) string {
	if len(r.Targets) == 1 {
		return r.Targets[0].Upstream
	}
	total := 0
	for _, t := range r.Targets {
		total += t.Weight
	}
	if total == 0 {
		return ""
	}
	n := int(xxhash.Sum64String(key) % uint64(total))
	for _, t := range r.Targets {
		if n < t.Weight {
			return t.Upstream
		}
		n -= t.Weight
	}
	return ""
}

// Upstream is a pool of replicas.
type Upstream struct {
	Name     string
	MaxConns int // connections that a replica accepts from all callers
	// Engine tells that the replicas are model engines; nil for a plain service.
	Engine *Engine
}

// Engine describes the model engines of an upstream.
type Engine struct {
	Slots          int // requests that run at once
	MemoryTokens   int // tokens that running requests and cached prompts share
	TokensPerEvent int
	// BytesPerToken and LinkBitsPerSecond tell how long it takes to copy prompt
	// memory between two engines; 0 when they cannot.
	BytesPerToken     int
	LinkBitsPerSecond float64
}

// Team is a customer with keys.
type Team struct {
	Name     string
	Keys     []string
	Priority *int // takes precedence over the route's; nil when the team has none
}

// Limits bound what callers send.
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

// Table is a configuration indexed for the traffic path.
type Table struct {
	Config
	byHost    map[string][]*Route // longest prefix first
	byKey     map[string]*Team
	upstreams map[string]*Upstream
}

// Compile indexes a configuration, which must not be changed afterwards.
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

// Match returns the route with the longest prefix that begins the path, nil when
// there is none. host may carry a port.
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

// TeamByKey returns the team that holds the key, nil when no team does.
func (t *Table) TeamByKey(key string) *Team { return t.byKey[key] }

// Upstream returns the upstream with the name, nil when there is none.
func (t *Table) Upstream(name string) *Upstream { return t.upstreams[name] }
