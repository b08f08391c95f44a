package tlsconf

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"io"
	"math/big"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// authority signs the certificates of a test.
type authority struct {
	t    *testing.T
	dir  string
	key  *ecdsa.PrivateKey
	cert *x509.Certificate
	next int64
}

func newAuthority(t *testing.T) *authority {
	a := &authority{t: t, dir: t.TempDir()}
	var err error
	a.key, err = ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	require.NoError(t, err)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "ca"}, IsCA: true, BasicConstraintsValid: true,
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour), KeyUsage: x509.KeyUsageCertSign,
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &a.key.PublicKey, a.key)
	require.NoError(t, err)
	a.cert, err = x509.ParseCertificate(der)
	require.NoError(t, err)
	a.write("ca.pem", "CERTIFICATE", der)
	return a
}

func (a *authority) write(name, kind string, der []byte) string {
	path := filepath.Join(a.dir, name)
	require.NoError(a.t, os.WriteFile(path, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der}), 0o600))
	return path
}

// issue writes a certificate for the address and name under the file name.
func (a *authority) issue(file string, address net.IP, name string) Files {
	a.next++
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	require.NoError(a.t, err)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(100 + a.next), Subject: pkix.Name{CommonName: file},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		IPAddresses: []net.IP{address}, DNSNames: []string{name},
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	der, err := x509.CreateCertificate(rand.Reader, template, a.cert, &key.PublicKey, a.key)
	require.NoError(a.t, err)
	keyDER, err := x509.MarshalECPrivateKey(key)
	require.NoError(a.t, err)
	return Files{
		Certificate: a.write(file+".pem", "CERTIFICATE", der), Key: a.write(file+".key", "EC PRIVATE KEY", keyDER),
		CA: filepath.Join(a.dir, "ca.pem"),
	}
}

var loopback = net.IPv4(127, 0, 0, 1)

func serve(t *testing.T, files Files) string {
	listener, err := Listen(context.Background(), "127.0.0.1:0", files)
	require.NoError(t, err)
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { _, _ = io.WriteString(w, r.Proto) })}
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() { _ = server.Close() })
	return listener.Addr().String()
}

// get makes a request on a new connection and returns the server's certificate
// serial and the answer.
func get(t *testing.T, files Files, address string, h2 bool) (serial int64, body string, err error) {
	transport, scheme, err := NewTransport(TransportOptions{TLS: files, NoKeepAlive: !h2})
	require.NoError(t, err)
	if h2 {
		source, err := NewSource(files)
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
	a, other := newAuthority(t), newAuthority(t)
	server := a.issue("server", loopback, "internal")
	client := a.issue("client", loopback, "client")
	address := serve(t, server)
	_, body, err := get(t, client, address, false)
	require.NoError(t, err)
	require.Equal(t, "HTTP/1.1", body)
	_, _, err = get(t, Files{CA: client.CA}, address, false)
	require.Error(t, err, "no client certificate")
	stranger := other.issue("client", loopback, "client")
	stranger.CA = client.CA
	_, _, err = get(t, stranger, address, false)
	require.Error(t, err, "client certificate of another authority")
	_, _, err = get(t, other.issue("client", loopback, "client"), address, false)
	require.Error(t, err, "server certificate of another authority")

	elsewhere := serve(t, a.issue("elsewhere", net.IPv4(10, 0, 0, 1), "internal"))
	_, _, err = get(t, client, elsewhere, false)
	require.Error(t, err, "server certificate for another address")
	client.ServerName = "internal"
	_, _, err = get(t, client, elsewhere, false)
	require.NoError(t, err, "server certificate for the name that the settings give")
}

// Guards against a restart being needed to replace a certificate, and against
// an outage while only one of its two files is replaced.
func TestCertificateReload(t *testing.T) {
	a := newAuthority(t)
	server := a.issue("server", loopback, "x")
	client := a.issue("client", loopback, "x")
	address := serve(t, server)
	first, _, err := get(t, client, address, false)
	require.NoError(t, err)
	oldKey, err := os.ReadFile(server.Key)
	require.NoError(t, err)
	a.issue("server", loopback, "x")
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
	a := newAuthority(t)
	files := a.issue("server", loopback, "x")
	address := serve(t, Files{Certificate: files.Certificate, Key: files.Key})
	_, body, err := get(t, Files{CA: files.CA}, address, true)
	require.NoError(t, err)
	require.Equal(t, "HTTP/2.0", body)
}

// Guards against settings that only fail when the first connection is made.
func TestValidate(t *testing.T) {
	a := newAuthority(t)
	files := a.issue("server", loopback, "x")
	require.NoError(t, Files{}.ValidateListener("tls"))
	require.NoError(t, files.ValidateListener("tls"))
	require.NoError(t, Files{CA: files.CA}.ValidateClient("tls"))
	require.ErrorContains(t, Files{CA: files.CA}.ValidateListener("tls"), "tls.certificate")
	require.ErrorContains(t, Files{Certificate: files.Certificate}.ValidateClient("tls"), "tls: ")
	require.ErrorContains(t, Files{CA: "absent"}.ValidateClient("tls"), "absent")
	files.ServerName = "x"
	require.ErrorContains(t, files.ValidateListener("tls"), "tls.server_name")
}
