package gateway

import (
	"context"
	"errors"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"

	"heatherbarrow/internal/duty"
	"heatherbarrow/internal/gateway/boottime"
	"heatherbarrow/internal/gateway/netio"
	"heatherbarrow/internal/gateway/peers"
	"heatherbarrow/internal/httphead"
	"heatherbarrow/internal/lease"
)

const (
	// dutyInterval is the interval at which the holder looks for reports to fix and this host for the lease.
	dutyInterval = 200 * time.Millisecond
	// renewalsPerLease is the number of renewals, and of a candidate's reads, in the time of a lease.
	renewalsPerLease = 3
	// dutyCallTimeout bounds each call to the platform and the store; answers take milliseconds.
	dutyCallTimeout = 800 * time.Millisecond
	// dutyRetryInterval is the time after a call to the platform that failed until the next one.
	dutyRetryInterval = 300 * time.Millisecond
	// platformLostTime is the time without a successful call, while calls fail, after which the holder gives up the
	// lease to a host that may reach the platform.
	platformLostTime = 2 * time.Second
	// candidateDelay is the time after the start in which this host does not try to get the lease: it takes itself for the first of
	// its zone until it has heard of the others.
	candidateDelay = 1500 * time.Millisecond
	// leasesToWait is how many leases a host waits that has given up the lease, so that others come first.
	leasesToWait = 2
	// usageSettle is the least time after a window's end until a host's counts of it are final. Requests that were sent in
	// the window and are not answered yet are waited for.
	usageSettle = time.Second
	// usageExchange is the time until the final counts of all hosts have arrived at the holder.
	usageExchange = 600 * time.Millisecond
	// usageReserve is the time before a report is due in which it is sent, and repeated if that fails. Another holder takes
	// over 4.3 s after the last renewal of one that was killed. It is at most half of the time until the report is due.
	usageReserve = 5 * time.Second
	// relayAfter is the silence of a process after which others relay its counts. Counts are told twice a second.
	relayAfter = 1200 * time.Millisecond
	// dutyLeaseName is the name of the object that holds the lease of all duties.
	dutyLeaseName = "duties"
)

// dutyService performs the duties of the deployment on this host while it holds their lease, and counts usage.
type dutyService struct {
	program  *Program
	settings *Duties
	clock    clockNow
	windows  duty.Windows
	rules    duty.UsageRules
	counter  *duty.Counter
	ledger   *duty.Ledger
	api      duty.API
	holder   *lease.Holder
	limiter  *rate.Limiter
	started  time.Time
	stopping atomic.Bool // the host stops: the lease is given up
	ended    atomic.Bool // no more requests are counted
	released chan struct{}
	wake     chan struct{}                // a value means that the loop has something to do now
	snapshot atomic.Pointer[dutySnapshot] // nil until the loop runs

	// Used only by the goroutine that runs loop.
	keeper    *duty.Keeper
	monitor   dutyMonitor
	scaler    *scaler   // nil if this deployment's replicas are not ordered
	token     uint64    // of the lease that the scaler works with
	stepped   time.Time // when the lease was last renewed or read
	waitFrom  time.Time // when this host gave up the lease, or lost contact to other zones
	ledBefore time.Time // when this host was last the first of its zone, or did not hold the lease

	mu      sync.Mutex
	failing time.Time // since when calls to the platform fail; zero if the last one did not
	fenced  uint64    // token that the platform refused
}

// clockNow is the clock of the lease.
type clockNow interface{ Now() time.Time }

// newDutyService returns nil if the deployment has no duties.
func newDutyService(p *Program) *dutyService {
	d := p.settings.Duties
	if d == nil || p.adapter.Duties == nil {
		return nil
	}
	client := &http.Client{Transport: netio.DropIdleAfterFailure(httphead.NewTransport(&http.Transport{
		DialContext: netio.Dial, MaxIdleConnsPerHost: 1, DisableCompression: true, MaxResponseHeaderBytes: netio.MaxHeaderBytes,
	}))}
	w := duty.Windows{Length: d.UsageWindow.Std()}
	return &dutyService{
		program: p, settings: d, clock: boottime.Clock(), windows: w, counter: duty.NewCounter(w), ledger: duty.NewLedger(w),
		rules:   duty.UsageRules{Windows: w, Settle: usageSettle + usageExchange, Due: d.UsageLate.Std(), Reserve: min(usageReserve, d.UsageLate.Std()/2)},
		api:     p.adapter.Duties(d.Platform, client),
		limiter: rate.NewLimiter(rate.Limit(d.CallsPerSecond/2), 2), // the rest is for calls of an earlier holder that are under way
		started: time.Now(), released: make(chan struct{}), wake: make(chan struct{}, 1),
	}
}

// usage returns what the exchange between hosts needs to count usage, or nil if it is not counted.
func (d *dutyService) usage() peers.Usage {
	if d == nil || !d.settings.has(duty.Usage) {
		return nil
	}
	return d
}

// countRun returns the function that counts requests, or nil if they are not counted.
func (d *dutyService) countRun() func(team string, at time.Time) {
	if d.usage() == nil {
		return nil
	}
	return func(team string, at time.Time) {
		d.counter.Add(team, d.program.peers.TrueUnixMilli()-time.Since(at).Milliseconds())
	}
}

// beginRun returns the function that is told of requests that may be counted once they are answered, or nil if they are not
// counted.
func (d *dutyService) beginRun() func(at time.Time) (end func()) {
	if d.usage() == nil {
		return nil
	}
	return func(at time.Time) func() {
		return d.counter.Begin(d.program.peers.TrueUnixMilli() - time.Since(at).Milliseconds())
	}
}

// Outgoing implements peers.Usage.
func (d *dutyService) Outgoing() (out []duty.Counts) {
	now := d.program.peers.TrueUnixMilli()
	current := d.windows.At(now)
	for window := d.firstTold(current); window <= current; window++ {
		settled := now >= d.windows.End(window)+usageSettle.Milliseconds() && !d.counter.Pending(window)
		c := duty.Counts{Window: window, Teams: d.counter.Counts(window), Final: d.ended.Load() || settled}
		for _, n := range c.Teams {
			c.Total += n
		}
		out = append(out, c)
	}
	return out
}

// firstTold returns the first of the windows whose counts are told to other hosts: those whose reports may still be due, so that
// a new holder learns them.
func (d *dutyService) firstTold(current int64) int64 {
	return current - min(int64(d.settings.UsageLate/d.settings.UsageWindow), duty.KeptWindows-1)
}

// Relayed implements peers.Usage.
func (d *dutyService) Relayed() []duty.SourceCounts {
	now := d.program.peers.TrueUnixMilli()
	return d.ledger.Silent(d.firstTold(d.windows.At(now)), now-relayAfter.Milliseconds())
}

// Apply implements peers.Usage.
func (d *dutyService) Apply(from duty.Source, c duty.Counts) {
	d.ledger.Apply(from, c, d.program.peers.TrueUnixMilli())
}

// Name implements kernel.Service.
func (d *dutyService) Name() string { return "duties" }

// Dependencies implements kernel.Dependent.
func (d *dutyService) Dependencies() []string { return []string{"state", "peers"} }

// Start implements kernel.Starter.
func (d *dutyService) Start(ctx context.Context) error {
	p := d.program
	d.holder = lease.New(lease.Options{
		Store: p.store, Kind: p.adapter.KindDuties, Name: dutyLeaseName, Host: p.settings.Host, Clock: boottime.Clock(),
		Logger: p.logger, TTL: d.settings.Lease.Std(), Candidate: d.mayAcquire, Token: duty.Token, NoQuickReturn: true, OneProcess: true,
	})
	rules := d.rules
	if !d.settings.has(duty.Usage) {
		rules = duty.UsageRules{}
	}
	d.keeper = duty.NewKeeper(d.holder, rules, d.ledger, p.logger)
	if d.settings.has(duty.Scaling) {
		d.scaler = newScaler(d)
		go d.scaler.send(ctx)
	}
	go d.loop(ctx)
	go d.sendReports(ctx)
	return nil
}

// yield gives up the lease, as the host stops.
func (d *dutyService) yield() {
	if d == nil {
		return
	}
	if d.usage() != nil {
		d.program.peers.SendUsage()
	}
	d.stopping.Store(true)
	d.wakeLoop()
}

// Stop implements kernel.Stopper. It tells the final counts, as the requests have ended, and waits until the lease has been
// given up.
func (d *dutyService) Stop(ctx context.Context) error {
	d.ended.Store(true)
	d.yield()
	select {
	case <-d.released:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (d *dutyService) wakeLoop() {
	select {
	case d.wake <- struct{}{}:
	default: // the loop will run anyway
	}
}

// mayAcquire reports whether this host may try to get the lease. A host that gave it up, or that is cut off from the
// other zones, lets others come first: those that hear more hosts know more of the usage.
func (d *dutyService) mayAcquire() bool {
	now := time.Now()
	if d.stopping.Load() || now.Sub(d.started) < candidateDelay || !d.program.peers.LeadsZone() {
		return false
	}
	return d.waitFrom.IsZero() || now.Sub(d.waitFrom) > leasesToWait*d.settings.Lease.Std()
}

// loop keeps the lease, fixes reports and hands them to sendReports, until ctx ends or the host stops.
func (d *dutyService) loop(ctx context.Context) {
	defer close(d.released)
	ticker := time.NewTicker(dutyInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
		case <-ticker.C:
		case <-d.wake:
		}
		if ctx.Err() != nil || d.stopping.Load() {
			d.release(context.WithoutCancel(ctx), "host stops")
			d.monitor.observe(d)
			return
		}
		d.step(ctx)
		d.monitor.observe(d)
	}
}

// step does what is due now.
func (d *dutyService) step(ctx context.Context) {
	d.checkContacts(ctx)
	if err := d.renew(ctx, time.Since(d.stepped) >= d.settings.Lease.Std()/renewalsPerLease); err != nil {
		d.program.logger.Debug().Err(err).Msg("cannot renew or acquire the lease of duties")
	}
	if d.scaler == nil || !d.keeper.Held() {
		return
	}
	if grant, held := d.holder.Grant(); held && grant.Token != d.token {
		d.token = grant.Token
		d.scaler.takeOver()
	}
	d.scaler.step(ctx)
}

// renew fixes the reports that are due and stores the state if it has changed. It renews the lease or tries to get it in any
// case if now is set.
func (d *dutyService) renew(ctx context.Context, now bool) error {
	if now {
		d.stepped = time.Now()
	}
	d.ledger.Expect(d.program.peers.LiveHosts())
	callCtx, cancel := context.WithTimeout(ctx, dutyCallTimeout)
	defer cancel()
	return d.keeper.Step(callCtx, d.program.peers.TrueUnixMilli(), now)
}

// checkContacts gives up the lease if this host cannot perform the duties: the platform does not answer it, has seen a
// higher token, or this host is cut off from all other zones and does not know their usage.
func (d *dutyService) checkContacts(ctx context.Context) {
	d.mu.Lock()
	failing, fenced := d.failing, d.fenced
	d.mu.Unlock()
	cutOff := d.program.peers.CutOffFromZones()
	if cutOff && d.waitFrom.IsZero() {
		d.waitFrom = time.Now()
	}
	if !d.keeper.Held() {
		d.ledBefore = time.Now()
		if !cutOff && !d.waitFrom.IsZero() && time.Since(d.waitFrom) > leasesToWait*d.settings.Lease.Std() {
			d.waitFrom = time.Time{}
		}
		return
	}
	if d.program.peers.LeadsZone() {
		d.ledBefore = time.Now()
	}
	grant, _ := d.holder.Grant()
	switch {
	case time.Since(d.ledBefore) > candidateDelay:
		// Other hosts tell their counts to the first host of the zone only. It has had the time to learn them.
		d.release(ctx, "another host is the first of the zone")
	case fenced != 0 && fenced == grant.Token:
		d.release(ctx, "the platform has seen a higher token")
	case !failing.IsZero() && time.Since(failing) > platformLostTime:
		d.release(ctx, "the platform does not answer")
	case cutOff && time.Since(d.waitFrom) < leasesToWait*d.settings.Lease.Std():
		d.release(ctx, "cut off from all other zones")
	case !cutOff:
		d.waitFrom = time.Time{}
	}
}

// release gives up the lease for a reason.
func (d *dutyService) release(ctx context.Context, why string) {
	d.waitFrom = time.Now()
	d.mu.Lock()
	d.failing = time.Time{}
	d.mu.Unlock()
	callCtx, cancel := context.WithTimeout(ctx, dutyCallTimeout)
	defer cancel()
	if err := d.keeper.Release(callCtx, why); err != nil {
		d.program.logger.Warn().Err(err).Msg("cannot give up the lease of duties, it will expire")
	}
}

// caller returns the caller of the next call to the platform, if this host holds the lease for long enough for it.
func (d *dutyService) caller() (duty.Caller, bool) {
	grant, held := d.holder.Grant()
	d.mu.Lock()
	fenced := d.fenced == grant.Token
	d.mu.Unlock()
	if !held || fenced || d.stopping.Load() || grant.ExpiresAt.Sub(d.clock.Now()) < d.settings.Thaw.Std() {
		return duty.Caller{}, false
	}
	return duty.Caller{Host: d.program.settings.Host, Token: grant.Token}, true
}

// sendReports sends the reports that are stored with the lease until each has been answered, while this host holds the
// lease and until ctx ends.
func (d *dutyService) sendReports(ctx context.Context) {
	ticker := time.NewTicker(dutyInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		for _, r := range d.keeper.Unsent(d.program.peers.TrueUnixMilli()) {
			if !d.sendReport(ctx, r) {
				time.Sleep(dutyRetryInterval)
				break
			}
		}
	}
}

// sendReport sends a report and reports whether the platform has accepted it.
func (d *dutyService) sendReport(ctx context.Context, r duty.Report) bool {
	caller, ok := d.call(ctx)
	if !ok {
		return false
	}
	callCtx, cancel := d.callContext(ctx)
	defer cancel()
	began := time.Now()
	err := d.api.ReportUsage(callCtx, caller, r)
	d.noteCall(caller, err, errors.Is(err, duty.ErrConflict))
	d.program.metrics.Scope.Tagged(map[string]string{"duty": string(duty.Usage), "outcome": outcomeLabel(err)}).Counter("duty_calls").Inc(1)
	d.program.logger.Info().Err(err).Int64("window", r.Window).Uint64("fencing_token", caller.Token).Dur("took_ms", time.Since(began)).Msg("usage reported")
	if err != nil {
		return false
	}
	d.keeper.Accepted(r.Window)
	return true
}

// call waits until a further call to the platform is allowed, and returns its caller if this host holds the lease then.
func (d *dutyService) call(ctx context.Context) (duty.Caller, bool) {
	if _, ok := d.caller(); !ok {
		return duty.Caller{}, false
	}
	if err := d.limiter.Wait(ctx); err != nil {
		return duty.Caller{}, false
	}
	return d.caller()
}

// callContext returns the context of a call to the platform. It ends with the lease at the latest: a call that is held up,
// for example by a slow connection, must not be sent after that.
func (d *dutyService) callContext(ctx context.Context) (context.Context, context.CancelFunc) {
	timeout := time.Duration(0)
	if grant, held := d.holder.Grant(); held {
		timeout = min(grant.ExpiresAt.Sub(d.clock.Now()), dutyCallTimeout)
	}
	return context.WithTimeout(ctx, timeout)
}

// noteCall notes the outcome of a call to the platform. superseded means that it has seen a higher token.
func (d *dutyService) noteCall(caller duty.Caller, err error, superseded bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	switch {
	case superseded:
		d.fenced = caller.Token
		d.wakeLoop()
	case err == nil || errors.Is(err, duty.ErrConflict):
		d.failing = time.Time{}
	case d.failing.IsZero():
		d.failing = time.Now()
	}
}
