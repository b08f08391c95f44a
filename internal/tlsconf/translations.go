package tlsconf

import (
	"net/netip"

	"heatherbarrow/internal/settings"
)

// Translations maps addresses to the addresses to dial instead, both IP:port.
type Translations map[string]string

// Validate returns a *settings.FieldError for the field at path when an address
// is not an IP address with a port.
func (t Translations) Validate(path string) error {
	for from, to := range t {
		if _, err := netip.ParseAddrPort(from); err != nil {
			return settings.Errorf(path, "%q is not an IP address with a port", from)
		}
		if _, err := netip.ParseAddrPort(to); err != nil {
			return settings.Errorf(path+"."+from, "%q is not an IP address with a port", to)
		}
	}
	return nil
}
