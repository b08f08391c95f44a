package connends

import (
	"io"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// Guards against a cut that is not noticed because the caller of an answer reads slowly, so that the end of its connection is read when
// the ends of the other connections are forgotten.
func TestCutIsNoticedWhereTheEndOfAnAnswerIsReadLate(t *testing.T) {
	for _, late := range []time.Duration{0, 2 * endRetention} {
		tracker := new(Tracker)
		listener := listen(t)
		ending, farEnding := pair(t, tracker, listener)
		other, farOther := pair(t, tracker, listener)
		ending.BeginAnswer(true)
		require.NoError(t, farOther.Close())
		require.NoError(t, farEnding.Close())
		_, err := other.raw.Read(make([]byte, 1))
		require.ErrorIs(t, err, io.EOF)
		other.Remove()
		for began := time.Now(); time.Since(began) < late; time.Sleep(100 * time.Millisecond) {
			tracker.Prune(time.Now())
		}
		_, err = ending.raw.Read(make([]byte, 1))
		require.ErrorIs(t, err, io.EOF)
		assert.True(t, tracker.EndOfAnswer(ending, time.Now()).Cut, "read after %s", late)
	}
}
