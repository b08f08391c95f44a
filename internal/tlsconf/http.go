package tlsconf

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"time"
)

const (
	dialTimeout      = 2 * time.Second
	handshakeTimeout = 5 * time.Second
	keepAlive        = 15 * time.Second
	idleLifetime     = time.Minute
	// maxResponseHeaderBytes bounds the head of an answer, which has a few hundred bytes; net/http would read 10 MB.
	maxResponseHeaderBytes = 64 << 10
)

// TransportOptions configure a client's transport.
type TransportOptions struct {
	TLS          Files
	ConnsPerHost int // greatest number of connections to one address; 0 is without bound
	IdlePerHost  int
	BufferBytes  int // read and write buffer of each connection; 0 is net/http's default
	// Compress lets servers send gzip, which the transport decompresses.
	Compress bool
	// NoKeepAlive makes a new connection for every request. net/http never sends
	// a request again by itself on a new connection.
	NoKeepAlive bool
	// Translations give the address to dial for an address, both IP:port, where
	// address translation lies between hosts. Certificates are checked for the
	// address before translation.
	Translations Translations
	// WrapConn, if set, wraps each TCP connection, below TLS.
	WrapConn func(net.Conn) net.Conn
	// Dial, if set, opens connections in place of TCP, for example in a benchmark.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
}

// NewTransport returns a transport and the scheme of its URLs. It speaks
// HTTP/1.1 and uses no proxy.
func NewTransport(o TransportOptions) (*http.Transport, string, error) {
	dialer := &dialer{wrap: o.WrapConn, open: o.Dial, translations: o.Translations}
	if dialer.open == nil {
		dialer.open = (&net.Dialer{Timeout: dialTimeout, KeepAlive: keepAlive}).DialContext
	}
	t := &http.Transport{
		DialContext:            dialer.dial,
		MaxResponseHeaderBytes: maxResponseHeaderBytes,
		MaxConnsPerHost:        o.ConnsPerHost,
		MaxIdleConnsPerHost:    o.IdlePerHost,
		IdleConnTimeout:        idleLifetime,
		DisableCompression:     !o.Compress,
		DisableKeepAlives:      o.NoKeepAlive,
		ReadBufferSize:         o.BufferBytes,
		WriteBufferSize:        o.BufferBytes,
	}
	if !o.TLS.Enabled() {
		return t, "http", nil
	}
	source, err := NewSource(o.TLS)
	if err != nil {
		return nil, "", err
	}
	dialer.source = source
	t.DialTLSContext = dialer.dialTLS
	return t, "https", nil
}

// dialer opens the connections of a transport.
type dialer struct {
	open   func(ctx context.Context, network, address string) (net.Conn, error)
	wrap   func(net.Conn) net.Conn
	source *Source

	translations Translations
}

func (d *dialer) dial(ctx context.Context, network, address string) (net.Conn, error) {
	if to, ok := d.translations[address]; ok {
		address = to
	}
	conn, err := d.open(ctx, network, address)
	if err != nil || d.wrap == nil {
		return conn, err
	}
	return d.wrap(conn), nil
}

// dialTLS takes the configuration anew for each connection, so that replaced
// certificates apply without a restart and the address is verified; net/http
// leaves out IP addresses from the name that a verification callback sees.
func (d *dialer) dialTLS(ctx context.Context, network, address string) (net.Conn, error) {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return nil, err
	}
	raw, err := d.dial(ctx, network, address)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, handshakeTimeout)
	defer cancel()
	conn := tls.Client(raw, d.source.Client(host))
	if err := conn.HandshakeContext(ctx); err != nil {
		_ = raw.Close()
		return nil, err
	}
	return conn, nil
}

// Listen opens a listener, with TLS when the files are given. Each function of wrap
// wraps every connection, below TLS.
func Listen(ctx context.Context, address string, files Files, wrap ...func(net.Conn) net.Conn) (net.Listener, error) {
	var config net.ListenConfig
	listener, err := config.Listen(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	if tcp, ok := listener.(*net.TCPListener); ok {
		listener = &drainingListener{TCPListener: tcp}
	}
	for _, w := range wrap {
		listener = &wrappingListener{Listener: listener, wrap: w}
	}
	if !files.Enabled() {
		return listener, nil
	}
	source, err := NewSource(files)
	if err != nil {
		_ = listener.Close()
		return nil, err
	}
	return tls.NewListener(listener, source.Server()), nil
}

// wrappingListener wraps each connection that it accepts.
type wrappingListener struct {
	net.Listener
	wrap func(net.Conn) net.Conn
}

// Accept implements net.Listener.
func (l *wrappingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return l.wrap(conn), nil
}
