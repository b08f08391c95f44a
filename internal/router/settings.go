package router

import (
	"net/netip"

	"heatherbarrow/internal/settings"
	"heatherbarrow/internal/tlsconf"
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
	TLS              tlsconf.Files     `json:"tls,omitzero"`           // callers' listener
	UpstreamTLS      tlsconf.Files     `json:"upstream_tls,omitzero"`  // client to replicas
	InternalTLS      tlsconf.Files     `json:"internal_tls,omitzero"`  // mutual TLS with control
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
	if s.LogLevel == "" {
		s.LogLevel = "info"
	}
	if s.BalancerLag < 0 || s.DrainTimeout < 0 {
		return settings.Errorf("balancer_lag", "durations must not be negative")
	}
	if s.BalancerLag == 0 {
		s.BalancerLag = settings.Duration(defaultBalancerLag)
	}
	return nil
}
