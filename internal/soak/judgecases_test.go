package soak

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// at returns a time of the small ledgers below.
func at(since time.Duration) time.Time { return time.Unix(1_000_000, 0).Add(since) }

// arrive returns arrivals of a request at a replica, all at once.
func arrive(n int, id, replica string, since time.Duration) []arrival {
	return slices.Repeat([]arrival{{id: id, replica: replica, born: 1, at: at(since), ran: true}}, n)
}

// arriveEach returns the arrivals of so many requests, a millisecond apart.
func arriveEach(n int, kind string, from time.Duration) (all []arrival) {
	for i := range n {
		all = append(all, arrive(1, fmt.Sprintf("%s-h0-%d", kind, i), "r0", from+time.Duration(i)*time.Millisecond)...)
	}
	return all
}

const ms = time.Millisecond

// Guards against a judge that misses a rule broken by one request, event or millisecond, or reports one that is kept by as much.
func TestJudges(t *testing.T) {
	answers := func(l *ledger) []string { cases, _ := l.judgeAnswers(); return cases }
	budget := func(l *ledger) []string { cases, _ := l.judgeBudget(); return cases }
	leaving := func(l *ledger) []string { cases, _ := l.judgeLeaving(); return cases }
	limit := func(l *ledger) []string {
		return l.judgeLimit(&statedLimit{replica: &replica{id: "r0"}, perSecond: 1, since: at(0)})
	}
	one := func(r result) []result { return []result{r} }
	ok := func(kind, id, body string, complete bool) []result {
		return one(result{id: id, kind: kind, host: "h0", sent: at(0), status: http.StatusOK, body: body, complete: complete, sealed: true})
	}
	status := func(id string, n int) []result {
		return one(result{id: id, kind: "order", host: "h0", sent: at(0), status: n, complete: true})
	}
	stream := wholeAnswer(&result{kind: "stream", id: "s-h0-1"})
	last := strings.LastIndex(stream, "id: ")
	faults := func(name string, from, until time.Duration) map[string][]trouble {
		return map[string][]trouble{name: {{at(from), at(until)}}}
	}
	// 50 requests, so that 40 + 0.2 x 50 repeats are allowed, and a request whose first arrival is no repeat.
	fifty := slices.Repeat(ok("lookup", "l-h0-0", "", false), 50)
	// r0 of process 1 says that it leaves, and a request that is sent some time after the end of that answer reaches it.
	left := func(gap time.Duration, born int64) *ledger {
		says := arrive(1, "l-h0-1", "r0", 0)
		says[0].leaving = true
		next := arrive(1, "l-h0-2", "r0", gap+ms)
		next[0].born = born
		results := append(ok("lookup", "l-h0-1", "", true), ok("lookup", "l-h0-2", "", true)...)
		results[0].ended, results[1].sent = at(0), at(gap)
		return &ledger{arrivals: append(says, next...), results: results}
	}
	// r0 wants 3 s of rest from h0, and gets so many requests from a host after a while.
	rests := func(n int, host string, after time.Duration) *ledger {
		asks := arrive(1, "l-h0-1", "r0", 0)
		asks[0].ran, asks[0].rest = false, 3*time.Second
		return &ledger{arrivals: append(asks, arrive(n, "l-"+host+"-2", "r0", after)...)}
	}
	// So many requests run on so many replicas each.
	over := func(kind string, requests, replicas int) (l *ledger) {
		l = &ledger{}
		for i := range requests * replicas {
			a := arrive(1, fmt.Sprintf("%s-h0-%d", kind, i%requests), fmt.Sprintf("r%d", i/requests), 0)
			a[0].once = kind == "order"
			l.arrivals = append(l.arrivals, a...)
		}
		return l
	}
	orders := func(runs int) *ledger { return over("order", 1, runs) }
	// r0 drains, and a request that is sent some time after reaches it.
	drains := func(gap time.Duration, born int64) *ledger {
		return &ledger{drains: []drain{{"r0", born, at(0)}}, sent: map[string]asked{"l-h0-1": {at: at(gap)}}, arrivals: arrive(1, "l-h0-1", "r0", gap+ms)}
	}
	runAs := func(as string) *ledger {
		run := arrive(1, "l-h0-1", "r0", 0)
		run[0].asked = as
		return &ledger{arrivals: run, sent: map[string]asked{"l-h0-1": {what: "a"}}}
	}
	// So many arrivals a second after the caller sent the request with 5 s, and others that are handed 4 s.
	handed := func(n int, left time.Duration, others int) *ledger {
		all := arrive(n+others, "l-h0-1", "r0", time.Second)
		for i := range all {
			if all[i].left = 4 * time.Second; i < n {
				all[i].left = left
			}
		}
		return &ledger{arrivals: all, sent: map[string]asked{"l-h0-1": {until: at(5 * time.Second)}}}
	}
	with := func(l *ledger, troubles map[string][]trouble) *ledger {
		l.troubles = troubles
		return l
	}
	for name, c := range map[string]struct {
		judge  func(*ledger) []string
		ledger *ledger
		want   string
	}{
		"TWICE: once":                 {(*ledger).judgeTwice, orders(1), ""},
		"TWICE: twice":                {(*ledger).judgeTwice, orders(2), "order-h0-0 ran 2 times"},
		"TWICE: twice, idempotent":    {(*ledger).judgeTwice, over("lookup", 1, 2), ""},
		"REFUSED: run, 408":           {answers, &ledger{results: status("o-h0-1", 408), arrivals: arrive(1, "o-h0-1", "r0", 0)}, "was refused as not run"},
		"DENIED: 502":                 {answers, &ledger{results: status("o-h0-1", 502)}, ""},
		"DENIED: 400":                 {answers, &ledger{results: status("o-h0-1", 400)}, "got 400"},
		"MIXED: success, no seal":     {answers, &ledger{results: one(result{id: "l-h0-1", status: 200, body: answerTo("l-h0-1")})}, "has status 200 and a replica's seal: false"},
		"MIXED: failure of a replica": {answers, &ledger{results: one(result{id: "l-h0-1", status: 500, sealed: true})}, ""},
		"MIXED: another failure":      {answers, &ledger{results: one(result{id: "l-h0-1", status: 502, sealed: true})}, "has status 502 and a replica's seal: true"},
		"REFUSED: not run":            {answers, &ledger{results: status("o-h0-1", 503), arrivals: arrive(1, "o-h0-2", "r0", 0)}, ""},
		"REFUSED: run":                {answers, &ledger{results: status("o-h0-1", 503), arrivals: arrive(1, "o-h0-1", "r0", 0)}, "was refused as not run"},
		"MIXED: whole":                {answers, &ledger{results: ok("stream", "s-h0-1", stream, true), arrivals: arrive(1, "s-h0-1", "r0", 0)}, ""},
		"MIXED: a byte short":         {answers, &ledger{results: ok("stream", "s-h0-1", stream[:len(stream)-1], true), arrivals: arrive(1, "s-h0-1", "r0", 0)}, "other bytes"},
		"MIXED: an event short":       {answers, &ledger{results: ok("stream", "s-h0-1", stream[:last], true), arrivals: arrive(1, "s-h0-1", "r0", 0)}, "other bytes"},
		"MIXED: broken off":           {answers, &ledger{results: ok("stream", "s-h0-1", stream[:last], false)}, ""},
		"MIXED: broken, another byte": {answers, &ledger{results: ok("stream", "s-h0-1", stream[:last]+"x", false)}, "broke off with other bytes"},
		"MIXED: another's answer":     {answers, &ledger{results: ok("lookup", "l-h0-1", answerTo("l-h0-2"), true), arrivals: arrive(1, "l-h0-1", "r0", 0)}, "other bytes"},
		"MIXED: never run":            {answers, &ledger{results: ok("lookup", "l-h0-1", answerTo("l-h0-1"), true)}, "never ran"},

		"BUDGET: kept":             {budget, &ledger{results: fifty, arrivals: arrive(51, "l-h0-1", "r0", 5*time.Second)}, ""},
		"BUDGET: one more":         {budget, &ledger{results: fifty, arrivals: arrive(52, "l-h0-1", "r0", 5*time.Second)}, "51 repeats"},
		"BUDGET: two windows":      {budget, &ledger{results: fifty, arrivals: append(arrive(41, "l-h0-1", "r0", 0), arrive(10, "l-h0-1", "r0", budgetWindow+ms)...)}, ""},
		"BUDGET: within a window":  {budget, &ledger{results: fifty, arrivals: append(arrive(42, "l-h0-1", "r0", 0), arrive(10, "l-h0-1", "r0", budgetWindow-ms)...)}, "51 repeats"},
		"BUDGET: requests before":  {budget, &ledger{results: fifty, arrivals: arrive(42, "l-h0-1", "r0", budgetWindow+ms)}, "41 repeats"},
		"BUDGET: first arrivals":   {budget, &ledger{results: fifty, arrivals: arriveEach(100, "l", 0)}, ""},
		"BUDGET: two in rest":      {(*ledger).judgeRests, rests(2, "h0", 501*ms), ""},
		"BUDGET: three in rest":    {(*ledger).judgeRests, rests(3, "h0", 501*ms), "3 requests of h0 to r0"},
		"BUDGET: on their way":     {(*ledger).judgeRests, rests(3, "h0", 500*ms), ""},
		"BUDGET: after the rest":   {(*ledger).judgeRests, rests(3, "h0", 3*time.Second), ""},
		"BUDGET: of another host":  {(*ledger).judgeRests, rests(3, "h1", 501*ms), ""},
		"BUDGET: paused in rest":   {(*ledger).judgeRests, with(rests(3, "h0", 501*ms), faults("h0", time.Second, 2*time.Second)), ""},
		"BUDGET: other host pause": {(*ledger).judgeRests, with(rests(3, "h0", 501*ms), faults("h1", time.Second, 2*time.Second)), "3 requests of h0 to r0"},

		"BUDGET: three over":      {(*ledger).judgeRuns, over("order", 3, 2), ""},
		"BUDGET: four over":       {(*ledger).judgeRuns, over("order", 4, 2), "4 requests ran on more replicas"},
		"BUDGET: on two":          {(*ledger).judgeRuns, over("lookup", 4, 2), ""},
		"BUDGET: on three":        {(*ledger).judgeRuns, over("lookup", 4, 3), "4 requests ran on more replicas"},
		"BUDGET: twice on one":    {(*ledger).judgeRuns, &ledger{arrivals: slices.Concat(over("lookup", 4, 2).arrivals, over("lookup", 4, 2).arrivals)}, ""},
		"BUDGET: one cut off":     {(*ledger).judgeRuns, with(over("lookup", 4, 3), faults("r1", 0, ms)), ""},
		"BUDGET: 0.5 s too much":  {(*ledger).judgeTimeLeft, handed(21, 4500*ms, 0), ""},
		"BUDGET: more than 0.5 s": {(*ledger).judgeTimeLeft, handed(21, 4501*ms, 83), "no time or too much 21 of 104 times"},
		"BUDGET: of a fifth":      {(*ledger).judgeTimeLeft, handed(21, 4501*ms, 84), ""},
		"BUDGET: of 20":           {(*ledger).judgeTimeLeft, handed(20, 4501*ms, 0), ""},
		"BUDGET: no time":         {(*ledger).judgeTimeLeft, handed(21, 0, 0), "no time or too much 21 of 21 times"},
		"BUDGET: paused before":   {(*ledger).judgeTimeLeft, with(handed(21, 4501*ms, 0), faults("h0", 0, ms)), ""},
		"UNASKED: as sent":        {(*ledger).judgeRuns, runAs("a"), ""},
		"UNASKED: changed":        {(*ledger).judgeRuns, runAs("b"), "r0 ran l-h0-1: b, sent (true): a"},
		"UNASKED: not sent":       {(*ledger).judgeRuns, &ledger{arrivals: runAs("a").arrivals}, "r0 ran l-h0-1: a, sent (false)"},

		"LIMIT: kept":              {limit, &ledger{arrivals: arriveEach(11, "l", 4*time.Second)}, ""},
		"LIMIT: one more":          {limit, &ledger{arrivals: arriveEach(12, "l", 4*time.Second)}, "got 12"},
		"LIMIT: too soon":          {limit, &ledger{arrivals: arriveEach(12, "l", limitSettleTime)}, ""},
		"LIMIT: paused":            {limit, &ledger{arrivals: arriveEach(12, "l", 4*time.Second), troubles: faults("h0", 0, 1012*ms)}, ""},
		"LIMIT: paused long since": {limit, &ledger{arrivals: arriveEach(12, "l", 4*time.Second), troubles: faults("h0", 0, 1000*ms)}, "got 12"},

		"DRAIN: in time":         {(*ledger).judgeDraining, drains(withdrawTime, 1), ""},
		"DRAIN: late":            {(*ledger).judgeDraining, drains(withdrawTime+ms, 1), "sent 2.001s after the store"},
		"DRAIN: next process":    {(*ledger).judgeDraining, drains(withdrawTime+ms, 2), ""},
		"DRAIN: store away":      {(*ledger).judgeDraining, with(drains(withdrawTime+ms, 1), faults(storeName, time.Second, 2*time.Second)), ""},
		"DRAIN: host paused":     {(*ledger).judgeDraining, with(drains(withdrawTime+ms, 1), faults("h0", -4*time.Second, -2999*ms)), ""},
		"DRAIN: long before":     {(*ledger).judgeDraining, with(drains(withdrawTime+ms, 1), faults("h0", -4*time.Second, -3*time.Second)), "sent 2.001s after the store"},
		"DRAIN: sent in time":    {leaving, left(withdrawTime, 1), ""},
		"DRAIN: sent late":       {leaving, left(withdrawTime+ms, 1), "2.001s after h0 had passed on"},
		"DRAIN: another process": {leaving, left(withdrawTime+ms, 2), ""},
		"DRAIN: host restarted":  {leaving, with(left(withdrawTime+ms, 1), faults("h0", time.Second, 2*time.Second)), ""},
	} {
		if cases := c.judge(c.ledger); c.want == "" {
			assert.Empty(t, cases, name)
		} else if assert.Len(t, cases, 1, name) {
			assert.Contains(t, cases[0], c.want, name)
		}
	}
}

// Guards against a judge of events that misses one that is missing, comes twice or belongs elsewhere, and against a judge of whole
// streams that misses an early end.
func TestOrderJudges(t *testing.T) {
	stream := func(change func(*followed)) *followed {
		f := &followed{route: &streamRoute{events: 3}, complete: true, events: 3, versions: []string{"v1"}}
		change(f)
		return f
	}
	whole, short := stream(func(*followed) {}), stream(func(f *followed) { f.events = 2 })
	broken := stream(func(f *followed) { f.events, f.complete = 2, false })
	mixed := stream(func(f *followed) { f.versions = []string{"v1", "v2"} })
	assert.Empty(t, judgeOrder([]*followed{whole, broken, mixed, mixed}))
	assert.Len(t, judgeOrder([]*followed{whole, short}), 1)
	assert.Len(t, judgeOrder([]*followed{whole, stream(func(f *followed) { f.note("x") })}), 1)
	assert.Len(t, judgeOrder([]*followed{mixed, mixed, mixed}), 1)

	event := func(number int, id, key, run string) string {
		return fmt.Sprintf("id: %s\ndata: %d %s %s v1\n\n", id, number, key, run)
	}
	first := event(0, "0", "k1", "a") + event(1, "1", "k1", "a")
	for name, c := range map[string]struct {
		text      string
		resumable bool
		events    int
		disorder  string
	}{
		"whole":                  {first + event(2, "2", "k1", "a"), false, 3, ""},
		"one is missing":         {first + event(3, "3", "k1", "a"), false, 3, "after 2 events"},
		"one comes twice":        {first + event(1, "1", "k1", "a"), false, 3, "after 2 events"},
		"of another ID":          {first + event(2, "3", "k1", "a"), false, 3, "after 2 events"},
		"of another stream":      {first + event(2, "2", "k2", "a"), false, 3, "another stream"},
		"of another run":         {first + event(2, "2", "k1", "b"), false, 3, "event of run b after a"},
		"another run goes on":    {first + event(2, "2", "k1", "b"), true, 3, ""},
		"last event is cut":      {first + strings.TrimSuffix(event(2, "2", "k1", "a"), "\n"), false, 2, ""},
		"something of no stream": {first + "data: x\n\n", false, 2, "is no event"},
	} {
		f := &followed{route: &streamRoute{events: 3, resumable: c.resumable}, key: "k1", complete: true}
		f.read(c.text)
		assert.Equal(t, c.events, f.events, name)
		assert.Equal(t, c.events < 3, f.short(), name)
		if c.disorder == "" {
			assert.Empty(t, f.disorder, name)
		} else {
			assert.Contains(t, f.disorder, c.disorder, name)
		}
	}
	taken := &followed{route: &streamRoute{events: 3, resumable: true}, key: "k1"}
	taken.read(first)
	taken.read(event(2, "2", "k1", "b"))
	assert.Empty(t, taken.disorder, "taken up after the last event")
	taken.read(event(2, "2", "k1", "c"))
	assert.NotEmpty(t, taken.disorder, "taken up an event too early")
}

// Guards against a judge of stops that excuses a request which its host cut, or blames the host for one that it did not.
func TestStopJudge(t *testing.T) {
	const grace, limit = 6 * time.Second, 20 * time.Second
	cut := func() stopped { // 1 s after the stop, 5 s into it
		return stopped{result: result{sent: at(ms), ended: at(4500 * ms), status: http.StatusOK}, whole: at(ms), limit: limit, worked: at(4500 * ms)}
	}
	for name, c := range map[string]struct {
		change func(*stopped)
		want   string
	}{
		"cut":                          {func(*stopped) {}, fateCut},
		"complete":                     {func(r *stopped) { r.complete = true }, fateWhole},
		"complete, an event short":     {func(r *stopped) { r.complete, r.short = true, true }, fateCut},
		"failure of the replica":       {func(r *stopped) { r.complete, r.status = true, 502 }, "502"},
		"not whole":                    {func(r *stopped) { r.whole = time.Time{} }, "crossed the close"},
		"unread, closed in time":       {func(r *stopped) { r.status, r.worked, r.ended = 0, time.Time{}, at(ms+lossSlack) }, "crossed the close"},
		"unread, closed late":          {func(r *stopped) { r.status, r.worked, r.ended = 0, time.Time{}, at(2*ms+lossSlack) }, fateCut},
		"run, closed at once":          {func(r *stopped) { r.status, r.ended = 0, at(2*ms) }, fateCut},
		"replica broke off":            {func(r *stopped) { r.brokenOff = true }, "broken off by its replica"},
		"at its limit":                 {func(r *stopped) { r.limit = 4499 * ms }, "at its limit"},
		"before its limit":             {func(r *stopped) { r.limit = 4500 * ms }, fateCut},
		"outlasted":                    {func(r *stopped) { r.ended, r.worked = at(5001*ms), at(5001*ms) }, "outlasted the host"},
		"ended before the last sixth":  {func(r *stopped) { r.ended, r.worked = at(5000*ms), at(5001*ms) }, fateCut},
		"replica was done before":      {func(r *stopped) { r.ended, r.worked = at(5001*ms), at(5000*ms) }, fateCut},
		"sent 3 s after the stop":      {func(r *stopped) { r.sent, r.ended, r.worked = at(excusedSending), at(5001*ms), at(5001*ms) }, "outlasted the host"},
		"sent later than 3 s after it": {func(r *stopped) { r.sent, r.ended, r.worked = at(excusedSending+ms), at(5001*ms), at(5001*ms) }, fateCut},
		"no stop, as long as at the stop": {func(r *stopped) {
			r.sent, r.ended, r.worked = at(time.Hour), at(time.Hour+5*time.Second), at(time.Hour+5*time.Second)
		}, fateCut},
	} {
		r := cut()
		c.change(&r)
		assert.Equal(t, c.want, r.fate(r.sent, at(0), grace), name)
	}
}
