package bundle

import (
	"slices"
	"strings"
)

// Snapshot is a bundle in force, indexed for the traffic path. It is never
// changed after Compile returns.
type Snapshot struct {
	Generation uint64
	SHA256     string
	Bundle     *Bundle

	classes   map[string]int
	teams     map[string]int // by name
	keys      map[string]int // hex SHA-256 of a bearer key to team
	upstreams map[string]int
	models    map[string][]int // model to engines that serve it
	allowed   []map[int]bool   // per team, the classes it may use
	serves    []map[int]bool   // per upstream, the classes it may serve
}

// Compile indexes a validated bundle.
func Compile(b *Bundle, generation uint64, sha256 string) *Snapshot {
	s := &Snapshot{
		Generation: generation,
		SHA256:     sha256,
		Bundle:     b,
		classes:    make(map[string]int),
		teams:      make(map[string]int),
		keys:       make(map[string]int),
		upstreams:  make(map[string]int),
		models:     make(map[string][]int),
	}
	for i := range b.Classes {
		s.classes[b.Classes[i].Name] = i
	}
	for i := range b.Teams {
		s.teams[b.Teams[i].Name] = i
		for _, hash := range b.Teams[i].KeyHashes {
			s.keys[hash] = i
		}
		s.allowed = append(s.allowed, s.classSet(b.Teams[i].Classes))
	}
	for i := range b.Upstreams {
		s.upstreams[b.Upstreams[i].Name] = i
		for _, model := range b.Upstreams[i].Models {
			s.models[model] = append(s.models[model], i)
		}
		s.serves = append(s.serves, s.classSet(b.Upstreams[i].Classes))
	}
	return s
}

func (s *Snapshot) classSet(names []string) map[int]bool {
	set := make(map[int]bool, len(names))
	for _, name := range names {
		set[s.classes[name]] = true
	}
	return set
}

// Class returns the class with the given name and its index.
func (s *Snapshot) Class(name string) (*Class, int, bool) {
	i, ok := s.classes[name]
	if !ok {
		return nil, 0, false
	}
	return &s.Bundle.Classes[i], i, true
}

// TeamByKey returns the team that owns the bearer key.
func (s *Snapshot) TeamByKey(key string) (*Team, int, bool) {
	i, ok := s.keys[HashKey(key)]
	if !ok {
		return nil, 0, false
	}
	return &s.Bundle.Teams[i], i, true
}

// Team returns the team with the given name and its index.
func (s *Snapshot) Team(name string) (*Team, int, bool) {
	i, ok := s.teams[name]
	if !ok {
		return nil, 0, false
	}
	return &s.Bundle.Teams[i], i, true
}

// Upstream returns the upstream with the given name and its index.
func (s *Snapshot) Upstream(name string) (*Upstream, int, bool) {
	i, ok := s.upstreams[name]
	if !ok {
		return nil, 0, false
	}
	return &s.Bundle.Upstreams[i], i, true
}

// Engines returns the indexes of the engine upstreams that serve the model for the class.
func (s *Snapshot) Engines(model string, class int) []int {
	all := s.models[model]
	if !slices.ContainsFunc(all, func(u int) bool { return !s.serves[u][class] }) {
		return all
	}
	var out []int
	for _, u := range all {
		if s.serves[u][class] {
			out = append(out, u)
		}
	}
	return out
}

// HasModel tells whether any engine upstream serves the model.
func (s *Snapshot) HasModel(model string) bool { return len(s.models[model]) > 0 }

// TeamMayUse tells whether the team may use the class.
func (s *Snapshot) TeamMayUse(team, class int) bool { return s.allowed[team][class] }

// UpstreamServes tells whether the upstream may serve the class.
func (s *Snapshot) UpstreamServes(upstream, class int) bool { return s.serves[upstream][class] }

// Route returns the route with the longest matching path prefix. path is the
// part below /services/{upstream}.
func (s *Snapshot) Route(upstream, method, path string) (*Route, bool) {
	var best *Route
	for i := range s.Bundle.Routes {
		r := &s.Bundle.Routes[i]
		if r.Upstream != upstream || r.Method != method || !hasPathPrefix(path, r.PathPrefix) {
			continue
		}
		if best == nil || len(r.PathPrefix) > len(best.PathPrefix) {
			best = r
		}
	}
	return best, best != nil
}

// hasPathPrefix matches whole path segments, so that a route for /orders does
// not also cover /orders-archive.
func hasPathPrefix(path, prefix string) bool {
	if !strings.HasPrefix(path, prefix) {
		return false
	}
	return len(path) == len(prefix) || strings.HasSuffix(prefix, "/") || path[len(prefix)] == '/'
}
