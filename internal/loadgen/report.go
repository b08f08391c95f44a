package loadgen

import (
	"encoding/json"
	"fmt"
	"os"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"heatherbarrow/internal/outcome"
)

const (
	histogramMax    = int64(time.Hour / time.Microsecond)
	histogramDigits = 3
)

// Report is the result of a run.
type Report struct {
	Title   string        `json:"title,omitempty"`
	Seed    uint64        `json:"seed"`
	Seconds float64       `json:"seconds"`
	Classes []ClassReport `json:"classes"`
}

// ClassReport is the result of one class.
type ClassReport struct {
	Class       string  `json:"class"`
	Tier        int     `json:"tier"`
	Requests    int     `json:"requests"`
	Attainment  float64 `json:"attainment"`   // share of all requests completed within the target
	Goodput     float64 `json:"goodput"`      // requests per second completed within the target
	WastedWork  float64 `json:"wasted_work"`  // share of received tokens of answers that did not complete
	NotRun      int     `json:"not_run"`      // refused before running
	Unfinished  int     `json:"unfinished"`   // accepted without a complete outcome
	MedianMS    float64 `json:"median_ms"`    // of completed requests' latency
	Quantile95  float64 `json:"p95_ms"`       // of completed requests' latency
	TokensTotal int     `json:"tokens_total"` // received, completed or not
}

// String returns the line that hbload prints.
func (c *ClassReport) String() string {
	return fmt.Sprintf("class=%s tier=%d requests=%d attainment=%.3f goodput=%.2f wasted=%.4f not_run=%d unfinished=%d median_ms=%.1f p95_ms=%.1f",
		c.Class, c.Tier, c.Requests, c.Attainment, c.Goodput, c.WastedWork, c.NotRun, c.Unfinished, c.MedianMS, c.Quantile95)
}

// Summarize computes the results by class.
func Summarize(s *Settings, samples []Sample) Report {
	r := Report{Title: s.Title, Seed: s.Seed, Seconds: s.Duration.Std().Seconds()}
	for i := range s.Classes {
		r.Classes = append(r.Classes, summarizeClass(s, samples, i))
	}
	return r
}

func summarizeClass(s *Settings, samples []Sample, class int) ClassReport {
	load := &s.Classes[class]
	out := ClassReport{Class: load.Class, Tier: load.Tier}
	latencies := hdrhistogram.New(1, histogramMax, histogramDigits)
	met, wasted := 0, 0
	for i := range samples {
		sample := &samples[i]
		if sample.Class != class {
			continue
		}
		out.Requests++
		out.TokensTotal += sample.Tokens
		switch {
		case sample.Outcome == outcome.Completed && sample.Whole:
			_ = latencies.RecordValue(min(sample.Latency.Microseconds(), histogramMax))
			if sample.Latency <= load.Target.Std() {
				met++
			}
		case sample.Outcome == outcome.NotRun && sample.Whole:
			out.NotRun++
		default:
			out.Unfinished++
			wasted += sample.Tokens
		}
	}
	out.Attainment = float64(met) / float64(max(out.Requests, 1))
	out.Goodput = float64(met) / s.Duration.Std().Seconds()
	out.WastedWork = float64(wasted) / float64(max(out.TokensTotal, 1))
	out.MedianMS = float64(latencies.ValueAtQuantile(50)) / 1000
	out.Quantile95 = float64(latencies.ValueAtQuantile(95)) / 1000
	return out
}

func (r *Report) unfinished() int {
	n := 0
	for i := range r.Classes {
		n += r.Classes[i].Unfinished
	}
	return n
}

func (r *Report) writeJSON(path string) error {
	data, err := json.MarshalIndent(r, "", "  ")
	if err != nil {
		return err
	}
	return os.WriteFile(path, append(data, '\n'), 0o644)
}
