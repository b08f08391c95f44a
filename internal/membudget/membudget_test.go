package membudget

import (
	"bytes"
	"strconv"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// Guards against accounts that together hold more than the budget, a source that leaves nothing to the others, and bytes
// that are not given back.
func TestAccountsStayWithinTheBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := rapid.IntRange(0, 1<<20).Draw(t, "limit")
		multiple := rapid.IntRange(1, 8).Draw(t, "multiple")
		b := New(limit, multiple)
		var open []*Account
		t.Repeat(map[string]func(*rapid.T){
			"open": func(t *rapid.T) { open = append(open, b.Open(strconv.Itoa(rapid.IntRange(0, 4).Draw(t, "source")))) },
			"grow": func(t *rapid.T) {
				if len(open) == 0 {
					t.Skip()
				}
				a := rapid.SampledFrom(open).Draw(t, "account")
				n, held := rapid.IntRange(0, 1<<19).Draw(t, "bytes"), a.Held()
				if err := a.Grow(n); err != nil {
					require.ErrorIs(t, err, ErrExhausted)
					require.Greater(t, held+n, AllowanceBytes)
					require.Equal(t, held, a.Held())
					return
				}
				require.Equal(t, held+n, a.Held())
				if sharedPart(held+n) > sharedPart(held) {
					require.LessOrEqual(t, b.bySource[a.source], multiple*(limit-b.held), "of a source that has grown, and what it leaves")
				}
			},
			"shrink": func(t *rapid.T) {
				if len(open) == 0 {
					t.Skip()
				}
				a := rapid.SampledFrom(open).Draw(t, "account")
				a.Shrink(rapid.IntRange(0, a.Held()).Draw(t, "bytes"))
			},
			"close": func(t *rapid.T) {
				if len(open) == 0 {
					t.Skip()
				}
				i := rapid.IntRange(0, len(open)-1).Draw(t, "index")
				open[i].Close()
				open = append(open[:i], open[i+1:]...)
			},
			"": func(t *rapid.T) {
				held := 0
				for _, a := range open {
					held += sharedPart(a.Held())
				}
				require.Equal(t, held, b.Held())
				require.LessOrEqual(t, held, limit)
			},
		})
		for _, a := range open {
			a.Close()
			require.Zero(t, a.Held())
		}
		require.Zero(t, b.Held())
		require.Empty(t, b.bySource)
	})
}

// Guards against faulty sources that hold all memory, so that the long answer of a sound one does not fit.
func TestFloodingSourcesLeaveRoomForALongAnswer(t *testing.T) {
	const limit, answer = 38 << 20, 1 << 20
	for faulty := range 20 {
		b := New(limit, 1)
		for grown := true; grown; {
			grown = false
			for i := range faulty {
				grown = b.Open(strconv.Itoa(i)).Grow(16<<10) == nil || grown
			}
		}
		for i := range faulty {
			assert.LessOrEqual(t, b.bySource[strconv.Itoa(i)], limit/(faulty+1)+AllowanceBytes)
		}
		if free := limit - b.Held(); free >= 2*answer {
			require.NoError(t, b.Open("sound").Grow(answer), "beside %d faulty sources", faulty)
		} else {
			require.Greater(t, faulty, 17)
		}
	}
}

// Guards against a buffer whose capacity is not counted, and against bytes that are lost when it grows.
func TestAppendCountsTheCapacity(t *testing.T) {
	const limit = 100_000
	a := New(1<<20, 1).Open("s")
	var buf, want []byte
	for i := 0; len(want) < limit+20_000; i++ {
		piece := bytes.Repeat([]byte{byte(i)}, i*7%5000)
		var err error
		buf, err = a.Append(buf, piece, limit)
		require.NoError(t, err)
		want = append(want, piece...)
		require.Equal(t, cap(buf), a.Held())
		if len(buf) <= limit {
			require.LessOrEqual(t, cap(buf), limit)
		}
	}
	assert.Equal(t, want, buf)
}

// Guards against a failed Append that loses what the buffer has.
func TestAppendThatFailsLeavesTheBuffer(t *testing.T) {
	a := New(0, 1).Open("s")
	buf, err := a.Append(nil, make([]byte, AllowanceBytes), 1<<20)
	require.NoError(t, err)
	again, err := a.Append(buf, []byte{1}, 1<<20)
	require.ErrorIs(t, err, ErrExhausted)
	assert.Equal(t, buf, again)
	assert.Equal(t, AllowanceBytes, a.Held())
}

// Guards against a nil budget or account that bounds or fails.
func TestNilBudgetHasNoBound(t *testing.T) {
	var none *Budget
	for _, a := range []*Account{nil, none.Open("s")} {
		require.NoError(t, a.Grow(1<<40))
		a.Close()
		require.Zero(t, a.Held())
	}
}
