package docs

import (
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

var errorCode = regexp.MustCompile(`(?:refuse|refuseBody|fail|lookupError)\([^"]*"([a-z_]+)"|^\t\t\{[a-z.A-Z]+, "([a-z_]+)"\},$|Reason[A-Za-z]+ += "([a-z_]+)"`)

// Guards against an error code that callers meet and cannot look up.
func TestEveryErrorCodeIsExplained(t *testing.T) {
	page, err := os.ReadFile("../../docs/callers.md")
	require.NoError(t, err)
	files, err := filepath.Glob("../router/*.go")
	require.NoError(t, err)
	found := 0
	for _, file := range append(files, "../scheduling/types.go", "../scheduler/statement.go") {
		if strings.HasSuffix(file, "_test.go") {
			continue
		}
		source, err := os.ReadFile(file)
		require.NoError(t, err)
		for line := range strings.Lines(string(source)) {
			for _, match := range errorCode.FindAllStringSubmatch(strings.TrimRight(line, "\n"), -1) {
				code := match[1] + match[2] + match[3]
				found++
				if code != "caller_gone" && code != "preempted" { // no caller sees these
					require.Contains(t, string(page), "`"+code+"`", file)
				}
			}
		}
	}
	require.Greater(t, found, 30)
}
