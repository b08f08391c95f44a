package tlsconf

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"time"
)

const (
	dialTimeout  = 2 * time.Second
	keepAlive    = 15 * time.Second
	idleLifetime = time.Minute
)

// TransportOptions configure a client's transport.
type TransportOptions struct {
	TLS          Files
	ConnsPerHost int // greatest number of connections to one address; 0 is without bound
	IdlePerHost  int
}

// NewTransport returns a transport and the scheme of its URLs.
func NewTransport(o TransportOptions) (*http.Transport, string, error) {
	t := &http.Transport{
		DialContext:         (&net.Dialer{Timeout: dialTimeout, KeepAlive: keepAlive}).DialContext,
		MaxConnsPerHost:     o.ConnsPerHost,
		MaxIdleConnsPerHost: o.IdlePerHost,
		IdleConnTimeout:     idleLifetime,
		DisableCompression:  true,
	}
	if !o.TLS.Enabled() {
		return t, "http", nil
	}
	source, err := NewSource(o.TLS)
	if err != nil {
		return nil, "", err
	}
	t.TLSClientConfig = source.Client()
	return t, "https", nil
}

// Listen opens a listener, with TLS when the files are given.
func Listen(ctx context.Context, address string, files Files) (net.Listener, error) {
	var config net.ListenConfig
	listener, err := config.Listen(ctx, "tcp", address)
	if err != nil || !files.Enabled() {
		return listener, err
	}
	source, err := NewSource(files)
	if err != nil {
		_ = listener.Close()
		return nil, err
	}
	return tls.NewListener(listener, source.Server()), nil
}
