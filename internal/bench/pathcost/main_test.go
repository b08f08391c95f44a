package main

import (
	"bytes"
	"regexp"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a benchmark that no longer runs, or prints lines that are not
// of the agreed form.
func TestSmallRun(t *testing.T) {
	var out bytes.Buffer
	require.NoError(t, run(&out, sizes{latencyPairs: 20, requests: 20, streams: 5, tokens: 5, interval: time.Millisecond, openStreams: []int{20}}))
	lines := bytes.Split(bytes.TrimSpace(out.Bytes()), []byte("\n"))
	require.Len(t, lines, 10)
	form := regexp.MustCompile(`^bench metric=[a-z0-9_]+ value=\S+ unit=\S+$`)
	for _, line := range lines {
		require.Regexp(t, form, string(line))
	}
}
