package main

import (
	"path/filepath"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"

	"heatherbarrow/internal/bundle"
)

const (
	plotBuckets = 20
	plotWidth   = 16 * vg.Centimeter
	plotHeight  = 9 * vg.Centimeter
)

// plotScenario draws each class's attainment over the time of arrival into
// dir/NAME.png: heatherbarrow with a full line, the baseline beside it dashed.
func plotScenario(dir string, s *scenario, snapshot *bundle.Snapshot, base, own []*job) error {
	p := plot.New()
	p.Title.Text = s.name
	p.X.Label.Text = "time of arrival (s)"
	p.Y.Label.Text = "attainment"
	p.Y.Min, p.Y.Max = 0, 1.05
	p.Legend.Left = true
	p.Legend.YOffs = vg.Centimeter
	for class := range snapshot.Bundle.Classes {
		for i, jobs := range [][]*job{own, base} {
			points := attainmentOverTime(s, jobs, class)
			if len(points) == 0 {
				continue
			}
			line, err := plotter.NewLine(points)
			if err != nil {
				return err
			}
			line.Color = plotutil.Color(class)
			line.Width = vg.Points(1.5)
			name := snapshot.Bundle.Classes[class].Name
			if i == 1 {
				line.Dashes = plotutil.Dashes(2)
				name += " (baseline)"
			}
			p.Add(line)
			p.Legend.Add(name, line)
		}
	}
	return p.Save(plotWidth, plotHeight, filepath.Join(dir, s.name+".png"))
}

func attainmentOverTime(s *scenario, jobs []*job, class int) plotter.XYs {
	bucket := s.duration / plotBuckets
	var requests, met [plotBuckets]int
	for _, j := range jobs {
		if j.class != class || j.poison {
			continue
		}
		n := min(int(j.arrived.Sub(epoch)/bucket), plotBuckets-1)
		requests[n]++
		if j.met() {
			met[n]++
		}
	}
	points := plotter.XYs{}
	for n := range requests {
		if requests[n] > 0 {
			points = append(points, plotter.XY{X: (float64(n) + 0.5) * bucket.Seconds(), Y: ratio(met[n], requests[n])})
		}
	}
	return points
}
