package loadgen

import (
	"time"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"

	"heatherbarrow/internal/outcome"
)

const (
	plotBuckets = 20
	plotWidth   = 16 * vg.Centimeter
	plotHeight  = 9 * vg.Centimeter
)

// plotAttainment draws each class's attainment over the time of arrival.
func plotAttainment(s *Settings, samples []Sample, path string) error {
	p := plot.New()
	p.Title.Text = s.Title
	p.X.Label.Text = "time of arrival (s)"
	p.Y.Label.Text = "attainment"
	p.Y.Min, p.Y.Max = 0, 1.05
	p.Legend.Left = true
	for i := range s.Classes {
		line, err := plotter.NewLine(attainmentOverTime(s, samples, i))
		if err != nil {
			return err
		}
		line.Color = plotutil.Color(i)
		line.Dashes = plotutil.Dashes(i)
		p.Add(line)
		p.Legend.Add(s.Classes[i].Class, line)
	}
	return p.Save(plotWidth, plotHeight, path)
}

func attainmentOverTime(s *Settings, samples []Sample, class int) plotter.XYs {
	bucket := max(s.Duration.Std()/plotBuckets, time.Millisecond)
	total := make([]float64, plotBuckets)
	met := make([]float64, plotBuckets)
	for i := range samples {
		sample := &samples[i]
		if sample.Class != class {
			continue
		}
		n := min(int(sample.Start/bucket), plotBuckets-1)
		total[n]++
		if sample.Whole && sample.Outcome == outcome.Completed && sample.Latency <= s.Classes[class].Target.Std() {
			met[n]++
		}
	}
	points := plotter.XYs{}
	for n := range total {
		if total[n] > 0 {
			points = append(points, plotter.XY{X: (float64(n) + 0.5) * bucket.Seconds(), Y: met[n] / total[n]})
		}
	}
	return points
}
