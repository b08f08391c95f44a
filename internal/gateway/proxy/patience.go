package proxy

import (
	"sync"
	"time"
)

// waitEstimator estimates how long a caller has waited in earlier attempts of the same
// request. A caller that sends a request again states only its remaining time as the deadline,
// while the latency objective counts from its first attempt. The estimator therefore assumes
// that every caller of a route waits in total for the longest deadline seen on that route.
type waitEstimator struct {
	mu               sync.Mutex
	longestDeadlines map[string]time.Duration // by route
}

// waitedBefore returns the estimated time that a caller with this deadline has waited before
// the current attempt.
func (w *waitEstimator) waitedBefore(route string, deadline time.Duration) time.Duration {
	if deadline <= 0 {
		return 0
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.longestDeadlines == nil {
		w.longestDeadlines = make(map[string]time.Duration)
	}
	longest := w.longestDeadlines[route]
	if deadline >= longest {
		w.longestDeadlines[route] = deadline
		return 0
	}
	return longest - deadline
}
