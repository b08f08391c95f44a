package main

import (
	"os"
	"path/filepath"
	"time"

	"heatherbarrow/internal/bundle"
)

// deployment loads an example's bundle and gives it today's number of replicas.
func deployment(name string, models int, zones []string, mixes ...mix) *scenario {
	data, err := os.ReadFile(filepath.Join("examples", name, "bundle.json"))
	if err != nil {
		fail("read the example's bundle (run from the repository's root)", err)
	}
	b, err := bundle.Parse(data)
	if err != nil {
		fail("parse the example's bundle", err)
	}
	for i := range b.Upstreams {
		u := &b.Upstreams[i]
		if u.Kind == bundle.KindEngine {
			u.Replicas = replicasIn(models, "e", zones)
		}
	}
	var classes []string
	for i := range b.Classes {
		classes = append(classes, b.Classes[i].Name)
	}
	b.Teams = teams(10, classes...)
	return &scenario{
		name: name, seed: 11, duration: duration, hosts: 4, zones: zones, lag: reportLag, bundle: b,
		mixes: mixes, topAttainment: topTarget, maxWasted: wasted,
	}
}

func caceres() *scenario {
	comparison := compare(0.35)
	comparison.class = "catalogue-comparison"
	comparison.burst = 6
	comparison.burstFrom, comparison.burstTo = 12*time.Second, 18*time.Second
	quote := chat(0.35)
	quote.class = "quote"
	return deployment("caceres", 20, []string{"ate", "callao", "surco"}, quote, comparison,
		mix{class: "stock-lookup", load: 0.3, work: 20 * time.Millisecond},
		mix{class: "order", load: 0.1, work: 60 * time.Millisecond})
}

func kitanomori() *scenario {
	minutes := draft(0.5)
	wording := chat(0.25)
	wording.class = "wording"
	wording.burst = 2
	wording.burstFrom, wording.burstTo = 12*time.Second, 18*time.Second
	return deployment("kitanomori", 10, []string{"sapporo", "asahikawa", "hakodate"}, wording, minutes,
		mix{class: "record-lookup", load: 0.3, work: 20 * time.Millisecond},
		mix{class: "filing", load: 0.1, work: 60 * time.Millisecond})
}
