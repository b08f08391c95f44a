//go:build faults

package claims

import "testing"

// Guards against what a short run under faults does not reach.
func TestCallsRunAtMostOnceUnderFaultsLong(t *testing.T) {
	for seed := range uint64(20) {
		runCalls(t, 100+seed, 3000)
	}
}
