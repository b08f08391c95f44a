package control

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"heatherbarrow/internal/settings"
)

// Guards against peers that can never be reached, which showed only as a host
// that finds no bundle while the platform is down.
func TestPeersAreChecked(t *testing.T) {
	document := func(peer string) []byte {
		key := strings.Repeat("a", 64)
		return []byte(`{"host":"h","availability_zone":"z","feed_listen":"127.0.0.1:1","peer_listen":"127.0.0.1:2",
			"operator_listen":"127.0.0.1:3","router":"127.0.0.1:4","platform":"http://127.0.0.1:5",
			"operators":{"ana":"` + key + `","ben":"` + strings.Repeat("b", 64) + `"},"peers":[` + peer + `]}`)
	}
	require.NoError(t, settings.Decode(document(`{"host":"a","availability_zone":"z","address":"127.0.0.1:6"}`), &Settings{}))
	for path, peer := range map[string]string{
		"peers[0].host":              `{"host":"","availability_zone":"z","address":"127.0.0.1:6"}`,
		"peers[0].availability_zone": `{"host":"a","availability_zone":"","address":"127.0.0.1:6"}`,
		"peers[0].address":           `{"host":"a","availability_zone":"z","address":"host-a:6"}`,
	} {
		var problem *settings.FieldError
		require.ErrorAs(t, settings.Decode(document(peer), &Settings{}), &problem)
		require.Equal(t, path, problem.Path)
	}
}
