package docs

import (
	"net/http"
	"net/http/httptest"
	"regexp"
	"strings"
)

var typeLine = regexp.MustCompile(`(?m)^# TYPE (\S+) `)

// OwnPrefix begins the names of the metrics that are not those of the process
// and the Go runtime.
const OwnPrefix = "heatherbarrow_"

// ExposedMetrics returns the names that a /metrics handler exposes, those with
// OwnPrefix apart.
func ExposedMetrics(handler http.Handler) (own, runtime []string) {
	recorder := httptest.NewRecorder()
	handler.ServeHTTP(recorder, httptest.NewRequest(http.MethodGet, "/metrics", nil))
	for _, match := range typeLine.FindAllStringSubmatch(recorder.Body.String(), -1) {
		if strings.HasPrefix(match[1], OwnPrefix) {
			own = append(own, match[1])
		} else {
			runtime = append(runtime, match[1])
		}
	}
	return own, runtime
}
