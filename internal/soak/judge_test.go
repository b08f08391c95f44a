package soak

import (
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"
)

// Judges read the record of a run and return what breaks a rule of the operators. docs/decisions/soak-rules.md lists them.

// budgetWindow is the time in which the retry budget is counted.
const budgetWindow = 10 * time.Second

// refusals are the statuses that promise that the request was not run and never will be.
var refusals = []int{http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest}

// judgeAnswers judges what callers saw beside what replicas ran (MIXED, REFUSED, DENIED), and counts the answers. The only failure
// of a replica that callers may see is status 500.
func (l *ledger) judgeAnswers() (cases []string, counts map[string]int) {
	counts = make(map[string]int)
	broken := func(r *result, what string) {
		cases = append(cases, fmt.Sprintf("%s of %s: %s: %.300q", r.id, r.host, what, r.body))
	}
	allRuns := l.runs()
	for i := range l.results {
		r := &l.results[i]
		counts[fmt.Sprintf("%s %d", r.kind, r.status)]++
		runs := allRuns[r.id]
		if r.sealed != (r.status == http.StatusOK) && (!r.sealed || r.status != http.StatusInternalServerError) {
			broken(r, fmt.Sprintf("has status %d and a replica's seal: %v", r.status, r.sealed))
		}
		switch whole := wholeAnswer(r); {
		case slices.Contains(refusals, r.status):
			if runs > 0 {
				broken(r, "was refused as not run, and ran")
			}
			if strings.Contains(r.body, "answer to") {
				broken(r, "was refused with an answer")
			}
		case r.status == http.StatusOK && r.complete:
			if withoutComments(r.body) != whole {
				broken(r, "was answered with other bytes")
			}
			if runs == 0 {
				broken(r, "was answered and never ran")
			}
		case r.status == http.StatusOK:
			if !strings.HasPrefix(whole, brokenBody(r.body)) {
				broken(r, "broke off with other bytes")
			}
		case r.status >= 300 && r.status < 500:
			broken(r, fmt.Sprintf("got %d though its route and key are in every configuration", r.status))
		}
	}
	return cases, counts
}

func wholeAnswer(r *result) string {
	if r.kind != "stream" {
		return answerTo(r.id)
	}
	var all strings.Builder
	for i := range events {
		all.WriteString(eventOf(r.id, i))
	}
	return all.String()
}

func withoutComments(body string) string { return strings.ReplaceAll(body, ": wait\n\n", "") }

// brokenBody is withoutComments for a stream that broke off, maybe inside a comment.
func brokenBody(body string) string {
	body = withoutComments(body)
	if at := strings.LastIndex(body, "\n\n:"); at >= 0 && strings.HasPrefix("\n\n: wait\n\n", body[at:]) {
		return body[:at+2]
	}
	return body
}

// judgeBudget judges whether arrivals beyond the first of each request stay within the retry budget in each sliding window
// (BUDGET), and tells how close they come.
func (l *ledger) judgeBudget() (cases []string, closest string) {
	seen := make(map[string]bool)
	var repeats []time.Time
	for _, a := range l.all() {
		if seen[a.id] {
			repeats = append(repeats, a.at)
		}
		seen[a.id] = true
	}
	first, most, share := 0, 0, 0.0
	for last, at := range repeats {
		for at.Sub(repeats[first]) > budgetWindow {
			first++
		}
		sent := 0
		for i := range l.results {
			if s := l.results[i].sent; s.After(at.Add(-budgetWindow)) && !s.After(at) {
				sent++
			}
		}
		repeated, allowed := last-first+1, retryShare*float64(sent)+retrySlack
		most, share = max(most, repeated), max(share, float64(repeated)/allowed)
		if float64(repeated) > allowed && cases == nil {
			cases = append(cases, fmt.Sprintf("%d repeats in %v beside %d requests", repeated, budgetWindow, sent))
		}
	}
	return cases, fmt.Sprintf("%d repeats, at most %d in %v, %.2f of what is allowed", len(repeats), most, budgetWindow, share)
}

// judgeTwice judges whether replicas ran a request more than once that may run once (TWICE).
func (l *ledger) judgeTwice() (cases []string) {
	runs := l.runs()
	for _, a := range l.all() {
		if n := runs[a.id]; a.ran && a.once && n > 1 {
			cases = append(cases, fmt.Sprintf("%s ran %d times", a.id, n))
			runs[a.id] = 1 // is reported
		}
	}
	return cases
}

// judgeRuns judges whether replicas ran what no caller sent, or not as it was sent (UNASKED), and whether more than three
// requests ran on more replicas than their route allows, apart from replicas whose link had a fault meanwhile (BUDGET).
func (l *ledger) judgeRuns() (cases []string) {
	const allowedOver = 3
	ran, over := make(map[string][]string), []string(nil)
	for _, a := range l.all() {
		if sent, known := l.sent[a.id]; a.ran && sent.what != a.asked {
			cases = append(cases, fmt.Sprintf("%s ran %s: %s, sent (%v): %s", a.replica, a.id, a.asked, known, sent.what))
		}
		if !a.ran || slices.Contains(ran[a.id], a.replica) || !l.calmSince(a.replica, a.at, a.at.Add(callerDeadline)) {
			continue
		}
		ran[a.id] = append(ran[a.id], a.replica)
		attempts := 2
		if a.once {
			attempts = 1
		}
		if len(ran[a.id]) == attempts+1 {
			over = append(over, a.id)
		}
	}
	if len(over) > allowedOver {
		cases = append(cases, fmt.Sprintf("%d requests ran on more replicas than their routes allow: %v", len(over), over))
	}
	return cases
}

// judgeTimeLeft judges whether hosts hand replicas no time for an answer, or a time that ends more than 0.5 s after the caller's
// (BUDGET).
func (l *ledger) judgeTimeLeft() (cases []string) {
	const slack, allowed, share = 500 * time.Millisecond, 20, 5
	counted, over := 0, 0
	for _, a := range l.all() {
		sent, known := l.sent[a.id]
		if !known || !l.calmSince(senderOf(a.id), a.at.Add(-limitSettleTime), a.at) || !l.calmSince(a.replica, a.at.Add(-limitSettleTime), a.at) {
			continue
		}
		if counted++; a.left == 0 || a.at.Add(a.left).Sub(sent.until) > slack {
			over++
		}
	}
	if over > allowed && over*share > counted {
		cases = append(cases, fmt.Sprintf("replicas were handed no time or too much %d of %d times", over, counted))
	}
	return cases
}

// judgeLimit judges whether a replica got more requests than the limit that it states allows, from hosts that were not in
// trouble (LIMIT).
func (l *ledger) judgeLimit(limit *statedLimit) (cases []string) {
	calm := func(name string, at time.Time) bool { return l.calmSince(name, at.Add(-limitSettleTime), at) }
	var at []time.Time
	for _, a := range l.all() {
		if a.replica == limit.replica.id && a.at.After(limit.since.Add(limitSettleTime)) && calm(senderOf(a.id), a.at) && calm(a.replica, a.at) {
			at = append(at, a.at)
		}
	}
	most, first := 0, 0
	for last := range at {
		for at[last].Sub(at[first]) > limitWindow {
			first++
		}
		most = max(most, last-first+1)
	}
	if float64(most) > limitFactor*limit.perSecond*limitWindow.Seconds()+limitSlack {
		cases = append(cases, fmt.Sprintf("%s states %v requests a second and got %d in %v", limit.replica.id, limit.perSecond, most, limitWindow))
	}
	return cases
}

// judgeLeaving judges whether a host sends a replica a request that its caller sent later than withdrawTime after the host had
// passed on an answer in which the replica says that it leaves (DRAIN), and counts the first such answers.
func (l *ledger) judgeLeaving() (cases []string, said int) {
	type statement struct {
		host, replica string
		born          int64
	}
	passedOn, byID := make(map[statement]time.Time), make(map[string]*result)
	for i := range l.results {
		byID[l.results[i].id] = &l.results[i]
	}
	arrivals := l.all()
	for _, a := range arrivals {
		s, r := statement{senderOf(a.id), a.replica, a.born}, byID[a.id]
		if r == nil || r.status == 0 {
			continue
		}
		at, known := passedOn[s]
		if known && r.sent.After(at.Add(withdrawTime)) && l.calmSince(s.host, at, a.at) {
			cases = append(cases, fmt.Sprintf("%s reaches %s, process %d, %v after %s had passed on that it leaves", a.id, s.replica, s.born, r.sent.Sub(at), s.host))
		}
		only := func(b arrival) bool { return b.id == a.id && b.replica != a.replica }
		if a.leaving && a.ran && r.complete && !slices.ContainsFunc(arrivals, only) && (!known || r.ended.Before(at)) {
			passedOn[s] = r.ended
		}
	}
	return cases, len(passedOn)
}

// judgeDraining judges whether a host sends a replica a request that its caller sent later than withdrawTime after the store had
// confirmed that the replica's process drains, while neither the host nor the store has a fault (DRAIN).
func (l *ledger) judgeDraining() (cases []string) {
	arrivals := l.all()
	for _, d := range l.drains {
		calm := func(name string, until time.Time) bool { return l.calmSince(name, d.at.Add(-limitSettleTime), until) }
		for _, a := range arrivals {
			since := l.sent[a.id].at.Sub(d.at)
			if a.replica == d.replica && a.born == d.born && since > withdrawTime && calm(senderOf(a.id), a.at) && calm(storeName, a.at) {
				cases = append(cases, fmt.Sprintf("%s reaches %s, process %d, sent %v after the store had confirmed that it drains", a.id, a.replica, a.born, since))
			}
		}
	}
	return cases
}

// judgeRests judges whether a replica that turned a host's request away and asked for rest gets few of that host until its rest is
// over (BUDGET).
func (l *ledger) judgeRests() (cases []string) {
	all := l.all()
	for _, asked := range all {
		host, from, until := senderOf(asked.id), asked.at.Add(restSettleTime), asked.at.Add(asked.rest)
		calm := func(name string) bool { return l.calmSince(name, asked.at.Add(-restSettleTime), until) }
		if asked.rest == 0 || !calm(host) || !calm(asked.replica) {
			continue
		}
		sent := 0
		for _, a := range all {
			if senderOf(a.id) == host && a.replica == asked.replica && a.born == asked.born && a.at.After(from) && a.at.Before(until) {
				sent++
			}
		}
		if sent > maxSentInRest {
			cases = append(cases, fmt.Sprintf("%d requests of %s to %s, which asked for %v of rest with %s", sent, host, asked.replica, asked.rest, asked.id))
		}
	}
	return cases
}

// judgeOrder judges whether the events of each stream came in order and once over all attempts, whether a request that ended as
// complete has its whole answer, and whether too many streams hold events of two software versions (ORDER).
func judgeOrder(all []*followed) (cases []string) {
	for _, f := range all {
		if f.disorder != "" {
			cases = append(cases, fmt.Sprintf("%v: out of order: %s", f, f.disorder))
		}
		if f.short() {
			cases = append(cases, fmt.Sprintf("%v: ended as complete too early", f))
		}
	}
	if both := joined(all); len(both) > maxJoinedStreams {
		cases = append(cases, fmt.Sprintf("%d streams hold events of two software versions: %v", len(both), both))
	}
	return cases
}

const (
	fateWhole = "whole"
	fateCut   = "cut"
)

// fate tells how a request ended whose host stopped at the given time (LOST). sent is the time that decides whether its replica may
// outlast the host's grace period.
func (r *stopped) fate(sent, stop time.Time, grace time.Duration) string {
	lastSixth := stop.Add(grace * 5 / 6)
	switch {
	case r.complete && r.status == http.StatusOK && !r.short:
		return fateWhole
	case r.complete && r.status != 0 && r.status != http.StatusOK:
		return strconv.Itoa(r.status)
	case r.whole.IsZero(), r.worked.IsZero() && r.status == 0 && r.ended.Sub(r.whole) <= lossSlack:
		return "crossed the close"
	case r.brokenOff:
		return "broken off by its replica"
	case r.ended.Sub(r.sent) >= r.limit:
		return "at its limit"
	case sent.Sub(stop) <= excusedSending && r.ended.After(lastSixth) && r.worked.After(lastSixth):
		return "outlasted the host"
	}
	return fateCut
}
