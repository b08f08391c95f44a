package cli

import (
	"runtime/debug"
	"testing"

	"github.com/stretchr/testify/assert"
)

// Guards against programs that do not tell which source they were built from, so that a report from a host cannot be traced to it.
func TestBuildIsToldWithoutAVersionFromTheLinker(t *testing.T) {
	settings := func(revision, modified string) *debug.BuildInfo {
		return &debug.BuildInfo{Settings: []debug.BuildSetting{{Key: "vcs.revision", Value: revision}, {Key: "vcs.modified", Value: modified}}}
	}
	for _, c := range []struct {
		version string
		info    *debug.BuildInfo
		want    string
	}{
		{"v3-2-gb6fae82", settings("382ce23f", "false"), "v3-2-gb6fae82"},
		{unknownVersion, settings("382ce23f", "false"), "382ce23f"},
		{unknownVersion, settings("382ce23f", "true"), "382ce23f-dirty"},
		{unknownVersion, &debug.BuildInfo{}, unknownVersion},
		{unknownVersion, nil, unknownVersion},
	} {
		assert.Equal(t, c.want, buildOf(c.version, c.info))
	}
}
