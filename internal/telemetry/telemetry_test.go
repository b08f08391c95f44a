package telemetry

import (
	"bytes"
	"encoding/json"
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

// Guards against messages of net/http that are no JSON, against a port scanner that
// floods the log, and against its lines displacing a handler's panic.
func TestErrorLogIsBoundedJSON(t *testing.T) {
	var out bytes.Buffer
	logger, err := NewLogger(&out, "info", "p", "h", "z")
	require.NoError(t, err)
	errorLog := NewErrorLog(logger, "callers")
	for range 100 {
		errorLog.Printf("http: TLS handshake error from 10.0.0.1:5: EOF")
	}
	errorLog.Printf("http: panic serving 10.0.0.1:5: reason\nstack")
	lines := bytes.Split(bytes.TrimSpace(out.Bytes()), []byte("\n"))
	require.Less(t, len(lines), 100)
	var last map[string]any
	for _, line := range lines {
		clear(last)
		require.NoError(t, json.Unmarshal(line, &last))
		require.Equal(t, "callers", last["listener"])
	}
	require.Equal(t, "error", last["level"])
	require.Contains(t, last["error"], "panic serving")
}

// Guards against a log level that is misspelt in the settings and ignored.
func TestLoggerRefusesUnknownLevel(t *testing.T) {
	_, err := NewLogger(&bytes.Buffer{}, "loud", "p", "h", "z")
	require.Error(t, err)
}
