package router

import (
	"os"
	"reflect"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"heatherbarrow/internal/settings"
	"heatherbarrow/internal/tlsconf"
)

// Guards against a settings reference that misses a field or states another default.
func TestSettingsReference(t *testing.T) {
	data, err := os.ReadFile("../../docs/operators/settings.md")
	require.NoError(t, err)
	page := string(data)
	for _, kind := range []reflect.Type{reflect.TypeFor[Settings](), reflect.TypeFor[tlsconf.Files]()} {
		for i := range kind.NumField() {
			name, _, _ := strings.Cut(kind.Field(i).Tag.Get("json"), ",")
			require.Contains(t, page, "\n| `"+name+"` |", kind.String())
		}
	}
	for _, row := range []string{
		"| `log_level` | | `" + defaultLogLevel + "` |",
		"| `balancer_lag` | duration | `" + defaultBalancerLag.String() + "` |",
		"| `write_timeout` | duration | `" + defaultWriteTimeout.String() + "` |",
	} {
		require.Contains(t, page, row)
	}
}

// Guards against settings that are accepted and fail later, and against a
// problem reported without its field.
func TestSettingsProblems(t *testing.T) {
	good := `"host":"h","availability_zone":"z","listen":"127.0.0.1:1","internal_listen":"127.0.0.1:2","control":"127.0.0.1:3"`
	require.NoError(t, settings.Decode([]byte("{"+good+"}"), &Settings{}))
	for path, text := range map[string]string{
		"host":                     `"host":""`,
		"control":                  `"host":"h","availability_zone":"z","listen":"127.0.0.1:1","internal_listen":"127.0.0.1:2","control":"localhost:3"`,
		"internal_listen":          `"host":"h","availability_zone":"z","listen":"127.0.0.1:1","internal_listen":"127.0.0.1:1","control":"127.0.0.1:3"`,
		"write_timeout":            good + `,"write_timeout":"-1s"`,
		"tls.certificate":          good + `,"tls":{"ca":"x"}`,
		"upstream_tls":             good + `,"upstream_tls":{"ca":"absent"}`,
		"internal_tls.certificate": good + `,"internal_tls":{"ca":"absent"}`,
		"retries":                  good + `,"retries":3`,
	} {
		var problem *settings.FieldError
		require.ErrorAs(t, settings.Decode([]byte("{"+text+"}"), &Settings{}), &problem)
		require.Equal(t, path, problem.Path)
	}
}
