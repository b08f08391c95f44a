package router

import (
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"
)

// atVersion lets an engine name its software version in its answers.
func atVersion(version string, act behavior) behavior {
	return func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Heatherbarrow-Software-Version", version)
		act(w, r)
	}
}

// Guards against an answer whose rest is from an engine of another software version than its beginning,
// and against one that breaks off although an engine of its version serves.
func TestAnswerContinuesAtItsSoftwareVersion(t *testing.T) {
	for _, second := range []string{"v1", "v2"} {
		h := newHost(t, hostOptions{})
		h.play(atVersion("v1", breakAfter(2)), atVersion(second, whole))
		_, body := h.chat(t, "m", true)
		text, event := streamed(body)
		if second == "v1" {
			require.Equal(t, wholeText, text)
			require.Contains(t, event, `"completed"`)
			continue
		}
		require.Equal(t, "t0 t1 ", text)
		require.NotContains(t, event, `"completed"`)
	}
}
