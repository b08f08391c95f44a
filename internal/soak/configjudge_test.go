package soak

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// bounds are the times within which a configuration must be in force.
type bounds struct {
	settle  time.Duration // from the end of a disturbance until the time bounds hold again
	within  time.Duration // from the confirmation of a version until it is in force
	stretch time.Duration // more of it while the store rejects some hosts
	revert  time.Duration // from an answer of a version until no older one may answer at the same process
	late    time.Duration // from the timeout of a route until the answer
}

// configRoute is where a configuration sends requests for a path prefix, and how long these may take.
type configRoute struct {
	service string
	timeout time.Duration
}

// configWrite is a version of the configuration that the operator wrote.
type configWrite struct {
	version         int64
	sent, confirmed time.Time
	routes          map[string]configRoute // by path prefix
	keys            []string
}

// outcome returns what the version says of a request: the service that runs it, or the status of its refusal.
func (w *configWrite) outcome(path, key string) string {
	route, ok := w.routes[prefixOf(path)]
	switch {
	case !ok:
		return "404"
	case !slices.Contains(w.keys, key):
		return "401"
	}
	return route.service
}

// configQuestion is a request that was sent straight to a host.
type configQuestion struct {
	host        string
	boot        int64 // of the host's process, 0 if it was stopped or started meanwhile
	path, key   string
	sent, ended time.Time
	status      int    // 0 without an answer
	service     string // that ran it, "" if none is known
	held        bool   // the replica does not answer before the route's timeout
}

// outcome returns the outcome in the terms of configWrite.outcome, or "" if it says nothing of the configuration.
func (q *configQuestion) outcome() string {
	switch {
	case q.service != "":
		return q.service
	case q.status == 401 || q.status == 403:
		return "401"
	case q.status == 404:
		return "404"
	}
	return ""
}

// disturbance is what the rig did to a host, or to the store if host is "".
type disturbance struct {
	host        string
	from, until time.Time
	outage      bool // of the store: down, slow, answers lost, or restored; otherwise it rejects some hosts
	slowed      bool // the host runs, slowly
}

// configLedger is what the operator, the callers and the rig did in a run.
type configLedger struct {
	writes       []configWrite
	questions    []configQuestion
	disturbances []disturbance
	first        map[string]bool      // path prefixes of the first version
	newServices  map[string]time.Time // when there were a route and a replica, by path prefix
}

// bound returns the time within which a version must be in force for a request to a host, and false if there is none.
func (l *configLedger) bound(q *configQuestion, b bounds) (time.Duration, bool) {
	within := b.within
	for _, d := range l.disturbances {
		if q.ended.Before(d.from) || q.sent.After(d.until.Add(b.settle)) {
			continue
		}
		switch {
		case d.host == q.host, d.host == "" && d.outage:
			return 0, false
		case d.host == "":
			within = b.within + b.stretch
		}
	}
	return within, true
}

// seen is the newest version whose effect a process has shown.
type seen struct {
	index int // in configLedger.writes
	at    time.Time
}

// verdict is the outcome of a run.
type verdict struct {
	cases  []string      // in which a host broke a bound
	served []string      // how many requests were served on which routes where nothing is disturbed
	judged int           // questions that say something of the configuration, to hosts with bounds
	stale  time.Duration // the longest time after the confirmation of a version in which an undisturbed host acted on the one before
}

// allowed returns the first and the last version that may decide a request.
func (l *configLedger) allowed(q *configQuestion, b bounds) (oldest, latest int, within time.Duration, bounded bool) {
	within, bounded = l.bound(q, b)
	for k := range l.writes {
		w := &l.writes[k]
		if bounded && !w.confirmed.IsZero() && q.sent.Sub(w.confirmed) > within {
			oldest = k
		}
		if !w.sent.After(q.ended) {
			latest = k
		}
	}
	return oldest, latest, within, bounded
}

// judge judges all questions.
func (l *configLedger) judge(b bounds) (v verdict) {
	slices.SortFunc(l.questions, func(a, c configQuestion) int { return a.ended.Compare(c.ended) })
	shown := make(map[string][]seen) // by host and boot
	for i := range l.questions {
		q := &l.questions[i]
		outcome := q.outcome()
		if outcome == "" {
			continue
		}
		oldest, latest, within, bounded := l.allowed(q, b)
		process := fmt.Sprintf("%s/%d", q.host, q.boot)
		reverted, first, last := 0, -1, -1 // the version that the process must not go back behind; the first and the last that fit
		for _, s := range shown[process] {
			if q.boot != 0 && q.sent.Sub(s.at) > l.revert(q, b) {
				reverted = max(reverted, s.index)
			}
		}
		for k := range l.writes[:latest+1] {
			if l.writes[k].outcome(q.path, q.key) == outcome {
				last = k
				if first < 0 {
					first = k
				}
			}
		}
		if bounded {
			v.judged++
			if next := last + 1; within == b.within && first >= 0 && next <= latest {
				v.stale = max(v.stale, q.sent.Sub(l.writes[next].confirmed))
			}
		}
		switch {
		case first < 0:
			v.cases = append(v.cases, l.describe(q, "no version says so", latest))
		case last < oldest:
			v.cases = append(v.cases, l.describe(q, "late", oldest))
		}
		if first >= 0 && last < reverted {
			v.cases = append(v.cases, l.describe(q, "went back", reverted))
		}
		if known := shown[process]; q.boot != 0 && first > 0 && (len(known) == 0 || known[len(known)-1].index < first) {
			shown[process] = append(known, seen{first, q.ended}) // later versions may say the same
		}
	}
	v.cases = append(append(v.cases, l.judgeTimeouts(b)...), l.judgeAdded(&v, b, "added routes", func(q *configQuestion) bool {
		_, ok := l.newServices[prefixOf(q.path)]
		return !ok
	})...)
	v.cases = append(v.cases, l.judgeAdded(&v, b, "routes to new services", func(q *configQuestion) bool {
		ready, ok := l.newServices[prefixOf(q.path)]
		return ok && q.sent.Sub(ready) > b.settle
	})...)
	return v
}

// revert returns the time after which a process must not go back.
func (l *configLedger) revert(q *configQuestion, b bounds) time.Duration {
	const slowedFactor = 8
	for _, d := range l.disturbances {
		if d.slowed && d.host == q.host && !q.ended.Before(d.from) && !q.sent.After(d.until.Add(b.settle)) {
			return slowedFactor * b.revert
		}
	}
	return b.revert
}

func (l *configLedger) describe(q *configQuestion, what string, version int) string {
	w := &l.writes[version]
	return fmt.Sprintf("%s: %s of process %d at %s: %s with %s got %q, version %d of %s says %q", what, q.host, q.boot, clock(q.sent),
		q.path, q.key, q.outcome(), w.version, clock(w.confirmed), w.outcome(q.path, q.key))
}

func clock(t time.Time) string { return t.Format("05.000") }

// judgeTimeouts checks that requests whose replica does not answer are answered soon after the timeout of their route.
func (l *configLedger) judgeTimeouts(b bounds) []string {
	const fewest, share = 8, 4
	held, late := 0, 0
	for i := range l.questions {
		q := &l.questions[i]
		oldest, latest, _, bounded := l.allowed(q, b)
		if !q.held || q.status == 503 || !bounded {
			continue
		}
		longest := time.Duration(0)
		for _, w := range l.writes[oldest : latest+1] {
			longest = max(longest, w.routes[prefixOf(q.path)].timeout)
		}
		held++
		if q.ended.Sub(q.sent) > longest+b.late {
			late++
		}
	}
	if late >= fewest && late*share > held {
		return []string{fmt.Sprintf("%d of %d requests were unanswered %v after the timeout of their route", late, held, b.late)}
	}
	return nil
}

// judgeAdded checks that routes that were added and are meant are served about as often as the first ones where nothing is
// disturbed.
func (l *configLedger) judgeAdded(v *verdict, b bounds, what string, meant func(*configQuestion) bool) []string {
	const fewest, share = 20, 4
	var asked, served [2]int // of the first routes, of added ones
	for i := range l.questions {
		q := &l.questions[i]
		oldest, latest, within, bounded := l.allowed(q, b)
		isThere := func(w configWrite) bool { return !strings.HasPrefix(w.outcome(q.path, q.key), "40") }
		if q.held || !bounded || within > b.within || slices.ContainsFunc(l.writes[oldest:latest+1], func(w configWrite) bool { return !isThere(w) }) {
			continue
		}
		kind := 1
		if l.first[prefixOf(q.path)] {
			kind = 0
		} else if !meant(q) {
			continue
		}
		asked[kind]++
		if q.status == 200 {
			served[kind]++
		}
	}
	v.served = append(v.served, fmt.Sprintf("%d of %d requests on %s, %d of %d on the first ones", served[1], asked[1], what, served[0], asked[0]))
	if asked[1] >= fewest && served[1]*asked[0]*share < served[0]*asked[1] {
		return []string{fmt.Sprintf("%d of %d requests on %s were served, %d of %d on the first ones", served[1], asked[1], what, served[0], asked[0])}
	}
	return nil
}

func prefixOf(path string) string { return path[:strings.LastIndex(path, "/")+1] }

var testBounds = bounds{settle: 3 * time.Second, within: 2 * time.Second, stretch: 5 * time.Second, revert: 250 * time.Millisecond, late: 500 * time.Millisecond}

// judgeLedger returns the start of a ledger whose second version adds a route and moves, and whose third removes a
// key, 10 and 20 s later.
func judgeLedger() (*configLedger, time.Time) {
	start := time.Unix(1_000_000, 0)
	write := func(version int64, after time.Duration, service string, added bool, keys ...string) configWrite {
		w := configWrite{version: version, sent: start.Add(after - time.Millisecond), confirmed: start.Add(after), keys: keys}
		w.routes = map[string]configRoute{"/first/": {"pool", time.Second}, "/moved/": {service, time.Second}, "/held/": {"pool", time.Second}}
		if added {
			w.routes["/added/"] = configRoute{"pool", time.Second}
		}
		return w
	}
	return &configLedger{first: map[string]bool{"/first/": true}, writes: []configWrite{
		write(1, 0, "pool", false, "k1", "k2"), write(4, 10*time.Second, "books", true, "k1", "k2"), write(9, 20*time.Second, "books", true, "k1"),
	}}, start
}

// Guards against a judge of the configuration that misses a broken bound by a millisecond, or reports one that is kept.
func TestConfigJudge(t *testing.T) {
	const ms = time.Millisecond
	ask := func(path, key string, at time.Duration, status int, service string) configQuestion {
		_, start := judgeLedger()
		return configQuestion{host: "h0", boot: 1, path: path, key: key, sent: start.Add(at), ended: start.Add(at + ms), status: status, service: service}
	}
	_, start := judgeLedger()
	trouble := func(host string, from, until time.Duration, outage, slowed bool) disturbance {
		return disturbance{host, start.Add(from), start.Add(until), outage, slowed}
	}
	many := func(n int, q configQuestion) (out []configQuestion) {
		for range n {
			out = append(out, q)
		}
		return out
	}
	held := func(took time.Duration) configQuestion {
		q := ask("/held/x", "k1", 5*time.Second, 504, "")
		q.held, q.ended = true, q.sent.Add(took)
		return q
	}
	for name, c := range map[string]struct {
		questions    []configQuestion
		disturbances []disturbance
		want         string
	}{
		"added in time":          {questions: []configQuestion{ask("/added/x", "k1", 12000*ms, 404, "")}},
		"added late":             {questions: []configQuestion{ask("/added/x", "k1", 12001*ms, 404, "")}, want: "late"},
		"503 says nothing":       {questions: []configQuestion{ask("/added/x", "k1", 15000*ms, 503, "")}},
		"moved in time":          {questions: []configQuestion{ask("/moved/x", "k1", 12000*ms, 200, "pool")}},
		"moved late":             {questions: []configQuestion{ask("/moved/x", "k1", 12001*ms, 200, "pool")}, want: "late"},
		"key in time":            {questions: []configQuestion{ask("/first/x", "k2", 22000*ms, 200, "pool")}},
		"key late":               {questions: []configQuestion{ask("/first/x", "k2", 22001*ms, 200, "pool")}, want: "late"},
		"key refused too soon":   {questions: []configQuestion{ask("/first/x", "k2", 15000*ms, 401, "")}, want: "no version"},
		"unknown route":          {questions: []configQuestion{ask("/never/x", "k1", 5000*ms, 404, "")}},
		"unknown route served":   {questions: []configQuestion{ask("/never/x", "k1", 5000*ms, 200, "pool")}, want: "no version"},
		"wrong service":          {questions: []configQuestion{ask("/first/x", "k1", 5000*ms, 200, "books")}, want: "no version"},
		"host settles":           {questions: []configQuestion{ask("/added/x", "k1", 15999*ms, 404, "")}, disturbances: []disturbance{trouble("h0", 9*time.Second, 13*time.Second, false, false)}},
		"host has settled":       {questions: []configQuestion{ask("/added/x", "k1", 16001*ms, 404, "")}, disturbances: []disturbance{trouble("h0", 9*time.Second, 13*time.Second, false, false)}, want: "late"},
		"other host":             {questions: []configQuestion{ask("/added/x", "k1", 13000*ms, 404, "")}, disturbances: []disturbance{trouble("h1", 9*time.Second, 13*time.Second, false, false)}, want: "late"},
		"store out":              {questions: []configQuestion{ask("/added/x", "k1", 19000*ms, 404, "")}, disturbances: []disturbance{trouble("", 9*time.Second, 18*time.Second, true, false)}},
		"store rejects":          {questions: []configQuestion{ask("/added/x", "k1", 17000*ms, 404, "")}, disturbances: []disturbance{trouble("", 9*time.Second, 18*time.Second, false, false)}},
		"store rejects, late":    {questions: []configQuestion{ask("/added/x", "k1", 17001*ms, 404, "")}, disturbances: []disturbance{trouble("", 9*time.Second, 18*time.Second, false, false)}, want: "late"},
		"back in time":           {questions: []configQuestion{ask("/moved/x", "k1", 10100*ms, 200, "books"), ask("/added/x", "k1", 10351*ms, 404, "")}},
		"back":                   {questions: []configQuestion{ask("/moved/x", "k1", 10100*ms, 200, "books"), ask("/added/x", "k1", 10352*ms, 404, "")}, want: "went back"},
		"back, out of touch":     {questions: []configQuestion{ask("/moved/x", "k1", 10100*ms, 200, "books"), ask("/added/x", "k1", 10352*ms, 404, "")}, disturbances: []disturbance{trouble("h0", 0, time.Minute, false, false)}, want: "went back"},
		"back, slowed":           {questions: []configQuestion{ask("/moved/x", "k1", 10100*ms, 200, "books"), ask("/added/x", "k1", 11900*ms, 404, "")}, disturbances: []disturbance{trouble("h0", 0, time.Minute, false, true)}},
		"held":                   {questions: many(8, held(1500*ms))},
		"held too long":          {questions: many(8, held(1501*ms)), want: "unanswered"},
		"a few held too long":    {questions: many(7, held(1501*ms))},
		"a quarter held so long": {questions: append(many(8, held(1501*ms)), many(24, held(time.Second))...)},
		"added served a quarter": {questions: slices.Concat(many(40, ask("/first/x", "k1", 15*time.Second, 200, "pool")), many(15, ask("/added/x", "k1", 15*time.Second, 503, "")), many(5, ask("/added/x", "k1", 15*time.Second, 200, "pool")))},
		"added hardly served":    {questions: slices.Concat(many(40, ask("/first/x", "k1", 15*time.Second, 200, "pool")), many(16, ask("/added/x", "k1", 15*time.Second, 503, "")), many(4, ask("/added/x", "k1", 15*time.Second, 200, "pool"))), want: "on added routes"},
	} {
		l, _ := judgeLedger()
		l.questions, l.disturbances = c.questions, c.disturbances
		v := l.judge(testBounds)
		if c.want == "" {
			assert.Empty(t, v.cases, name)
		} else if assert.Len(t, v.cases, 1, name) {
			assert.Contains(t, v.cases[0], c.want, name)
		}
	}
}
