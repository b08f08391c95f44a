package fleet

import "time"

// Stays reports whether a replica that does not leave is registered at one of the addresses.
func (f *Fleet) Stays(addresses []string, now time.Time) bool {
	asked := make(map[string]bool, len(addresses))
	for _, address := range addresses {
		asked[address] = true
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, r := range f.replicas {
		if asked[r.member.Address] && r.member.usable(now) {
			return true
		}
	}
	return false
}
