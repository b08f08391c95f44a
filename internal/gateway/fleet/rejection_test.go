package fleet

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"heatherbarrow/internal/gateway/routing"
)

// rejectionDay is a service whose requests come evenly at several hosts, each of which tries up to four replicas.
type rejectionDay struct {
	hosts, replicas int
	perSecond       int // requests at all hosts together
	length          time.Duration
	// rejects returns the probability with which a replica rejects a request.
	rejects func(replica int, at time.Duration) float64
}

// rejectionResult is what replicas and callers saw.
type rejectionResult struct {
	rejected, retried, unserved int
	servedBy                    []int           // by replica
	lastServed                  []time.Duration // by replica
	firstServedAfter            map[int]time.Duration
}

func (d rejectionDay) play(from time.Duration) *rejectionResult {
	const serviceTime, rejectTime = 5 * time.Millisecond, time.Millisecond
	random := rand.New(rand.NewPCG(7, uint64(d.hosts)))
	fleets := make([]*Fleet, d.hosts)
	for i := range fleets {
		fleets[i] = New(Options{Zone: "a", Seed: uint64(i)})
		fleets[i].SetUpstreams([]routing.Upstream{{Name: service}})
		for j := range d.replicas {
			fleets[i].Update([]Member{{ID: fmt.Sprint(j), Upstream: service, Zone: "a", Slots: 16}}, nil)
		}
	}
	type attempt struct {
		host    int
		lease   *Lease
		q       *Request
		ends    time.Duration
		replica int
		served  bool
	}
	result := &rejectionResult{servedBy: make([]int, d.replicas), lastServed: make([]time.Duration, d.replicas), firstServedAfter: map[int]time.Duration{}}
	var running []attempt
	begin := func(host int, q *Request, now time.Duration) {
		lease, refusal := fleets[host].Pick(q, start.Add(now))
		if refusal != nil {
			result.unserved++
			return
		}
		a := attempt{host: host, lease: lease, q: q, ends: now + serviceTime, served: true}
		_, _ = fmt.Sscan(lease.Member.ID, &a.replica)
		if random.Float64() < d.rejects(a.replica, now) {
			a.served, a.ends = false, now+rejectTime
			result.rejected++
		}
		running = append(running, a)
	}
	step := time.Second / time.Duration(d.perSecond)
	for n := 0; time.Duration(n)*step < d.length; n++ {
		now := time.Duration(n) * step
		for i := 0; i < len(running); i++ {
			a := running[i]
			if a.ends > now {
				continue
			}
			running = append(running[:i], running[i+1:]...)
			i--
			if a.served {
				a.lease.FirstByte(start.Add(now))
				a.lease.End(Served, start.Add(now))
				result.servedBy[a.replica]++
				if _, ok := result.firstServedAfter[a.replica]; !ok && now >= from {
					result.firstServedAfter[a.replica] = now - from
				}
				continue
			}
			a.lease.End(Rejected, start.Add(now))
			a.q.Exclude = append(a.q.Exclude, a.lease.Member.ID)
			if len(a.q.Exclude) == 4 || len(a.q.Exclude) == d.replicas {
				result.unserved++
				continue
			}
			result.retried++
			begin(a.host, a.q, now)
		}
		begin(random.IntN(d.hosts), serviceRequest(), now)
	}
	return result
}

// Guards against a replica that rejects at once, looks idle for that reason and draws the requests of each host:
// each rejection takes a retry out of the budget. Seen in the soak: 938 rejections in 642 ms.
func TestReplicaThatRejectsDrawsNoTraffic(t *testing.T) {
	for _, hosts := range []int{1, 4, 12} {
		d := rejectionDay{hosts: hosts, replicas: 6, perSecond: 2000, length: 2 * time.Second, rejects: func(replica int, at time.Duration) float64 {
			if replica == 0 && at > 500*time.Millisecond && at < 1142*time.Millisecond {
				return 1
			}
			return 0
		}}
		r := d.play(1142 * time.Millisecond)
		t.Logf("%d hosts: %d rejected, %d unserved, replica serves again after %v", hosts, r.rejected, r.unserved, r.firstServedAfter[0])
		assert.LessOrEqual(t, r.rejected, 10*hosts, "%d hosts", hosts)
		assert.Zero(t, r.unserved)
		assert.Less(t, r.firstServedAfter[0], 500*time.Millisecond)
		assert.Greater(t, r.servedBy[0], 4000/6/3, "the replica serves before and after")
	}
}

// Guards against replicas that reject for long, on whole fleets: the rejections of all hosts must not grow with
// the traffic.
func TestLongRejectionsCostFewRetries(t *testing.T) {
	d := rejectionDay{hosts: 30, replicas: 18, perSecond: 3000, length: 12 * time.Second, rejects: func(replica int, at time.Duration) float64 {
		if replica < 3 && at > time.Second && at < 11*time.Second {
			return 1
		}
		return 0
	}}
	r := d.play(0)
	t.Logf("%d rejected", r.rejected)
	assert.LessOrEqual(t, r.rejected, 10*30*3, "ten of each host and replica in 10 s")
	assert.Zero(t, r.unserved)
}

// Guards against a replica that a single rejection takes out of use, although it has room again.
func TestSingleRejectionHardlyMatters(t *testing.T) {
	for range 20 {
		f := newFleet(0)
		lease := pick(t, f, serviceRequest(), start)
		lease.End(Rejected, start)
		picked := 0
		for i := range 300 {
			now := start.Add(time.Duration(i) * 10 * time.Millisecond)
			l := pick(t, f, serviceRequest(), now)
			if l.Member.ID == lease.Member.ID {
				picked++
			}
			l.FirstByte(now)
			l.End(Served, now)
		}
		assert.Greater(t, picked, 70, "of 300 in 3 s, of three replicas")
	}
}

// Guards against an upstream whose replicas all reject some requests: callers must be served as often as before,
// by those that reject least, and none is left out for good.
func TestUpstreamOfRejectingReplicasIsNotStarved(t *testing.T) {
	d := rejectionDay{hosts: 4, replicas: 6, perSecond: 500, length: 10 * time.Second, rejects: func(replica int, _ time.Duration) float64 {
		return []float64{0.9, 0.9, 0.9, 0.9, 0.5, 0.5}[replica]
	}}
	r := d.play(0)
	t.Logf("%d rejected, %d unserved of 5000, served by %v", r.rejected, r.unserved, r.servedBy)
	assert.Less(t, r.unserved, 5000*30/100)
	assert.Greater(t, r.servedBy[4]+r.servedBy[5], 3*(r.servedBy[0]+r.servedBy[1]+r.servedBy[2]+r.servedBy[3]))
	full := newFleet(0)
	for i := range 3 {
		q := serviceRequest()
		for j := range 3 {
			if j != i {
				q.Exclude = append(q.Exclude, fmt.Sprint("s", j))
			}
		}
		pick(t, full, q, start).End(Rejected, start)
	}
	_, refusal := full.Pick(serviceRequest(), start)
	require.Nil(t, refusal, "the replica that may accept again first is tried")
	assert.Equal(t, 3, full.RejectingReplicas(service, start))
	assert.False(t, full.Available(serviceRequest(), start), "a slow answer is not given up for a replica that rejects")
}

// Guards against a replica that is tried by many requests at once when its back-off has ended.
func TestRejectingReplicaIsTriedByOneRequestAtATime(t *testing.T) {
	f := newFleet(0)
	rejecting := pick(t, f, serviceRequest(), start)
	rejecting.End(Rejected, start)
	later, tried := start.Add(time.Second), 0
	var trial *Lease
	for range 10 {
		if l := pick(t, f, serviceRequest(), later); l.Member.ID == rejecting.Member.ID {
			trial = l
			tried++
		}
	}
	require.Equal(t, 1, tried)
	trial.FirstByte(later)
	for range 10 {
		if l := pick(t, f, serviceRequest(), later); l.Member.ID == rejecting.Member.ID {
			tried++
		}
	}
	assert.Greater(t, tried, 3, "it has accepted one")
}

// Guards against a replica that a burst of requests on their way takes out of use for longer than one rejection.
func TestRejectionsOfRequestsSentTogetherCountOnce(t *testing.T) {
	f := newFleet(0)
	q := serviceRequest()
	q.Exclude = []string{"s1", "s2"}
	var sent []*Lease
	for range 20 {
		sent = append(sent, pick(t, f, q, start))
	}
	for _, l := range sent {
		l.End(Rejected, start.Add(time.Millisecond))
	}
	assert.Equal(t, 1, f.replicas["s0"].rejections.level)
}

// Guards against a request that is refused for the backlog of the only replica that has not rejected one lately, while another
// one, of which the back-off has ended, has room.
func TestBackOffAloneIsNoReasonToRefuse(t *testing.T) {
	f := newFleet(2)
	rejecting := pick(t, f, longAnswerRequest(), start).Member.ID
	accepting := map[string]string{"e0": "e1", "e1": "e0"}[rejecting]
	only := longAnswerRequest()
	only.Exclude = []string{accepting}
	pick(t, f, only, start).End(Rejected, start.Add(time.Millisecond))
	now := start.Add(time.Second) // the back-off has ended
	only = longAnswerRequest()
	only.Exclude = []string{accepting}
	pick(t, f, only, now) // the trial
	picked := map[string]int{}
	for range 30 {
		q := &Request{Upstream: engines, PromptTokens: 9190, OutputTokens: 50, Target: 800 * time.Millisecond, MaxGap: 500 * time.Millisecond, TimeLeft: 5 * time.Second, Priority: 1}
		l, refusal := f.Pick(q, now)
		if refusal == nil {
			picked[l.Member.ID]++
			continue
		}
		for _, id := range []string{rejecting, accepting} {
			elsewhere := *q
			elsewhere.Exclude = []string{id}
			_, refusal := f.Pick(&elsewhere, now)
			assert.NotNil(t, refusal, "without %s, of %v", id, picked)
		}
		break
	}
	assert.Positive(t, picked[rejecting])
	assert.Positive(t, picked[accepting])
}

// Guards against a replica that other requests avoid until the first byte of a long answer, although it has taken the request.
func TestHeadOfAnswerEndsTrial(t *testing.T) {
	f := newFleet(0)
	rejecting := pick(t, f, serviceRequest(), start)
	rejecting.End(Rejected, start)
	later := start.Add(time.Second)
	var trial *Lease
	for trial == nil {
		if l := pick(t, f, serviceRequest(), later); l.Member.ID == rejecting.Member.ID {
			trial = l
		}
	}
	require.Equal(t, 1, f.RejectingReplicas(service, later))
	trial.HeadReceived()
	assert.Zero(t, f.RejectingReplicas(service, later))
}
