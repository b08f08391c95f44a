package connends

import (
	"net/http"
	"strconv"
	"strings"
	"time"
)

// keptFraction is the fraction of an announced keep-alive timeout during which the replica surely
// keeps a connection. Its timer starts before this host receives the response.
const keptFraction = 0.5

// KeptFor returns how long a replica surely keeps an idle connection after a response with the headers h, if they state
// that. It is 0 if the statement is invalid.
func KeptFor(h http.Header) (idle time.Duration, stated bool) {
	for part := range strings.SplitSeq(h.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		seconds, err := strconv.Atoi(value)
		if err != nil {
			return 0, true
		}
		timeout := time.Duration(max(seconds, 0)) * time.Second
		return time.Duration(keptFraction * float64(timeout)), true
	}
	return 0, false
}
