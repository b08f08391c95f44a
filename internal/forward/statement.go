package forward

import (
	"context"
	"net/http"

	"heatherbarrow/internal/scheduling/statement"
)

const (
	leavingHeader = "Heatherbarrow-Leaving" // "1" in the answers of a process that takes no further requests
	restHeader    = "Retry-After"           // seconds for which the process wants no requests
)

// MayStart tells whether a request that has got a connection may still be written to it: it may have waited for the
// connection while the replica said that it takes no requests. Nil allows all.
type MayStart func() bool

// OnStatement is called with what the head of an answer says of the replica's process. invalid names the headers whose
// values cannot be read; they say nothing.
type OnStatement func(said statement.Statement, invalid []string)

// report calls f if the answer says something. A status of 503 concerns the replica. That of 429 concerns an engine which
// refused the request; from a service it concerns the caller.
func (f OnStatement) report(response *http.Response, engine bool) {
	if f == nil {
		return
	}
	said := statement.Statement{Process: response.Header.Get(bootHeader)}
	var invalid []string
	var ok bool
	if said.Leaving, ok = statement.ParseLeaving(response.Header.Get(leavingHeader)); !ok {
		invalid = append(invalid, leavingHeader+": "+response.Header.Get(leavingHeader))
	}
	refused := response.StatusCode == http.StatusTooManyRequests && response.Header.Get(refusalHeader) == refusalValue
	if response.StatusCode == http.StatusServiceUnavailable || engine && refused {
		if said.Rest, ok = statement.ParseRest(response.Header.Get(restHeader)); !ok {
			invalid = append(invalid, restHeader+": "+response.Header.Get(restHeader))
		}
	}
	if said != (statement.Statement{}) || len(invalid) > 0 {
		f(said, invalid)
	}
}

// Process asks a replica which process answers at its address.
func (c *Client) Process(ctx context.Context, address string) (string, error) {
	return c.questions.askNow(ctx, address)
}
