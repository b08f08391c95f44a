package engine

import (
	"net/http"
	"time"
)

// Faults are the switches of the stand-in. Positions count the frames of one
// answer; 0 switches a fault off.
type Faults struct {
	CrashNow       bool   `json:"crash_now"`         // break all connections once
	DowntimeMS     int    `json:"downtime_ms"`       // time that a crash takes
	CrashOn        string `json:"crash_on"`          // text in a prompt that crashes the engine
	CrashOnDelayMS int    `json:"crash_on_delay_ms"` // time from the marked request to the crash
	Frozen         bool   `json:"frozen"`            // make no tokens, keep connections open
	SlowFactor     int    `json:"slow_factor"`       // steps take this many times as long
	ReportFrozen   bool   `json:"report_frozen"`     // keep reporting the load of this moment as fresh
	Refuse         bool   `json:"refuse"`            // refuse requests before running them
	RestSeconds    int    `json:"rest_seconds"`      // ask for so long without requests in these refusals
	Leaving        bool   `json:"leaving"`           // say in all answers that the engine leaves
	FailStatus     int    `json:"fail_status"`       // run and answer with this status
	CutAfter       int    `json:"cut_after"`         // break the connection after this many frames
	EndAfter       int    `json:"end_after"`         // end without a proper end after this many frames
	ForeignFrameAt int    `json:"foreign_frame_at"`  // send a frame with another request's id
	RepeatFrameAt  int    `json:"repeat_frame_at"`   // send a frame with the position of the one before
	DropEvents     int    `json:"drop_events"`       // lose one in this many cache events
	WeightStoreRPS int    `json:"weight_store_rps"`  // load orders allowed per second; 0 is without bound
	// SoftwareVersion is named in answers; empty for none.
	SoftwareVersion string `json:"software_version"`
}

// SetFaults sets the switches.
func (s *Server) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	crash := f.CrashNow
	f.CrashNow = false
	s.faults = f
	s.cache.dropEvery = f.DropEvents
	if crash {
		s.crash()
	}
}

func (s *Server) crashAfter(d time.Duration) {
	time.Sleep(d)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.crash()
}

// crash loses all requests and the cache. s.mu must be held.
func (s *Server) crash() {
	s.counts.Crashes++
	s.crashed = time.Now().Add(time.Duration(s.faults.DowntimeMS) * time.Millisecond)
	s.boot += "+"
	s.batch.clear()
	s.cache.reset()
	close(s.crashes)
	s.crashes = make(chan struct{})
}

func (s *Server) abortWhileCrashed(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		down := time.Now().Before(s.crashed)
		s.mu.Unlock()
		if down {
			panic(http.ErrAbortHandler)
		}
		next.ServeHTTP(w, r)
	})
}

// stateProcess states the process in each answer, and whether it leaves.
func (s *Server) stateProcess(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		boot, leaving := s.boot, s.faults.Leaving
		s.mu.Unlock()
		w.Header().Set("Heatherbarrow-Boot", boot)
		if leaving {
			w.Header().Set("Heatherbarrow-Leaving", "1")
		}
		next.ServeHTTP(w, r)
	})
}
