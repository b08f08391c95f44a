package router

import (
	"maps"
	"net/http"
	"slices"

	"heatherbarrow/internal/bundle"
)

// modelList is the answer to GET /v1/models, in the format that client libraries expect.
type modelList struct {
	Object string  `json:"object"` // "list"
	Data   []model `json:"data"`
}

// model is a model that the caller's team may use.
type model struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`   // "model"
	OwnedBy string   `json:"owned_by"` // the first upstream that serves it
	Classes []string `json:"classes"`  // values of Heatherbarrow-Class that the team may use with it
}

// serveModels lists the models that an engine upstream serves for a class of the
// caller's team, by the bundle in force.
func (s *Server) serveModels(w http.ResponseWriter, r *http.Request) {
	e := s.newExchange(w, r)
	if e.identify() {
		writeJSON(w, modelList{Object: "list", Data: teamModels(e.snapshot, e.teamIdx)})
	}
}

func teamModels(s *bundle.Snapshot, team int) []model {
	found := make(map[string]*model)
	for i := range s.Bundle.Upstreams {
		upstream := &s.Bundle.Upstreams[i]
		for class := range s.Bundle.Classes {
			if !s.TeamMayUse(team, class) || !s.UpstreamServes(i, class) {
				continue
			}
			for _, name := range upstream.Models {
				m := found[name]
				if m == nil {
					m = &model{ID: name, Object: "model", OwnedBy: upstream.Name}
					found[name] = m
				}
				if c := s.Bundle.Classes[class].Name; !slices.Contains(m.Classes, c) {
					m.Classes = append(m.Classes, c)
				}
			}
		}
	}
	out := make([]model, 0, len(found))
	for _, name := range slices.Sorted(maps.Keys(found)) {
		out = append(out, *found[name])
	}
	return out
}
