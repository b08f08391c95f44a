package router

import (
	"context"
	"net/http"
	"strings"
	"time"

	"github.com/go-chi/chi/v5"

	"heatherbarrow/internal/outcome"
	"heatherbarrow/internal/rpc"
)

// lookupTimeout bounds the question to the host that ran a request.
const lookupTimeout = 2 * time.Second

// lookupAnswer is the answer to GET /v1/requests/{id}.
type lookupAnswer struct {
	RequestID  string          `json:"request_id"`
	Outcome    outcome.Outcome `json:"outcome"`
	InProgress bool            `json:"in_progress,omitempty"`
}

// serveLookup tells the outcome of a request of the caller's team. Errors carry
// no outcome, since it could be taken for the outcome of the request asked about.
func (s *Server) serveLookup(w http.ResponseWriter, r *http.Request) {
	e := s.newExchange(w, r)
	e.id = chi.URLParam(r, "id")
	w.Header().Set(outcome.HeaderRequestID, e.id)
	if !e.identify() {
		return
	}
	stored, err := s.find(r.Context(), e.id, e.team.Name)
	switch {
	case err != nil:
		e.w.Header().Set("Retry-After", "1")
		e.lookupError(http.StatusServiceUnavailable, "lookup_unavailable", "other hosts could not be asked")
	case !stored.Found:
		e.lookupError(http.StatusNotFound, "unknown_request", "no host that can be reached knows this request")
	default:
		w.Header().Set(outcome.HeaderOutcome, stored.Outcome)
		writeJSON(w, lookupAnswer{RequestID: e.id, Outcome: outcome.Outcome(stored.Outcome), InProgress: stored.InProgress})
	}
}

// identify finds the team of a request that runs nothing and needs no class. It
// answers and returns false when there is none.
func (e *exchange) identify() bool {
	e.snapshot = e.server.snapshot.Load()
	if e.snapshot == nil {
		e.lookupError(http.StatusServiceUnavailable, "not_ready", "the host has no bundle yet")
		return false
	}
	key, _ := strings.CutPrefix(e.r.Header.Get("Authorization"), "Bearer ")
	var ok bool
	if e.team, e.teamIdx, ok = e.snapshot.TeamByKey(key); !ok {
		e.lookupError(http.StatusUnauthorized, "wrong_key", "the key belongs to no team")
	}
	return ok
}

func (e *exchange) lookupError(status int, code, message string) {
	e.writeError(status, "", code, message)
}

// find looks a request up on this host and then, through control, on others.
func (s *Server) find(ctx context.Context, id, team string) (*rpc.StoredAnswer, error) {
	if stored := s.lookup(id, team); stored.Found {
		return stored, nil
	}
	ctx, cancel := context.WithTimeout(ctx, lookupTimeout)
	defer cancel()
	return s.Feed.Lookup(ctx, &rpc.LookupRequest{RequestId: id, Team: team})
}

// lookup returns the record of a request of the team. A request in progress is
// unknown, also while nothing was sent: not-run would let its caller send it again
// although it may run in the next moment. A team gets the status
// only together with the whole answer. An empty team, which only operators may
// ask for, stands for every team and gets the status without the answer.
func (s *Server) lookup(id, team string) *rpc.StoredAnswer {
	record, ok := s.records.Get(id)
	if !ok || (team != "" && record.Team != team) {
		return &rpc.StoredAnswer{}
	}
	stored := &rpc.StoredAnswer{Found: true, Outcome: string(record.Outcome)}
	if !record.Done {
		stored.Outcome, stored.InProgress = string(outcome.Unknown), true
	}
	if record.HasBody || team == "" {
		stored.Status = uint32(record.Status)
	}
	if record.HasBody && team != "" {
		stored.ContentType = record.ContentType
		stored.Body = record.Body
	}
	return stored
}
