package proxy

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"heatherbarrow/internal/connends"
	"heatherbarrow/internal/gateway/upstream"
)

// Guards against evidence of a cut that is lost as an answer which ended right after its last bytes, so that it is not among the ends of
// that instant, counts as one of these once its end is verified.
func TestVerifiedEndsAreCountedWhetherOrNotTheyFollowedTheirLastBytes(t *testing.T) {
	for _, c := range []struct {
		name     string
		seen     connends.EndOfAnswer
		verified []verification // of answers of the same replica that ended in the same instant, right after their last bytes
	}{
		{"two were cut", connends.EndOfAnswer{}, []verification{verifiedPart, verifiedPart}},
		{"one was cut, and a connection to another replica ended", connends.EndOfAnswer{NearElsewhere: 1}, []verification{verifiedPart}},
		{"two ended later than their last bytes, and a third was whole", connends.EndOfAnswer{AtOnce: 2}, []verification{verifiedWhole}},
	} {
		s, at := &Server{}, time.Now()
		for _, what := range c.verified {
			s.unframedEnds.settle(s.unframedEnds.begin("replica", at), what)
		}
		e := &exchange{server: s}
		assert.True(t, e.cutBeside(t.Context(), &upstream.EndOfUnframed{EndOfAnswer: c.seen}, "replica", at), c.name)
	}
}
