package router

import (
	"net/netip"
	"time"

	"heatherbarrow/internal/settings"
	"heatherbarrow/internal/tlsconf"
)

const (
	defaultBalancerLag  = 2 * time.Second
	defaultWriteTimeout = 30 * time.Second
	defaultLogLevel     = "info"
	defaultBufferMB     = 256
	maxBufferMB         = 1 << 20
	// answerMultiple and bodyMultiple are how much of the memory that remains free one replica, or one team, may hold.
	answerMultiple = 1
	bodyMultiple   = 4
)

// Settings are the static settings of heatherbarrow-router.
type Settings struct {
	Host             string            `json:"host"`
	AvailabilityZone string            `json:"availability_zone"`
	Listen           string            `json:"listen"`          // callers, IP:port
	InternalListen   string            `json:"internal_listen"` // control on this host, IP:port
	Control          string            `json:"control"`         // feed of control on this host, IP:port
	LogLevel         string            `json:"log_level,omitempty"`
	BalancerLag      settings.Duration `json:"balancer_lag,omitzero"`  // wait between not ready and drain; default 2s
	DrainTimeout     settings.Duration `json:"drain_timeout,omitzero"` // 0 waits without bound
	WriteTimeout     settings.Duration `json:"write_timeout,omitzero"` // greatest time that a caller may leave an answer unread; default 30s
	// BufferMB is the memory, in MiB, that buffered answers may occupy together, and the same for the bodies of requests.
	BufferMB int           `json:"buffer_mb,omitempty"`
	TLS      tlsconf.Files `json:"tls,omitzero"` // callers' listener
	// Translations give the addresses to dial for those of replicas, where address
	// translation lies between them and this host.
	Translations tlsconf.Translations `json:"address_translations,omitempty"`
	UpstreamTLS  tlsconf.Files        `json:"upstream_tls,omitzero"` // client to replicas
	InternalTLS  tlsconf.Files        `json:"internal_tls,omitzero"` // mutual TLS with control
}

// Validate implements settings.Validator.
func (s *Settings) Validate() error {
	if s.Host == "" {
		return settings.Errorf("host", "must not be empty")
	}
	if s.AvailabilityZone == "" {
		return settings.Errorf("availability_zone", "must not be empty")
	}
	addresses := []struct{ path, value string }{
		{"listen", s.Listen}, {"internal_listen", s.InternalListen}, {"control", s.Control},
	}
	for _, a := range addresses {
		if _, err := netip.ParseAddrPort(a.value); err != nil {
			return settings.Errorf(a.path, "%q is not an IP address with a port", a.value)
		}
	}
	if s.Listen == s.InternalListen {
		return settings.Errorf("internal_listen", "must differ from listen")
	}
	if s.BufferMB < 0 || s.BufferMB > maxBufferMB {
		return settings.Errorf("buffer_mb", "must be from 0 to %d", maxBufferMB)
	}
	if err := s.validateDurations(); err != nil {
		return err
	}
	if err := s.Translations.Validate("address_translations"); err != nil {
		return err
	}
	s.setDefaults()
	return s.validateTLS()
}

func (s *Settings) validateDurations() error {
	durations := []struct {
		path  string
		value settings.Duration
	}{
		{"balancer_lag", s.BalancerLag}, {"drain_timeout", s.DrainTimeout}, {"write_timeout", s.WriteTimeout},
	}
	for _, d := range durations {
		if d.value < 0 {
			return settings.Errorf(d.path, "must not be negative")
		}
	}
	return nil
}

func (s *Settings) setDefaults() {
	if s.LogLevel == "" {
		s.LogLevel = defaultLogLevel
	}
	if s.BalancerLag == 0 {
		s.BalancerLag = settings.Duration(defaultBalancerLag)
	}
	if s.BufferMB == 0 {
		s.BufferMB = defaultBufferMB
	}
	if s.WriteTimeout == 0 {
		s.WriteTimeout = settings.Duration(defaultWriteTimeout)
	}
}

func (s *Settings) validateTLS() error {
	if err := s.TLS.ValidateListener("tls"); err != nil {
		return err
	}
	if err := s.UpstreamTLS.ValidateClient("upstream_tls"); err != nil {
		return err
	}
	// internal_tls serves a listener and a client, so it may name a server.
	if s.InternalTLS.Enabled() && s.InternalTLS.Certificate == "" {
		return settings.Errorf("internal_tls.certificate", "must be given, because this program also listens with it")
	}
	return s.InternalTLS.ValidateClient("internal_tls")
}
