package docs

import (
	"os"
	"regexp"
	"testing"

	"github.com/stretchr/testify/require"
)

var link = regexp.MustCompile(`\]\(([a-z0-9-]+\.md)\)`)

// Guards against a page that the index misses and against links between pages
// that lead nowhere.
func TestEveryPageIsInTheIndex(t *testing.T) {
	entries, err := os.ReadDir("../../docs/operators")
	require.NoError(t, err)
	var pages []string
	linked := make(map[string][]string)
	for _, entry := range entries {
		page, err := Page(entry.Name())
		require.NoError(t, err)
		for _, match := range link.FindAllStringSubmatch(page, -1) {
			linked[entry.Name()] = append(linked[entry.Name()], match[1])
		}
		if entry.Name() != "README.md" {
			pages = append(pages, entry.Name())
		}
	}
	require.ElementsMatch(t, pages, linked["README.md"])
	for name, targets := range linked {
		require.Subset(t, pages, targets, name)
	}
}
