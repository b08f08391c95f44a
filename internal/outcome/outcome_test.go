package outcome

import (
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against forgetting an attempt that may have run.
func TestCombine(t *testing.T) {
	require.Equal(t, NotRun, Combine(NotRun, NotRun))
	require.Equal(t, Failed, Combine(Failed, NotRun))
	require.Equal(t, Unknown, Combine(NotRun, Unknown))
	require.Equal(t, Unknown, Combine(Unknown, Failed))
}

// Guards against a record that is false at a point where the process may stop.
func TestRecordIsTrueAtEachStep(t *testing.T) {
	store := NewStore(10, time.Hour)
	store.Begin(Record{RequestID: "a"})
	step := func() Outcome {
		record, ok := store.Get("a")
		require.True(t, ok)
		return record.Outcome
	}
	require.Equal(t, NotRun, step())
	store.Sent("a")
	require.Equal(t, Unknown, step())
	store.Received("a", 201, "text/plain", []byte("x"))
	require.Equal(t, Unknown, step())
	store.Finish("a", Completed, 201)
	require.Equal(t, Completed, step())
}

// Guards against kept answers that fill the memory, and against a record whose
// answer is gone but counts as kept.
func TestKeptAnswersAreBounded(t *testing.T) {
	store := NewStore(100, time.Hour)
	body := []byte(strings.Repeat("x", maxBodyBytes/2))
	for _, id := range []string{"a", "b", "c"} {
		store.Begin(Record{RequestID: id})
		store.Received(id, 200, "", body)
		store.Finish(id, Completed, 200)
	}
	require.LessOrEqual(t, store.bodyBytes, maxBodyBytes)
	first, _ := store.Get("a")
	require.Equal(t, Completed, first.Outcome)
	require.False(t, first.HasBody)
	last, _ := store.Get("c")
	require.True(t, last.HasBody)
	require.Len(t, last.Body, len(body))
}
