//go:build faults

package claims

import "testing"

// Guards against the same failures as TestCallsRunAtMostOnceUnderFaults, with more seeds
// and calls than a short run can cover.
func TestCallsRunAtMostOnceUnderFaultsLong(t *testing.T) {
	for seed := range uint64(20) {
		runCalls(t, 100+seed, 3000)
	}
}
