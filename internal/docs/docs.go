// Package docs reads the operators' pages, so that tests can compare them with
// the code that they describe.
package docs

import (
	"os"
	"path/filepath"
	"regexp"
	"runtime"
	"strings"
)

// row matches the first cell of a table row that holds one name in backquotes.
var row = regexp.MustCompile("(?m)^\\| `([^`]+)` \\|")

// Page returns a page under docs/operators.
func Page(name string) (string, error) {
	_, file, _, _ := runtime.Caller(0)
	data, err := os.ReadFile(filepath.Join(filepath.Dir(file), "../../docs/operators", name))
	return string(data), err
}

// Section returns the part of a page below the heading "## title", up to the
// next such heading; empty when there is none.
func Section(page, title string) string {
	_, rest, _ := strings.Cut(page, "\n## "+title+"\n")
	section, _, _ := strings.Cut(rest, "\n## ")
	return section
}

// Names returns the names in the first column of a section's tables.
func Names(section string) []string {
	var names []string
	for _, match := range row.FindAllStringSubmatch(section, -1) {
		names = append(names, match[1])
	}
	return names
}
