// Package inprocess connects an HTTP client to a handler without a network, for
// tests that need many calls or a virtual clock.
package inprocess

import (
	"io"
	"net/http"
	"net/http/httptest"
)

// Transport answers calls from a handler in the same process.
type Transport struct{ Handler http.Handler }

// RoundTrip implements http.RoundTripper. A handler that panics, as with
// http.ErrAbortHandler, has lost its answer.
func (t Transport) RoundTrip(r *http.Request) (response *http.Response, err error) {
	defer func() {
		if recover() != nil {
			response, err = nil, io.ErrUnexpectedEOF
		}
	}()
	w := httptest.NewRecorder()
	t.Handler.ServeHTTP(w, r)
	return w.Result(), r.Context().Err()
}

// Client returns a client whose calls all go to handler.
func Client(handler http.Handler) *http.Client {
	return &http.Client{Transport: Transport{Handler: handler}}
}
