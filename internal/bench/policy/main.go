// Policy compares scheduling policies on paired scenarios in virtual time. Each
// scenario runs twice with the same arrivals: once under a baseline and once
// under the project's scheduler. The engines are a small simulation at the
// interface; nothing sleeps, and the same seed gives the same figures.
package main

import (
	"fmt"
	"os"

	"github.com/jessevdk/go-flags"

	"heatherbarrow/internal/bundle"
)

type options struct {
	Scenario string `long:"scenario" description:"run only this scenario"`
	Seed     uint64 `long:"seed" description:"added to each scenario's seed"`
	Plots    string `long:"plots" value-name:"DIR" description:"draw attainment over time of each scenario"`
	Trace    bool   `long:"trace" description:"print each decision of heatherbarrow to standard error"`
}

func main() {
	var opts options
	if _, err := flags.Parse(&opts); err != nil {
		os.Exit(2)
	}
	t := &tally{}
	for _, s := range scenarios() {
		if opts.Scenario == "" || opts.Scenario == s.name {
			s.seed += opts.Seed
			compareOn(s, &opts, t)
		}
	}
	if opts.Scenario == "" {
		decisionCost(t)
	}
	fmt.Printf("bench targets met=%d missed=%d\n", t.met, t.missed)
}

func compareOn(s *scenario, opts *options, t *tally) {
	snapshot := bundle.Compile(s.bundle, 1, "bench")
	arrivals := generate(s, snapshot)
	w := newWorld(s, snapshot, baseline{}, false)
	baseJobs := w.run(arrivals)
	base := summarize(s, snapshot, baseJobs)
	base.print("baseline", s)
	printCallers("baseline", s, baseJobs)
	w = newWorld(s, snapshot, heatherbarrow{}, true)
	if opts.Trace {
		w.trace = func(format string, args ...any) { fmt.Fprintf(os.Stderr, format+"\n", args...) }
	}
	ownJobs := w.run(arrivals)
	own := summarize(s, snapshot, ownJobs)
	own.print("heatherbarrow", s)
	printCallers("heatherbarrow", s, ownJobs)
	own.check(s, base, t)
	w.checkDetection(t)
	w.checkPoison(t)
	if opts.Plots != "" {
		if err := plotScenario(opts.Plots, s, snapshot, baseJobs, ownJobs); err != nil {
			fail("plot", err)
		}
	}
}

func fail(what string, err error) {
	fmt.Fprintf(os.Stderr, "%s: %v\n", what, err)
	os.Exit(1)
}
