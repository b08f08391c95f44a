package duty

import (
	"encoding/json"
	"slices"

	"github.com/rotisserie/eris"
)

// State is what the holder of the duties keeps in the object of the lease, for its successor.
type State struct {
	// Era is that of the store for which the state is complete.
	Era uint64 `json:"era"`
	// FirstWindow is the first window whose report may be fixed. Reports of earlier windows that are not among Reports
	// may have been sent and then lost with the state of the store.
	FirstWindow int64    `json:"first_window"`
	Reports     []Report `json:"reports,omitempty"` // fixed, in order of window
	Orders      []Order  `json:"orders,omitempty"`  // wanted last
}

// DecodeState decodes the state that a lease was acquired with. An empty one is that of a new lease. The host's
// acquisition was in the given era and during the given window.
func DecodeState(data json.RawMessage, era uint64, window int64) (State, error) {
	var s State
	var err error
	if len(data) > 0 {
		err = eris.Wrap(json.Unmarshal(data, &s), "decode state of duties")
	}
	if err != nil || len(data) == 0 {
		return State{Era: era, FirstWindow: window}, err
	}
	s.EnterEra(era, window)
	return s, nil
}

// EnterEra notes that the store is in the given era during the given window. When it is later than that of the state,
// reports that were fixed may be lost. All windows that ended before are given up, as a second report with other counts
// would contradict the first one. It reports whether the state changed.
func (s *State) EnterEra(era uint64, window int64) bool {
	if era == s.Era {
		return false
	}
	s.Era, s.FirstWindow = era, max(s.FirstWindow, window)
	return true
}

// Encode encodes the state for the lease.
func (s *State) Encode() (json.RawMessage, error) {
	data, err := json.Marshal(s)
	return data, eris.Wrap(err, "encode state of duties")
}

// hasReport reports whether the report of a window has been fixed.
func (s *State) hasReport(window int64) bool {
	return slices.ContainsFunc(s.Reports, func(r Report) bool { return r.Window == window })
}
