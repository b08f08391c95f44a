// Package configcheck finds mistakes in a configuration before it is rolled out. It performs no I/O.
//
// Errors are what hosts reject or what cannot be meant, such as a route to an upstream that does not exist. Warnings are
// entries and limits that hosts accept but that have no effect or contradict each other.
package configcheck

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"math"
	"strings"
	"time"

	"heatherbarrow/internal/gateway/routing"
)

// Severity tells whether a finding speaks against a rollout.
type Severity string

// Severities.
const (
	Error   Severity = "error"
	Warning Severity = "warning"
)

// Finding is a mistake in a configuration.
type Finding struct {
	Severity Severity `json:"severity"`
	Path     string   `json:"path"` // of the field in the document, such as routes[3].timeoutMs; empty for the document
	Problem  string   `json:"problem"`
}

// Section is a part of routing.Config.
type Section int

// Sections.
const (
	Routes Section = iota
	Upstreams
	Teams
	Limits
)

// Field is a field of an entry of routing.Config.
type Field int

// Fields. Entry stands for the entry as a whole.
const (
	Entry Field = iota
	Name
	Host
	PathPrefix
	Timeout
	GapTarget
	MaxAttempts
	TargetUpstream
	TargetWeight
	MaxConns
	Scaling
	Keys
	MaxBodyBytes
)

// Location identifies a field of a routing.Config.
type Location struct {
	Section Section
	Index   int // of the entry; negative for the section as a whole
	Field   Field
	Element int // of Keys or of the weighted upstreams; negative for the list as a whole
}

// Options hold what a configuration does not tell. Checks that need a value which is not set are left out.
type Options struct {
	Replicas map[string]int // number of replicas by upstream
	MemoryMB int            // memory limit of a host in MiB; 0 if not known
}

// Share of a host's memory limit that one request may fill with its body: the gateway sets aside buffer_share (0.2 by
// default) for heads and bodies, of which a single team gets at most four fifths.
const maxBodyShare = 0.2 * 4 / 5

// defaultMaxBodyBytes is the limit that hosts apply if the configuration sets none.
const defaultMaxBodyBytes = 4 << 20

// Check returns the mistakes in c. path returns the name that a location has in the document that c was decoded from.
func Check(c routing.Config, path func(Location) string, o Options) []Finding {
	k := &checker{config: c, path: path, options: o, upstreams: make(map[string]bool)}
	for _, u := range c.Upstreams {
		k.upstreams[u.Name] = true
	}
	k.checkRoutes()
	k.checkUpstreams()
	k.checkTeams()
	k.checkLimits()
	return k.findings
}

type checker struct {
	config    routing.Config
	path      func(Location) string
	options   Options
	upstreams map[string]bool
	findings  []Finding
}

func (k *checker) report(severity Severity, at Location, format string, args ...any) {
	k.findings = append(k.findings, Finding{Severity: severity, Path: k.path(at), Problem: fmt.Sprintf(format, args...)})
}

// checkName reports a name that is empty or that an earlier entry of the section has.
func (k *checker) checkName(section Section, i int, name string, seen map[string]int) {
	at := Location{Section: section, Index: i, Field: Name}
	if name == "" {
		k.report(Error, at, "must not be empty")
	} else if first, taken := seen[name]; taken {
		k.report(Error, at, "%q is also the name of %s", name, k.path(Location{Section: section, Index: first}))
	} else {
		seen[name] = i
	}
}

func (k *checker) checkRoutes() {
	names := make(map[string]int)
	byMatch := make(map[[2]string]int)
	for i := range k.config.Routes {
		r := &k.config.Routes[i]
		k.checkName(Routes, i, r.Name, names)
		match := [2]string{r.Host, r.PathPrefix}
		if first, taken := byMatch[match]; taken {
			k.report(Warning, Location{Section: Routes, Index: i}, "never matches: %s has the same host and path prefix", k.path(Location{Section: Routes, Index: first}))
		} else {
			byMatch[match] = i
		}
		k.checkMatch(i, r)
		k.checkTargets(i, r)
		k.checkRouteLimits(i, r)
	}
	if len(k.config.Routes) == 0 {
		k.report(Warning, Location{Section: Routes, Index: -1}, "has no routes: hosts answer 404 to all requests")
	}
}

func (k *checker) checkMatch(i int, r *routing.Route) {
	host := Location{Section: Routes, Index: i, Field: Host}
	switch {
	case r.Host == "":
		k.report(Warning, host, "never matches: the host name is empty")
	case strings.Contains(r.Host, ":"):
		k.report(Warning, host, "never matches: %q has a port, which hosts ignore in requests", r.Host)
	}
	prefix := Location{Section: Routes, Index: i, Field: PathPrefix}
	switch {
	case r.PathPrefix == "":
		k.report(Warning, prefix, "is empty and matches every path")
	case strings.Contains(r.PathPrefix, "?"):
		k.report(Warning, prefix, "never matches: %q has a query, which hosts ignore in requests", r.PathPrefix)
	case !strings.HasPrefix(r.PathPrefix, "/"):
		k.report(Warning, prefix, "never matches: %q does not begin with a slash", r.PathPrefix)
	case !strings.HasSuffix(r.PathPrefix, "/"):
		k.report(Warning, prefix, "%q does not end with a slash and therefore matches longer names too", r.PathPrefix)
	}
}

func (k *checker) checkTargets(i int, r *routing.Route) {
	total := 0
	seen := make(map[string]bool)
	for j, t := range r.WeightedUpstreams {
		upstream := Location{Section: Routes, Index: i, Field: TargetUpstream, Element: j}
		weight := Location{Section: Routes, Index: i, Field: TargetWeight, Element: j}
		switch {
		case t.Upstream == "":
			k.report(Error, upstream, "names no upstream")
		case !k.upstreams[t.Upstream]:
			k.report(Error, upstream, "no upstream is named %q", t.Upstream)
		case seen[t.Upstream]:
			k.report(Warning, upstream, "%q appears twice in the split", t.Upstream)
		}
		seen[t.Upstream] = true
		switch {
		case t.Weight < 0:
			k.report(Error, weight, "%d is negative", t.Weight)
			return
		case t.Weight > math.MaxInt-total:
			k.report(Error, weight, "the weights add up to more than %d", math.MaxInt)
			return
		case t.Weight == 0 && len(r.WeightedUpstreams) == 1:
			k.report(Warning, weight, "0 has no effect: the only upstream of a route gets all requests")
		case t.Weight == 0:
			k.report(Warning, weight, "0: %q is never selected", t.Upstream)
		}
		total += t.Weight
	}
	if total == 0 && len(r.WeightedUpstreams) > 1 {
		k.report(Error, Location{Section: Routes, Index: i}, "all weights are 0: no upstream can be selected")
	}
}

func (k *checker) checkRouteLimits(i int, r *routing.Route) {
	if r.Timeout > 0 && r.Timeout < r.Target {
		k.report(Warning, Location{Section: Routes, Index: i, Field: Timeout}, "%s is less than the target latency of %s", ms(r.Timeout), ms(r.Target))
	}
	if r.Timeout > 0 && r.Timeout < r.GapTarget {
		k.report(Warning, Location{Section: Routes, Index: i, Field: GapTarget}, "%s is more than the time limit of a request, %s", ms(r.GapTarget), ms(r.Timeout))
	}
	for _, name := range r.Upstreams() {
		if n, known := k.options.Replicas[name]; known && r.MaxAttempts > n {
			k.report(Warning, Location{Section: Routes, Index: i, Field: MaxAttempts}, "%d is more than the %d replicas of %q", r.MaxAttempts, n, name)
		}
	}
}

// ms formats a duration in the unit of the operators' documents.
func ms(d time.Duration) string { return fmt.Sprintf("%g ms", float64(d)/float64(time.Millisecond)) }

func (k *checker) checkUpstreams() {
	routed := make(map[string]bool)
	for _, r := range k.config.Routes {
		for _, t := range r.WeightedUpstreams {
			routed[t.Upstream] = true
		}
	}
	names := make(map[string]int)
	for i, u := range k.config.Upstreams {
		k.checkName(Upstreams, i, u.Name, names)
		if !routed[u.Name] {
			k.report(Warning, Location{Section: Upstreams, Index: i}, "no route names %q", u.Name)
		}
		if u.MaxConns > 0 && u.Engine != nil && u.Engine.Slots > u.MaxConns {
			k.report(Warning, Location{Section: Upstreams, Index: i, Field: MaxConns}, "%d is less than the %d slots of a replica, each of which needs a connection", u.MaxConns, u.Engine.Slots)
		}
		if u.Scaling == nil {
			continue
		}
		at := Location{Section: Upstreams, Index: i, Field: Scaling}
		if err := u.Scaling.Validate(); err != nil {
			k.report(Error, at, "no replicas are ordered: %s", strings.TrimPrefix(err.Error(), "scaling: "))
		} else if len(u.Scaling.ZonePrices) == 0 {
			k.report(Error, at, "no replicas are ordered: no zone has a price")
		}
	}
}

func (k *checker) checkTeams() {
	names := make(map[string]int)
	owners := make(map[string]int)
	for i, t := range k.config.Teams {
		k.checkName(Teams, i, t.Name, names)
		if len(t.Keys) == 0 {
			k.report(Warning, Location{Section: Teams, Index: i, Field: Keys, Element: -1}, "never matches: the team has no key")
		}
		for j, key := range t.Keys {
			at := Location{Section: Teams, Index: i, Field: Keys, Element: j}
			first, taken := owners[key]
			switch {
			case key == "":
				k.report(Warning, at, "never matches: the key is empty")
			case key != strings.TrimSpace(key):
				k.report(Warning, at, "never matches: the key %s begins or ends with white space", HashKey(key))
			case taken && first == i:
				k.report(Warning, at, "the key %s appears twice", HashKey(key))
			case taken:
				k.report(Error, at, "%s has the key %s too", k.path(Location{Section: Teams, Index: first}), HashKey(key))
			default:
				owners[key] = i
			}
		}
	}
	private := 0
	for _, r := range k.config.Routes {
		if !r.Public {
			private++
		}
	}
	if len(k.config.Teams) == 0 && private > 0 {
		k.report(Warning, Location{Section: Teams, Index: -1}, "there are no teams: %d routes that are not public need no API key", private)
	}
}

func (k *checker) checkLimits() {
	limit := k.config.Limits.MaxBodyBytes
	if limit <= 0 {
		limit = defaultMaxBodyBytes
	}
	if room := maxBodyShare * float64(k.options.MemoryMB) * (1 << 20); k.options.MemoryMB > 0 && float64(limit) > room {
		k.report(Warning, Location{Section: Limits, Field: MaxBodyBytes}, "%d is more than the %.0f bytes that a host of %d MiB buffers for one team: larger bodies are always refused", limit, room, k.options.MemoryMB)
	}
}

// hashDigits is enough to tell the keys of a configuration apart without showing them.
const hashDigits = 8

// HashKey returns a short hash that stands for an API key in output.
func HashKey(key string) string {
	sum := sha256.Sum256([]byte(key))
	return "sha256:" + hex.EncodeToString(sum[:])[:hashDigits]
}
