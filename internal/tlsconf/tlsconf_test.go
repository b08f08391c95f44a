package tlsconf_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"os"
	"testing"

	"github.com/stretchr/testify/require"

	"heatherbarrow/internal/tlsconf"
	"heatherbarrow/internal/tlsconf/tlstest"
)

var loopback = net.IPv4(127, 0, 0, 1)

func serve(t *testing.T, files tlsconf.Files) string {
	listener, err := tlsconf.Listen(context.Background(), "127.0.0.1:0", files)
	require.NoError(t, err)
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { _, _ = io.WriteString(w, r.Proto) })}
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() { _ = server.Close() })
	return listener.Addr().String()
}

// get makes a request on a new connection and returns the server's certificate
// serial and the answer.
func get(t *testing.T, files tlsconf.Files, address string, h2 bool) (serial int64, body string, err error) {
	transport, scheme, err := tlsconf.NewTransport(tlsconf.TransportOptions{TLS: files, NoKeepAlive: !h2})
	require.NoError(t, err)
	if h2 {
		source, err := tlsconf.NewSource(files)
		require.NoError(t, err)
		transport = &http.Transport{ForceAttemptHTTP2: true, TLSClientConfig: source.Client("127.0.0.1")}
	}
	defer transport.CloseIdleConnections()
	response, err := (&http.Client{Transport: transport}).Get(scheme + "://" + address)
	if err != nil {
		return 0, "", err
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(response.Body)
	return response.TLS.PeerCertificates[0].SerialNumber.Int64(), string(data), err
}

// Guards against a listener that takes clients without a certificate of the
// authority, and against a client that takes a server of another address.
func TestMutualTLS(t *testing.T) {
	a, other := tlstest.NewAuthority(t), tlstest.NewAuthority(t)
	server := a.Issue("server", loopback, "internal")
	client := a.Issue("client", loopback, "client")
	address := serve(t, server)
	_, body, err := get(t, client, address, false)
	require.NoError(t, err)
	require.Equal(t, "HTTP/1.1", body)
	_, _, err = get(t, tlsconf.Files{CA: client.CA}, address, false)
	require.Error(t, err, "no client certificate")
	stranger := other.Issue("client", loopback, "client")
	stranger.CA = client.CA
	_, _, err = get(t, stranger, address, false)
	require.Error(t, err, "client certificate of another authority")
	_, _, err = get(t, other.Issue("client", loopback, "client"), address, false)
	require.Error(t, err, "server certificate of another authority")

	elsewhere := serve(t, a.Issue("elsewhere", net.IPv4(10, 0, 0, 1), "internal"))
	_, _, err = get(t, client, elsewhere, false)
	require.Error(t, err, "server certificate for another address")
	client.ServerName = "internal"
	_, _, err = get(t, client, elsewhere, false)
	require.NoError(t, err, "server certificate for the name that the settings give")
}

// Guards against a restart being needed to replace a certificate, and against
// an outage while only one of its two files is replaced.
func TestCertificateReload(t *testing.T) {
	a := tlstest.NewAuthority(t)
	server := a.Issue("server", loopback, "x")
	client := a.Issue("client", loopback, "x")
	address := serve(t, server)
	first, _, err := get(t, client, address, false)
	require.NoError(t, err)
	oldKey, err := os.ReadFile(server.Key)
	require.NoError(t, err)
	a.Issue("server", loopback, "x")
	newKey, err := os.ReadFile(server.Key)
	require.NoError(t, err)
	require.NoError(t, os.WriteFile(server.Key, append(oldKey, '\n'), 0o600))
	half, _, err := get(t, client, address, false)
	require.NoError(t, err)
	require.Equal(t, first, half, "a certificate without its key is not used")
	require.NoError(t, os.WriteFile(server.Key, newKey, 0o600))
	second, _, err := get(t, client, address, false)
	require.NoError(t, err)
	require.NotEqual(t, first, second)
}

// Guards against callers that get HTTP/1.1 although they offer HTTP/2.
func TestHTTP2ForCallers(t *testing.T) {
	a := tlstest.NewAuthority(t)
	files := a.Issue("server", loopback, "x")
	address := serve(t, tlsconf.Files{Certificate: files.Certificate, Key: files.Key})
	_, body, err := get(t, tlsconf.Files{CA: files.CA}, address, true)
	require.NoError(t, err)
	require.Equal(t, "HTTP/2.0", body)
}

// Guards against settings that only fail when the first connection is made.
func TestValidate(t *testing.T) {
	a := tlstest.NewAuthority(t)
	files := a.Issue("server", loopback, "x")
	require.NoError(t, tlsconf.Files{}.ValidateListener("tls"))
	require.NoError(t, files.ValidateListener("tls"))
	require.NoError(t, tlsconf.Files{CA: files.CA}.ValidateClient("tls"))
	require.ErrorContains(t, tlsconf.Files{CA: files.CA}.ValidateListener("tls"), "tls.certificate")
	require.ErrorContains(t, tlsconf.Files{Certificate: files.Certificate}.ValidateClient("tls"), "tls: ")
	require.ErrorContains(t, tlsconf.Files{CA: "absent"}.ValidateClient("tls"), "absent")
	files.ServerName = "x"
	require.ErrorContains(t, files.ValidateListener("tls"), "tls.server_name")
}
