package netio

import (
	"context"
	"errors"
	"io"
	"net/http"
)

// DropIdleAfterFailure returns a RoundTripper that closes the idle connections of transport after a failed call.
// Connections that were opened before may have gone silent together, and the next call would wait on one of them
// for its whole timeout.
func DropIdleAfterFailure(transport IdleCloser) http.RoundTripper {
	return &idleDropper{transport}
}

// IdleCloser is a transport that keeps idle connections.
type IdleCloser interface {
	http.RoundTripper
	CloseIdleConnections()
}

type idleDropper struct{ transport IdleCloser }

// RoundTrip implements http.RoundTripper.
func (d *idleDropper) RoundTrip(request *http.Request) (*http.Response, error) {
	response, err := d.transport.RoundTrip(request)
	if err != nil {
		d.noteError(err)
		return nil, err
	}
	response.Body = &watchedBody{ReadCloser: response.Body, dropper: d}
	return response, nil
}

// noteError closes the idle connections unless the caller canceled the call.
func (d *idleDropper) noteError(err error) {
	if !errors.Is(err, context.Canceled) {
		d.transport.CloseIdleConnections()
	}
}

// watchedBody is a response body whose read errors are noted.
type watchedBody struct {
	io.ReadCloser
	dropper *idleDropper
}

// Read implements io.Reader.
func (b *watchedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err != nil && err != io.EOF {
		b.dropper.noteError(err)
	}
	return n, err
}
