//go:build faults

package faults

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// inForceBound is the time in which a bundle must be in force in every zone.
const inForceBound = 3 * time.Second

// note adds a measured figure to the lines of the matrix.
func (r *results) note(metric string, value float64, unit string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lines = append(r.lines, fmt.Sprintf("bench metric=%s value=%.4g unit=%s", metric, value, unit))
}

// noteRandom adds how many of the random calls ran twice or were falsely refused.
func (r *results) noteRandom(seed uint64, broken []string) {
	duplicates, falseNotRun := 0, 0
	for _, b := range broken {
		switch {
		case strings.HasPrefix(b, "P5: order"):
			duplicates++
		case strings.HasPrefix(b, "P4: order"):
			falseNotRun++
		}
	}
	r.note(fmt.Sprintf("non_repeatable_duplicates_seed_%d", seed), float64(duplicates), "calls")
	r.note(fmt.Sprintf("non_repeatable_false_not_run_seed_%d", seed), float64(falseNotRun), "calls")
}

// runInForceCell measures the time from the move of the current object until the
// bundle is in force on all hosts of each zone.
func (r *results) runInForceCell(t *testing.T) []string {
	c := newCluster(t)
	c.start()
	current, err := c.rollOut(context.Background(), c.bundle(15))
	require.NoError(t, err)
	moved := time.Now()
	reached := make(map[string]time.Duration)
	waiting := append([]*host(nil), c.hosts...)
	client := &http.Client{Timeout: time.Second}
	for len(waiting) > 0 && time.Since(moved) < spreadTimeout {
		var still []*host
		for _, h := range waiting {
			s, err := h.status(context.Background(), client)
			if err != nil || s.Self.Generation != current.Generation {
				still = append(still, h)
				continue
			}
			reached[h.zone] = max(reached[h.zone], time.Since(moved))
		}
		waiting = still
	}
	var broken []string
	for _, h := range waiting {
		broken = append(broken, "P8: the bundle is not in force on "+h.name)
	}
	for _, zone := range zones {
		r.note("bundle_in_force_"+zone, reached[zone].Seconds(), "s")
		if reached[zone] > inForceBound {
			broken = append(broken, fmt.Sprintf("P8: in force in %s after %s", zone, reached[zone]))
		}
	}
	return broken
}
