// Package bundle defines the dynamic configuration that operators roll out: the
// classes of service, teams, upstreams and routes. A bundle is immutable; its
// identity is the SHA-256 of its canonical JSON.
package bundle

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"

	"heatherbarrow/internal/settings"
)

// Format is the only document format that this version reads.
const Format = 1

// Tiers: 1 is the highest, MaxTier the lowest.
const (
	TopTier = 1
	MaxTier = 4
)

// MaxModels is the greatest number of models of an upstream. Hosts tell each
// other the models that a replica holds as a set of 64 bits, of which one stands
// for models outside the list.
const MaxModels = 63

// Kind tells what the replicas of an upstream are.
type Kind string

const (
	// KindEngine is a model engine that serves chat completions.
	KindEngine Kind = "engine"
	// KindService is a plain HTTP service.
	KindService Kind = "service"
)

// Bundle is one version of the dynamic configuration.
type Bundle struct {
	Format    int        `json:"format"`
	Classes   []Class    `json:"classes"`
	Teams     []Team     `json:"teams"`
	Upstreams []Upstream `json:"upstreams"`
	Routes    []Route    `json:"routes,omitempty"`
	Limits    Limits     `json:"limits,omitzero"`
}

// Class is a class of service.
type Class struct {
	Name string `json:"name"`
	Tier int    `json:"tier"` // 1 (highest) to 4
	// FirstTokenTarget and InterTokenTarget apply to streams; AnswerTarget to
	// the whole answer. A class has the first two, the last, or all three.
	FirstTokenTarget settings.Duration `json:"first_token_target,omitzero"`
	InterTokenTarget settings.Duration `json:"inter_token_target,omitzero"`
	AnswerTarget     settings.Duration `json:"answer_target,omitzero"`
	// Deadline bounds the whole request, from accept to the end of the answer.
	Deadline settings.Duration `json:"deadline"`
	// Share is the fraction of an upstream's slots guaranteed to the class.
	Share float64 `json:"share,omitempty"`
	// MaxQueue is the greatest number of waiting requests on one host.
	MaxQueue int `json:"max_queue,omitempty"`
	// RetryBudget is the greatest share of the class's traffic that may be retries.
	RetryBudget float64 `json:"retry_budget,omitempty"`
	// ExpectedTokens is the answer length assumed before any is measured.
	ExpectedTokens int `json:"expected_tokens,omitempty"`
	// Preemptible allows higher tiers to interrupt streams that can resume.
	Preemptible bool `json:"preemptible,omitempty"`
}

// Team is a customer with keys and an entitlement.
type Team struct {
	Name            string   `json:"name"`
	KeyHashes       []string `json:"key_hashes"` // hex SHA-256 of each bearer key
	Classes         []string `json:"classes"`
	TokensPerSecond float64  `json:"tokens_per_second"` // whole deployment
	MaxInProgress   int      `json:"max_in_progress"`   // whole deployment
	// ZoneWeights splits the entitlement between availability zones; equal when empty.
	ZoneWeights map[string]float64 `json:"zone_weights,omitempty"`
}

// Upstream is a named pool of replicas.
type Upstream struct {
	Name    string   `json:"name"`
	Kind    Kind     `json:"kind"`
	Classes []string `json:"classes"`          // classes that it may serve
	Models  []string `json:"models,omitempty"` // engines only
	// ChecksFencing tells whether its replicas refuse placement orders with a
	// stale fencing token.
	ChecksFencing bool `json:"checks_fencing,omitempty"`
	// Resumable tells whether a stream can continue on another replica from a
	// token position with the same continuation.
	Resumable bool `json:"resumable,omitempty"`
	// Slots is the number of requests that a replica runs at once.
	Slots    int       `json:"slots"`
	Replicas []Replica `json:"replicas"`
}

// Replica is one member of an upstream.
type Replica struct {
	ID               string `json:"id"`
	Address          string `json:"address"` // IP:port
	AvailabilityZone string `json:"availability_zone"`
	// Role is what placement orders an engine to be; it keeps its role when empty.
	Role string `json:"role,omitempty"`
	// PinnedModels are what placement has an engine hold, whatever the demand; it
	// decides by demand when there are none.
	PinnedModels []string `json:"pinned_models,omitempty"`
}

// Roles are the roles of engines.
var Roles = []string{"mixed", "prefill", "decode"}

// Route describes calls to a plain service.
type Route struct {
	Upstream   string            `json:"upstream"`
	Method     string            `json:"method"`
	PathPrefix string            `json:"path_prefix"` // below /services/{upstream}
	Repeatable bool              `json:"repeatable,omitempty"`
	Timeout    settings.Duration `json:"timeout"`
}

// Limits bound what a host accepts from callers.
type Limits struct {
	MaxBodyBytes   int64             `json:"max_body_bytes,omitempty"` // default 4 MiB
	BodyTimeout    settings.Duration `json:"body_timeout,omitzero"`    // default 10s
	FrameTimeout   settings.Duration `json:"frame_timeout,omitzero"`   // default 5s between frames of a stream
	ClaimWait      settings.Duration `json:"claim_wait,omitzero"`      // default 2s
	ClaimRetention settings.Duration `json:"claim_retention,omitzero"` // default 24h
	QuarantineTime settings.Duration `json:"quarantine_time,omitzero"` // default 1h
	PoisonCrashes  int               `json:"poison_crashes,omitempty"` // default 2
}

// Parse decodes and validates a bundle.
func Parse(data []byte) (*Bundle, error) {
	var b Bundle
	if err := settings.Decode(data, &b); err != nil {
		return nil, err
	}
	b.Limits.setDefaults()
	return &b, nil
}

// Canonical returns the canonical JSON of the bundle and its hex SHA-256.
func (b *Bundle) Canonical() ([]byte, string, error) {
	data, err := json.Marshal(b)
	if err != nil {
		return nil, "", err
	}
	return data, Hash(data), nil
}

// Hash returns the hex SHA-256 of canonical JSON.
func Hash(content []byte) string {
	sum := sha256.Sum256(content)
	return hex.EncodeToString(sum[:])
}

// HashKey returns the form in which a bearer key is kept in a bundle.
func HashKey(key string) string {
	return Hash([]byte(key))
}
