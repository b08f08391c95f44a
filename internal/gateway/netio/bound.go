package netio

import (
	"errors"
	"io"
	"net/http"
)

// ErrTooLarge means that the body of a response is longer than its limit.
var ErrTooLarge = errors.New("response body exceeds its size limit")

// MaxHeaderBytes bounds the header of a response from the store or another host. Their
// headers have a few hundred bytes, but a faulty server may send an endless one.
const MaxHeaderBytes = 64 << 10

// BoundBodies returns a transport whose response bodies fail with ErrTooLarge after limit
// bytes, for clients that read a complete body into memory.
func BoundBodies(transport http.RoundTripper, limit int64) http.RoundTripper {
	return boundedTransport{transport: transport, limit: limit}
}

// boundedTransport limits the bodies of the responses of a transport.
type boundedTransport struct {
	transport http.RoundTripper
	limit     int64
}

// RoundTrip implements http.RoundTripper.
func (t boundedTransport) RoundTrip(request *http.Request) (*http.Response, error) {
	response, err := t.transport.RoundTrip(request)
	if err != nil {
		return nil, err
	}
	response.Body = &boundedBody{ReadCloser: response.Body, remaining: t.limit}
	return response, nil
}

// boundedBody is a response body with a limit.
type boundedBody struct {
	io.ReadCloser
	remaining int64 // bytes until the limit
}

// Read implements io.Reader.
func (b *boundedBody) Read(p []byte) (int, error) {
	if b.remaining <= 0 {
		return 0, ErrTooLarge
	}
	n, err := b.ReadCloser.Read(p[:min(int64(len(p)), b.remaining)])
	b.remaining -= int64(n)
	return n, err
}
