package claims

import (
	"context"
	"crypto/sha256"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"heatherbarrow/internal/objectstore"
	"heatherbarrow/internal/outcome"
	"heatherbarrow/internal/rpc"
	"heatherbarrow/internal/standin/inprocess"
	standin "heatherbarrow/internal/standin/platform"
)

var errBroken = errors.New("connection broken")

// randSource is a seeded random source that is safe for concurrent use.
type randSource struct {
	mu   sync.Mutex
	rand *rand.Rand
}

func newRandSource(seed uint64) *randSource { return &randSource{rand: rand.New(rand.NewPCG(seed, 0))} }

func (r *randSource) intN(n int) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.rand.IntN(n)
}

// cluster contains the claim services of several hosts that share one platform.
type cluster struct {
	platform   *standin.Server
	randSource *randSource
	faults     atomic.Bool
	late       atomic.Int64 // calls to the platform that outlasted their time
	hosts      []*testHost
}

// testHost is a host that can crash. A crash loses the state in memory, and later calls
// of the crashed incarnation reach neither the platform nor the peers.
type testHost struct {
	cluster      *cluster
	name         string
	mu           sync.Mutex
	alive        *atomic.Bool // false after this incarnation crashed
	claimService *Service
}

func newCluster(t *testing.T, seed uint64, hosts int) *cluster {
	c := &cluster{platform: standin.New(), randSource: newRandSource(seed)}
	c.platform.SetRates(1<<20, 1<<20)
	for i := range hosts {
		c.hosts = append(c.hosts, &testHost{cluster: c, name: fmt.Sprintf("host%d", i)})
	}
	for _, h := range c.hosts {
		h.start()
	}
	t.Cleanup(func() {
		for _, h := range c.hosts {
			h.currentService().Close()
		}
	})
	return c
}

func (h *testHost) start() {
	h.mu.Lock()
	defer h.mu.Unlock()
	alive := &atomic.Bool{}
	alive.Store(true)
	h.alive = alive
	transport := &faultyTransport{alive: alive, cluster: h.cluster, base: inprocess.Transport{Handler: h.cluster.platform.Handler()}}
	h.claimService = New(Options{
		Store: objectstore.NewClient("http://platform", &http.Client{Transport: transport}),
		Host:  h.name,
		Hosts: h.cluster.liveHosts,
		Dial: func(to Host) Appender {
			return &faultyPeer{cluster: h.cluster, alive: alive, name: to.Name}
		},
		BatchWindow: 200 * time.Microsecond, WriteSpacing: time.Millisecond, MaxOutcomeDelay: 2 * time.Millisecond,
		ForwardTimeout: 40 * time.Millisecond, AppendTimeout: 100 * time.Millisecond, RetryDelay: time.Millisecond, PeerBackoff: 20 * time.Millisecond, SealBytes: 4 << 10,
	})
	h.claimService.Start()
}

func (h *testHost) currentService() *Service {
	currentService, _ := h.incarnation()
	return currentService
}

// incarnation returns the current service and its alive flag.
func (h *testHost) incarnation() (*Service, *atomic.Bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.claimService, h.alive
}

// crash replaces the service with a new one that has no state in memory.
func (h *testHost) crash() {
	old, alive := h.incarnation()
	if alive.CompareAndSwap(true, false) {
		go old.Close()
		h.start()
	}
}

func (c *cluster) liveHosts() []Host {
	var out []Host
	for _, h := range c.hosts {
		out = append(out, Host{Name: h.name})
	}
	return out
}

// faultyPeer calls AppendClaims of another host and may lose the call or its response.
type faultyPeer struct {
	cluster *cluster
	alive   *atomic.Bool
	name    string
}

func (p *faultyPeer) AppendClaims(ctx context.Context, request *rpc.AppendClaimsRequest) (*rpc.AppendClaimsResponse, error) {
	for _, h := range p.cluster.hosts {
		if h.name != p.name {
			continue
		}
		if p.cluster.injectFault(50) || !p.alive.Load() {
			return nil, errBroken
		}
		response, err := h.currentService().AppendClaims(ctx, request)
		if p.cluster.injectFault(25) || !p.alive.Load() {
			return nil, errBroken
		}
		return response, err
	}
	return nil, errBroken
}

// faultyTransport is the connection of a host to the platform, with faults and delays.
type faultyTransport struct {
	alive   *atomic.Bool
	cluster *cluster
	base    http.RoundTripper
}

func (t *faultyTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	if !t.alive.Load() || t.cluster.injectFault(60) {
		return nil, errBroken
	}
	if t.cluster.injectFault(40) {
		time.Sleep(time.Duration(t.cluster.randSource.intN(20)) * time.Millisecond)
	}
	response, err := t.base.RoundTrip(r.WithContext(context.WithoutCancel(r.Context()))) // a write may take effect after its sender stopped waiting
	if r.Context().Err() != nil {
		t.cluster.late.Add(1)
		return nil, errBroken
	}
	if !t.alive.Load() || t.cluster.injectFault(30) {
		return nil, errBroken
	}
	return response, err
}

// injectFault reports whether to inject a fault that has a probability of 1/n.
func (c *cluster) injectFault(n int) bool { return c.faults.Load() && c.randSource.intN(n) == 0 }

// countingService counts the runs for each key and records which attempts ran.
type countingService struct {
	mu          sync.Mutex
	runsByKey   map[int]int
	ranAttempts map[string]bool
}

func (s *countingService) run(key int, attempt string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.runsByKey[key]++
	s.ranAttempts[attempt] = true
}

// testCaller makes a sequence of attempts with the same key through random hosts.
type testCaller struct {
	cluster        *cluster
	service        *countingService // runs the calls; claims are made with the service of a testHost
	key            int
	reportedNotRun []string // attempts reported to the caller as not run
	lastOutcome    outcome.Outcome
}

func (c *testCaller) request(attempt string) *rpc.ClaimRequest {
	sum := sha256.Sum256(fmt.Append(nil, c.key))
	return &rpc.ClaimRequest{Key: sum[:], BodyHash: sum[:], Attempt: attempt}
}

// attempt makes one attempt, in which the host may crash at each step, and returns the
// outcome that the caller receives.
func (c *testCaller) attempt(attempt string, wait time.Duration) outcome.Outcome {
	host := c.cluster.hosts[c.cluster.randSource.intN(len(c.cluster.hosts))]
	service, alive := host.incarnation() // the host's claim service, unlike c.service
	crashed := func() bool {
		if c.cluster.injectFault(300) {
			host.crash()
		}
		return !alive.Load()
	}
	request := c.request(attempt)
	ctx, cancel := context.WithTimeout(context.Background(), wait)
	defer cancel()
	if c.cluster.injectFault(15) { // the response is lost, so the attempt is revoked while the claim is in progress
		go func() {
			ctx, cancel := context.WithTimeout(context.Background(), wait)
			defer cancel()
			service.Claim(ctx, request)
		}()
		_ = service.RecordOutcome(ctx, &rpc.OutcomeRequest{Key: request.Key, Attempt: attempt, Outcome: string(outcome.NotRun)})
		return outcome.NotRun
	}
	response := service.Claim(ctx, request)
	switch {
	case crashed():
		return outcome.Unknown
	case response.Result == rpc.ClaimResult_CLAIM_RESULT_UNAVAILABLE:
		return outcome.NotRun
	case response.Result != rpc.ClaimResult_CLAIM_RESULT_GRANTED:
		return outcome.Unknown
	}
	result := outcome.NotRun
	if !c.cluster.injectFault(10) { // with this fault the service refuses the call
		c.service.run(c.key, attempt)
		result = outcome.Completed
	}
	if crashed() {
		return outcome.Unknown
	}
	_ = service.RecordOutcome(ctx, &rpc.OutcomeRequest{Key: request.Key, Attempt: attempt, Outcome: string(result)})
	if crashed() {
		return outcome.Unknown
	}
	return result
}

// run makes up to four attempts.
func (c *testCaller) run() {
	for n := range 4 {
		attempt := fmt.Sprintf("call%d-%d", c.key, n)
		c.lastOutcome = c.attempt(attempt, time.Duration(5+c.cluster.randSource.intN(400))*time.Millisecond)
		switch c.lastOutcome {
		case outcome.Completed:
			if n%2 == 0 {
				return // after an odd n the caller sends the call again although it succeeded
			}
		case outcome.NotRun:
			c.reportedNotRun = append(c.reportedNotRun, attempt)
			time.Sleep(time.Duration(c.cluster.randSource.intN(20)) * time.Millisecond)
		}
	}
}

// sendAgain checks that the call is not refused once the faults have ended. A busy machine may suspend the process for longer than the
// calls to the platform may take; only a refusal beside such a call is passed over.
func (c *testCaller) sendAgain(t *testing.T) {
	const tries = 20
	for n := range tries {
		late := c.cluster.late.Load()
		if c.attempt(fmt.Sprintf("call%d-last%d", c.key, n), time.Minute) != outcome.NotRun {
			return
		}
		require.Greater(t, c.cluster.late.Load(), late, "call %d is refused although no call to the platform was late", c.key)
	}
	require.Fail(t, "call is refused each time", "call %d", c.key)
}

// runCalls makes calls under faults. It checks that no call runs twice and that no call
// that ran is reported as not run.
func runCalls(t *testing.T, seed uint64, calls int) {
	const concurrency = 48
	c := newCluster(t, seed, 4)
	c.faults.Store(true)
	service := &countingService{runsByKey: make(map[int]int), ranAttempts: make(map[string]bool)}
	testCallers := make([]*testCaller, calls)
	var next atomic.Int64
	var group sync.WaitGroup
	for range concurrency {
		group.Go(func() {
			for i := int(next.Add(1)) - 1; i < calls; i = int(next.Add(1)) - 1 {
				testCallers[i] = &testCaller{cluster: c, service: service, key: i}
				testCallers[i].run()
			}
		})
	}
	stop, stopped := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(stopped)
		injectOutages(c, stop)
	}()
	group.Wait()
	close(stop)
	<-stopped
	c.faults.Store(false)
	for _, caller := range testCallers {
		if caller.lastOutcome == outcome.NotRun { // sent again after the faults end
			caller.sendAgain(t)
		}
	}
	duplicates, falseNotRun, refused := 0, 0, 0
	for _, caller := range testCallers {
		if service.runsByKey[caller.key] > 1 {
			duplicates++
		}
		refused += len(caller.reportedNotRun)
		for _, attempt := range caller.reportedNotRun {
			if service.ranAttempts[attempt] {
				falseNotRun++
			}
		}
	}
	t.Logf("seed=%d calls=%d keys_run=%d refused=%d duplicates=%d false_not_run=%d", seed, calls, len(service.runsByKey), refused, duplicates, falseNotRun)
	require.Zero(t, duplicates)
	require.Zero(t, falseNotRun)
	require.Greater(t, len(service.runsByKey), calls/2, "too few calls ran for a meaningful test")
}

// injectOutages makes the platform slow, rate-limited or unavailable at random times.
func injectOutages(c *cluster, stop chan struct{}) {
	for {
		select {
		case <-stop:
			c.platform.SetFaults(standin.Faults{})
			c.platform.SetRates(1<<20, 1<<20)
			return
		case <-time.After(time.Duration(20+c.randSource.intN(80)) * time.Millisecond):
		}
		// The test writes far more often than a deployment does, so the documented
		// limit of 400 writes/s applies only part of the time, as one more fault.
		c.platform.SetRates(1<<20, []int{400, 1 << 20, 1 << 20, 1 << 20}[c.randSource.intN(4)])
		c.platform.SetFaults(standin.Faults{Down: c.randSource.intN(12) == 0, LoseWriteAnswers: c.randSource.intN(3), DelayMS: c.randSource.intN(3) * c.randSource.intN(5)})
	}
}

// Guards against calls that run twice and against calls that are reported as not run
// although they ran, under crashes at any step, lost responses, outages and callers that
// send a call again through other hosts.
func TestCallsRunAtMostOnceUnderFaults(t *testing.T) {
	for seed := range uint64(3) {
		runCalls(t, seed+1, 1000)
	}
}

// Guards against a key that stays occupied by a claim that was refused although its
// write took effect.
func TestRefusedClaimIsReleased(t *testing.T) {
	c := newCluster(t, 1, 2)
	c.platform.SetFaults(standin.Faults{DelayMS: 50})
	caller := &testCaller{cluster: c, key: 1}
	ctx, cancel := context.WithTimeout(context.Background(), 75*time.Millisecond) // expires during the write
	defer cancel()
	refused := c.hosts[0].currentService().Claim(ctx, caller.request("refused"))
	require.Equal(t, rpc.ClaimResult_CLAIM_RESULT_UNAVAILABLE, refused.Result)
	c.platform.SetFaults(standin.Faults{})
	require.Eventually(t, func() bool {
		return c.hosts[1].currentService().Claim(context.Background(), caller.request("granted")).Result == rpc.ClaimResult_CLAIM_RESULT_GRANTED
	}, 10*time.Second, 10*time.Millisecond)
}

// Guards against a claim that is refused after one failed round because rounds had failed in an outage that is over.
func TestClaimAfterOutageOutlastsOneFailedRound(t *testing.T) {
	c := newCluster(t, 1, 1)
	service := c.hosts[0].currentService()
	caller := &testCaller{cluster: c, key: 1}
	c.platform.SetFaults(standin.Faults{Down: true})
	refused := service.Claim(context.Background(), caller.request("refused"))
	require.Equal(t, rpc.ClaimResult_CLAIM_RESULT_UNAVAILABLE, refused.Result)
	c.platform.SetFaults(standin.Faults{LoseWriteAnswers: 1})
	time.Sleep(2 * service.options.AppendTimeout)
	granted := service.Claim(context.Background(), caller.request("granted"))
	require.Equal(t, rpc.ClaimResult_CLAIM_RESULT_GRANTED, granted.Result)
}

// Guards against a key that stays occupied by an attempt that the router recorded as not
// run before or while it was granted, and against a grant to such an attempt later.
func TestRevokedAttemptFreesItsKey(t *testing.T) {
	c := newCluster(t, 1, 3)
	revoke := func(caller *testCaller, attempt string) {
		request := &rpc.OutcomeRequest{Key: caller.request(attempt).Key, Attempt: attempt, Outcome: string(outcome.NotRun)}
		require.NoError(t, c.hosts[0].currentService().RecordOutcome(context.Background(), request))
	}
	for i := range 60 {
		caller := &testCaller{cluster: c, key: i}
		var group sync.WaitGroup
		group.Go(func() {
			time.Sleep(time.Duration(c.randSource.intN(4)) * time.Millisecond)
			c.hosts[0].currentService().Claim(context.Background(), caller.request("given"))
		})
		revoke(caller, "given")
		group.Wait()
		require.Eventually(t, func() bool {
			next := c.hosts[1].currentService().Claim(context.Background(), caller.request("next"))
			return next.Result == rpc.ClaimResult_CLAIM_RESULT_GRANTED
		}, 10*time.Second, time.Millisecond, "key %d", i)
	}
	caller := &testCaller{cluster: c, key: 100}
	revoke(caller, "late")
	require.Eventually(t, func() bool { return c.hosts[0].currentService().pendingOutcomes.Load() == 0 }, 10*time.Second, time.Millisecond)
	late := c.hosts[0].currentService().Claim(context.Background(), caller.request("late"))
	require.Equal(t, rpc.ClaimResult_CLAIM_RESULT_UNAVAILABLE, late.Result)
}

// Guards against outcomes that are lost during an outage and against an unlimited number
// of outcomes in memory.
func TestOutcomesSurviveOutage(t *testing.T) {
	c := newCluster(t, 1, 2)
	s := c.hosts[0].currentService()
	s.options.MaxOutcomes = 2
	caller := &testCaller{cluster: c, key: 1}
	claim := caller.request("first")
	require.Equal(t, rpc.ClaimResult_CLAIM_RESULT_GRANTED, s.Claim(context.Background(), claim).Result)
	c.platform.SetFaults(standin.Faults{Down: true})
	finished := &rpc.OutcomeRequest{Key: claim.Key, Attempt: "first", Outcome: "completed", Status: 201}
	require.NoError(t, s.RecordOutcome(context.Background(), finished))
	require.NoError(t, s.RecordOutcome(context.Background(), finished))
	require.ErrorIs(t, s.RecordOutcome(context.Background(), finished), ErrOutcomesFull)
	other := &testCaller{cluster: c, key: 2}
	require.Equal(t, rpc.ClaimResult_CLAIM_RESULT_UNAVAILABLE, s.Claim(context.Background(), other.request("refused")).Result)
	c.platform.SetFaults(standin.Faults{})
	require.Eventually(t, func() bool {
		again := c.hosts[1].currentService().Claim(context.Background(), caller.request("second"))
		return again.Result == rpc.ClaimResult_CLAIM_RESULT_FINISHED && again.Status == 201 && again.FirstAttempt == "first"
	}, 10*time.Second, 10*time.Millisecond)
}
