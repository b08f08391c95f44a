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
)

// Files name the PEM files of one listener or client. All empty means plain
// text. CA on a listener makes it require client certificates.
type Files struct {
	Certificate string `json:"certificate,omitempty"`
	Key         string `json:"key,omitempty"`
	CA          string `json:"ca,omitempty"`
}

// reloadInterval is how often files are checked for changes.
const reloadInterval = 5 * time.Second

var errIncomplete = errors.New("certificate and key must be given together")

// Enabled tells whether TLS is configured.
func (f Files) Enabled() bool { return f != Files{} }

// Source holds the current certificate and authorities.
type Source struct {
	files Files

	mu       sync.Mutex
	checked  time.Time
	modified time.Time
	cert     *tls.Certificate
	roots    *x509.CertPool
}

// NewSource reads the files once and fails if they are not usable.
func NewSource(files Files) (*Source, error) {
	if (files.Certificate == "") != (files.Key == "") {
		return nil, errIncomplete
	}
	s := &Source{files: files}
	if err := s.load(); err != nil {
		return nil, err
	}
	return s, nil
}

func (s *Source) load() error {
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
	s.cert, s.roots = cert, roots
	s.checked = time.Now()
	s.modified = s.newestModification()
	return nil
}

func (s *Source) newestModification() time.Time {
	var newest time.Time
	for _, path := range []string{s.files.Certificate, s.files.Key, s.files.CA} {
		if info, err := os.Stat(path); err == nil && info.ModTime().After(newest) {
			newest = info.ModTime()
		}
	}
	return newest
}

// current returns the newest usable certificate and authorities. Files that
// cannot be read, for example while they are being replaced, leave the old ones.
func (s *Source) current() (*tls.Certificate, *x509.CertPool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if time.Since(s.checked) > reloadInterval {
		s.checked = time.Now()
		if s.newestModification() != s.modified {
			_ = s.load()
		}
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
				return nil, errIncomplete
			}
			c := &tls.Config{MinVersion: tls.VersionTLS12, Certificates: []tls.Certificate{*cert}, NextProtos: []string{"h2", "http/1.1"}}
			if roots != nil {
				c.ClientCAs = roots
				c.ClientAuth = tls.RequireAndVerifyClientCert
			}
			return c, nil
		},
	}
}

// Client returns the configuration of a client. Authorities are verified by
// hand so that a changed file is used for new connections.
func (s *Source) Client() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS12,
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			cert, _ := s.current()
			if cert == nil {
				return &tls.Certificate{}, nil
			}
			return cert, nil
		},
		// VerifyConnection below checks the chain and the name.
		InsecureSkipVerify: true,
		VerifyConnection: func(state tls.ConnectionState) error {
			_, roots := s.current()
			intermediates := x509.NewCertPool()
			for _, c := range state.PeerCertificates[1:] {
				intermediates.AddCert(c)
			}
			_, err := state.PeerCertificates[0].Verify(x509.VerifyOptions{
				Roots: roots, Intermediates: intermediates, DNSName: state.ServerName,
			})
			return err
		},
	}
}
