package telemetry

import (
	"bytes"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against metrics that are counted and never exposed, and against a
// second program in the process that cannot register its own.
func TestMetricsAreExposed(t *testing.T) {
	for range 2 {
		m := NewMetrics("h", "z")
		m.Scope.Tagged(map[string]string{"class": "quote"}).Counter("requests").Inc(2)
		require.Eventually(t, func() bool {
			recorder := httptest.NewRecorder()
			m.Handler.ServeHTTP(recorder, httptest.NewRequest("GET", "/metrics", nil))
			return bytes.Contains(recorder.Body.Bytes(), []byte(`heatherbarrow_requests{availability_zone="z",class="quote",host="h"} 2`))
		}, 10*time.Second, 10*time.Millisecond)
		require.NoError(t, m.Close())
	}
}

// Guards against a log level that is misspelt in the settings and ignored.
func TestLoggerRefusesUnknownLevel(t *testing.T) {
	_, err := NewLogger(&bytes.Buffer{}, "loud", "p", "h", "z")
	require.Error(t, err)
}
