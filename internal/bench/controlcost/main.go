// Command controlcost measures what shared state costs: it runs several controls
// in one process over loopback, with the platform stand-in, and prints CPU,
// memory, traffic and delays per host at several sizes, with their slopes.
package main

import (
	"fmt"
	"os"
	"runtime/pprof"

	"github.com/jessevdk/go-flags"
)

// options choose one size instead of the usual series.
type options struct {
	Hosts    int `long:"hosts" description:"measure one size with this many hosts"`
	Zones    int `long:"zones" default:"3"`
	Replicas int `long:"replicas" default:"96"`
	Teams    int `long:"teams" default:"200"`
	Changes  int `long:"changes" default:"0" description:"bundle changes in the measured time"`
	Crashes  int `long:"crashes" default:"0" description:"crashes of a replica in the measured time, with --hosts"`
	Settle   int `long:"settle" default:"2" description:"seconds before measuring"`
	Measure  int `long:"measure" default:"4" description:"seconds measured"`

	Profile string `long:"profile" value-name:"FILE" description:"write a CPU profile"`
}

func main() {
	var o options
	if _, err := flags.Parse(&o); err != nil {
		os.Exit(2)
	}
	stop, err := startProfile(o.Profile)
	if err == nil {
		err = run(&o)
		stop()
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, "controlcost:", err)
		os.Exit(1)
	}
}

func startProfile(path string) (stop func(), err error) {
	if path == "" {
		return func() {}, nil
	}
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return pprof.StopCPUProfile, pprof.StartCPUProfile(f)
}

func run(o *options) error {
	if o.Hosts > 0 {
		r, err := measure(size{o.Hosts, o.Zones, o.Replicas, o.Teams, o.Changes, o.Crashes}, o)
		if err != nil {
			return err
		}
		r.print(fmt.Sprintf("at_%d_hosts", o.Hosts))
		return nil
	}
	base := size{hosts: 16, zones: o.Zones, replicas: o.Replicas, teams: o.Teams, changes: o.Changes}
	known := make(map[size]*result)
	for _, a := range axes() {
		if err := a.measure(base, o, known); err != nil {
			return err
		}
	}
	return nil
}

// axis is a series of sizes that differ in one quantity.
type axis struct {
	name   string
	values []int
	set    func(s *size, value int)
}

func axes() []axis {
	return []axis{
		{"hosts", []int{4, 16, 48}, func(s *size, n int) { s.hosts = n }},
		{"replicas", []int{24, 96, 288}, func(s *size, n int) { s.replicas = n }},
		{"teams", []int{200, 1000, 4000}, func(s *size, n int) { s.teams = n }},
		{"changes", []int{0, 4, 16}, func(s *size, n int) { s.changes = n }},
	}
}

func (a *axis) measure(base size, o *options, known map[size]*result) error {
	var x []float64
	var results []*result
	for _, value := range a.values {
		s := base
		a.set(&s, value)
		if known[s] == nil {
			r, err := measure(s, o)
			if err != nil {
				return err
			}
			known[s] = r
		}
		known[s].print(fmt.Sprintf("at_%d_%s", value, a.name))
		x = append(x, float64(value))
		results = append(results, known[s])
	}
	for i, m := range results[0].metrics() {
		y := make([]float64, len(results))
		for j, r := range results {
			y[j] = r.metrics()[i].value
		}
		fmt.Printf("bench metric=control_%s_slope_by_%s value=%.5g unit=%s_per_unit\n", m.name, a.name, slope(x, y), m.unit)
	}
	return nil
}

// slope is the least-squares slope of y over x.
func slope(x, y []float64) float64 {
	var meanX, meanY float64
	for i := range x {
		meanX += x[i] / float64(len(x))
		meanY += y[i] / float64(len(y))
	}
	var above, below float64
	for i := range x {
		above += (x[i] - meanX) * (y[i] - meanY)
		below += (x[i] - meanX) * (x[i] - meanX)
	}
	return above / below
}
