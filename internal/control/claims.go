package control

import (
	"net/http"
	"time"

	"github.com/rs/zerolog"

	"heatherbarrow/internal/claims"
	"heatherbarrow/internal/platform"
	"heatherbarrow/internal/rpc"
)

// defaultClaimRetention applies while the host has no bundle.
const defaultClaimRetention = 24 * time.Hour

// newClaims returns the claim service of this host. Its hosts are the live hosts
// of the view, and it reaches their peer services at base, for example "http://".
func newClaims(s *Settings, loop *Loop, store *platform.Client, base string, peers *http.Client, logger zerolog.Logger) *claims.Service {
	return claims.New(claims.Options{
		Store:  store,
		Host:   s.Host,
		Logger: logger,
		Hosts:  func() []claims.Host { return liveHosts(loop.State().View) },
		Dial: func(h claims.Host) claims.Appender {
			return rpc.NewPeerProtobufClient(base+h.Address, peers)
		},
		Retention: func() time.Duration {
			if parsed := loop.State().Parsed; parsed != nil {
				return parsed.Limits.ClaimRetention.Std()
			}
			return defaultClaimRetention
		},
	})
}

func liveHosts(view *rpc.View) []claims.Host {
	var out []claims.Host
	for _, h := range view.Hosts {
		if h.State == rpc.State_STATE_LIVE && h.PeerAddress != "" {
			out = append(out, claims.Host{Name: h.Host, Address: h.PeerAddress})
		}
	}
	return out
}
