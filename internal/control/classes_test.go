package control

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"heatherbarrow/internal/bundle"
	"heatherbarrow/internal/rpc"
)

// Guards against a class shown as healthy while it misses its target, as missing
// it after it recovered, or with results older than the window.
func TestClassWindows(t *testing.T) {
	b := &bundle.Bundle{Classes: []bundle.Class{{Name: "quote", Tier: 1}, {Name: "idle", Tier: 2}}}
	w := make(classWindows)
	now := time.Unix(1_000_000, 0)
	report := func(finished, attained, refused uint64) {
		w.add([]*rpc.ClassResult{{Class: "quote", Finished: finished, Attained: attained, Refused: refused}}, now)
	}
	report(10, 10, 0)
	got := w.status(b, now)
	require.Len(t, got, 1)
	require.InDelta(t, 1, got[0].Attainment, 1e-9)
	require.Zero(t, got[0].BelowTargetMs)

	now = now.Add(10 * time.Second)
	report(10, 5, 2)
	now = now.Add(2 * time.Second)
	got = w.status(b, now)
	require.InDelta(t, 0.75, got[0].Attainment, 1e-9)
	require.InDelta(t, 0.25, got[0].Goodput, 1e-9)
	require.EqualValues(t, 20, got[0].Finished)
	require.EqualValues(t, 2, got[0].Refused)
	require.EqualValues(t, 2000, got[0].BelowTargetMs)

	now = now.Add(classWindow)
	report(10, 10, 0)
	got = w.status(b, now)
	require.InDelta(t, 1, got[0].Attainment, 1e-9)
	require.Zero(t, got[0].BelowTargetMs)
	require.Empty(t, w.status(b, now.Add(2*classWindow)))
}
