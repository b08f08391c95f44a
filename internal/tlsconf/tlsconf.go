// Package tlsconf builds TLS configurations whose certificates are read again
// when their files change, without a restart.
package tlsconf

import (
	"crypto/tls"
	"crypto/x509"
	"errors"
	"os"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"heatherbarrow/internal/settings"
)

// Files name the PEM files of one listener or client. All empty means plain
// text. CA on a listener makes it require client certificates.
type Files struct {
	Certificate string `json:"certificate,omitempty"`
	Key         string `json:"key,omitempty"`
	CA          string `json:"ca,omitempty"`
	// ServerName is the name that a client expects in the certificate of every
	// server it connects to. When empty, a client expects the address it dials.
	ServerName string `json:"server_name,omitempty"`
}

var (
	errIncomplete    = errors.New("certificate and key must be given together")
	errNoCertificate = errors.New("a listener with TLS needs a certificate and a key")
)

// Enabled tells whether TLS is configured.
func (f Files) Enabled() bool { return f != Files{} }

// ValidateListener checks the files of a listener in the settings at path.
func (f Files) ValidateListener(path string) error {
	if f.Enabled() && f.Certificate == "" {
		return settings.Errorf(path+".certificate", "%v", errNoCertificate)
	}
	if f.ServerName != "" {
		return settings.Errorf(path+".server_name", "applies to clients only")
	}
	return f.validate(path)
}

// ValidateClient checks the files of a client in the settings at path.
func (f Files) ValidateClient(path string) error { return f.validate(path) }

func (f Files) validate(path string) error {
	if !f.Enabled() {
		return nil
	}
	if _, err := NewSource(f); err != nil {
		return settings.Errorf(path, "%v", err)
	}
	return nil
}

// fileState tells whether a file was replaced.
type fileState struct {
	modified time.Time
	size     int64
}

// Source holds the current certificate and authorities.
type Source struct {
	files Files

	mu     sync.Mutex
	loaded [3]fileState
	cert   *tls.Certificate
	roots  *x509.CertPool
}

// NewSource reads the files once and fails if they are not usable.
func NewSource(files Files) (*Source, error) {
	if (files.Certificate == "") != (files.Key == "") {
		return nil, errIncomplete
	}
	s := &Source{files: files}
	if err := s.load(s.states()); err != nil {
		return nil, err
	}
	return s, nil
}

// load reads the files, whose states were taken before, so that a file replaced
// during the reading is read again.
func (s *Source) load(states [3]fileState) error {
	var cert *tls.Certificate
	if s.files.Certificate != "" {
		pair, err := tls.LoadX509KeyPair(s.files.Certificate, s.files.Key)
		if err != nil {
			return eris.Wrap(err, "load certificate")
		}
		cert = &pair
	}
	var roots *x509.CertPool
	if s.files.CA != "" {
		pem, err := os.ReadFile(s.files.CA)
		if err != nil {
			return eris.Wrap(err, "load certificate authority")
		}
		roots = x509.NewCertPool()
		if !roots.AppendCertsFromPEM(pem) {
			return eris.Errorf("%s has no certificate", s.files.CA)
		}
	}
	s.cert, s.roots, s.loaded = cert, roots, states
	return nil
}

func (s *Source) states() [3]fileState {
	var states [3]fileState
	for i, path := range [...]string{s.files.Certificate, s.files.Key, s.files.CA} {
		if path == "" {
			continue
		}
		if info, err := os.Stat(path); err == nil {
			states[i] = fileState{modified: info.ModTime(), size: info.Size()}
		}
	}
	return states
}

// current returns the newest usable certificate and authorities. It is called
// once for each handshake. Files that cannot be used, for example while only one
// of certificate and key is replaced, leave the old ones in force.
func (s *Source) current() (*tls.Certificate, *x509.CertPool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if states := s.states(); states != s.loaded {
		_ = s.load(states)
	}
	return s.cert, s.roots
}

// Server returns the configuration of a listener.
func (s *Source) Server() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS12,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			cert, roots := s.current()
			if cert == nil {
				return nil, errNoCertificate
			}
			c := &tls.Config{
				MinVersion:   tls.VersionTLS12,
				Certificates: []tls.Certificate{*cert},
				NextProtos:   []string{"h2", "http/1.1"},
			}
			if roots != nil {
				c.ClientCAs = roots
				c.ClientAuth = tls.RequireAndVerifyClientCert
			}
			return c, nil
		},
	}
}

// Client returns the configuration of one connection to host, an IP address or
// a name. The server's certificate must be valid for the settings' server name,
// or else for host.
func (s *Source) Client(host string) *tls.Config {
	name := s.files.ServerName
	if name == "" {
		name = host
	}
	cert, roots := s.current()
	c := &tls.Config{
		MinVersion: tls.VersionTLS12,
		ServerName: name,
		// RootCAs is read when the connection is made, so a replaced authority
		// applies to the next connection.
		RootCAs: roots,
	}
	if cert != nil {
		c.Certificates = []tls.Certificate{*cert}
	}
	return c
}
