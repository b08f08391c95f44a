package control

import (
	"fmt"
	"net/netip"

	"heatherbarrow/internal/rollout"
	"heatherbarrow/internal/settings"
	"heatherbarrow/internal/tlsconf"
)

// Settings are the static settings of heatherbarrow-control.
type Settings struct {
	Host             string `json:"host"`
	AvailabilityZone string `json:"availability_zone"`
	FeedListen       string `json:"feed_listen"`     // router on this host, IP:port
	PeerListen       string `json:"peer_listen"`     // peers, IP:port
	OperatorListen   string `json:"operator_listen"` // hbctl and metrics, IP:port
	Router           string `json:"router"`          // internal address of the router on this host
	Platform         string `json:"platform"`        // base URL of the platform's object API
	Peers            []Peer `json:"peers,omitempty"` // hosts known from the start
	// Translations give the addresses to dial for those of peers and replicas,
	// where address translation lies between them.
	Translations tlsconf.Translations `json:"address_translations,omitempty"`
	Operators    map[string]string    `json:"operators"` // operator to Ed25519 public key in hex
	LogLevel     string               `json:"log_level,omitempty"`
	// DrainTimeout bounds how long a stopping control waits for its router's
	// drain; 0 waits without bound.
	DrainTimeout settings.Duration `json:"drain_timeout,omitzero"`
	PlatformTLS  tlsconf.Files     `json:"platform_tls,omitzero"`
	InternalTLS  tlsconf.Files     `json:"internal_tls,omitzero"` // mutual TLS between the system's processes
	UpstreamTLS  tlsconf.Files     `json:"upstream_tls,omitzero"`
}

// Peer is another host.
type Peer struct {
	Host             string `json:"host"`
	AvailabilityZone string `json:"availability_zone"`
	Address          string `json:"address"` // IP:port of its peer listener
}

// Validate implements settings.Validator.
func (s *Settings) Validate() error {
	required := []struct{ path, value string }{
		{"host", s.Host}, {"availability_zone", s.AvailabilityZone}, {"platform", s.Platform},
	}
	for _, r := range required {
		if r.value == "" {
			return settings.Errorf(r.path, "must not be empty")
		}
	}
	addresses := []struct{ path, value string }{
		{"feed_listen", s.FeedListen}, {"peer_listen", s.PeerListen},
		{"operator_listen", s.OperatorListen}, {"router", s.Router},
	}
	for _, a := range addresses {
		if _, err := netip.ParseAddrPort(a.value); err != nil {
			return settings.Errorf(a.path, "%q is not an IP address with a port", a.value)
		}
	}
	if err := s.Translations.Validate("address_translations"); err != nil {
		return err
	}
	for i, peer := range s.Peers {
		if err := peer.validate(fmt.Sprintf("peers[%d]", i)); err != nil {
			return err
		}
	}
	if len(s.Operators) < 2 {
		return settings.Errorf("operators", "needs at least two operators, because the approver of a bundle differs from its author")
	}
	if _, err := rollout.ParseOperators(s.Operators); err != nil {
		return settings.Errorf("operators", "%v", err)
	}
	if s.DrainTimeout < 0 {
		return settings.Errorf("drain_timeout", "must not be negative")
	}
	if s.LogLevel == "" {
		s.LogLevel = "info"
	}
	return nil
}

func (p *Peer) validate(path string) error {
	switch {
	case p.Host == "":
		return settings.Errorf(path+".host", "must not be empty")
	case p.AvailabilityZone == "":
		return settings.Errorf(path+".availability_zone", "must not be empty")
	}
	if _, err := netip.ParseAddrPort(p.Address); err != nil {
		return settings.Errorf(path+".address", "%q is not an IP address with a port", p.Address)
	}
	return nil
}
