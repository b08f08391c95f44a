package loadgen

import (
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"heatherbarrow/internal/outcome"
	"heatherbarrow/internal/settings"
)

func testSettings() *Settings {
	return &Settings{
		Targets: []string{"http://127.0.0.1:1"}, Duration: settings.Duration(10 * time.Second),
		Classes: []ClassLoad{{Class: "quote", Tier: 1, Rate: 2, Model: "m", Target: settings.Duration(time.Second)}},
	}
}

// Guards against requests without a complete outcome, or late ones, being
// counted as attained.
func TestSummarize(t *testing.T) {
	samples := []Sample{
		{Outcome: outcome.Completed, Whole: true, Latency: time.Second / 2, Tokens: 6},
		{Outcome: outcome.Completed, Whole: true, Latency: 2 * time.Second, Tokens: 2},
		{Outcome: outcome.Completed, Latency: time.Second / 2, Tokens: 1},
		{Outcome: outcome.Unknown, Whole: true, Tokens: 1},
		{Outcome: outcome.NotRun, Whole: true},
	}
	c := Summarize(testSettings(), samples).Classes[0]
	require.Equal(t, 5, c.Requests)
	require.InDelta(t, 0.2, c.Attainment, 1e-9)
	require.InDelta(t, 0.1, c.Goodput, 1e-9)
	require.InDelta(t, 0.2, c.WastedWork, 1e-9)
	require.Equal(t, 1, c.NotRun)
	require.Equal(t, 2, c.Unfinished)
}

// Guards against an outcome event being missed or a token being counted as one.
func TestReadStream(t *testing.T) {
	var whole, cut Sample
	readStream(strings.NewReader("data: {}\n\ndata: {}\n\ndata: [DONE]\n\nevent: outcome\ndata: {\"outcome\":\"completed\"}\n\n"), time.Now(), &whole)
	require.Equal(t, outcome.Completed, whole.Outcome)
	require.True(t, whole.Whole)
	readStream(strings.NewReader("data: {}\n\n"), time.Now(), &cut)
	require.False(t, cut.Whole)
}

// Guards against a burst that does not end.
func TestRateInBurst(t *testing.T) {
	c := ClassLoad{Rate: 2, Bursts: []Burst{{Start: settings.Duration(time.Second), Length: settings.Duration(time.Second), Factor: 3}}}
	require.InDelta(t, 2, c.rateAt(0), 1e-9)
	require.InDelta(t, 6, c.rateAt(1500*time.Millisecond), 1e-9)
	require.InDelta(t, 2, c.rateAt(2*time.Second), 1e-9)
}

// Guards against settings that would send no load or crash later.
func TestSettingsErrors(t *testing.T) {
	valid := `"targets":["http://127.0.0.1:1"],"duration":"1s"`
	cases := map[string]string{
		`{"duration":"1s"}`:                                                          "targets: must name at least one host",
		`{"targets":["x"],"duration":"1s"}`:                                          `targets[0]: "x" is not a base URL such as http://127.0.0.1:8080`,
		`{` + valid + `,"classes":[]}`:                                               "classes: must have at least one class",
		`{` + valid + `,"classes":[{"class":"a"}]}`:                                  "classes[0].rate: must be positive",
		`{` + valid + `,"classes":[{"class":"a","rate":1,"model":"m","path":"/x"}]}`: "classes[0]: needs either model or path",
	}
	for document, want := range cases {
		require.EqualError(t, settings.Decode([]byte(document), &Settings{}), want)
	}
}

// Guards against a plot that cannot be drawn from an empty class.
func TestPlot(t *testing.T) {
	path := filepath.Join(t.TempDir(), "plot.png")
	require.NoError(t, plotAttainment(testSettings(), []Sample{{Outcome: outcome.Completed, Whole: true}}, path))
	require.FileExists(t, path)
}
