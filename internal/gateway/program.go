package gateway

import (
	"cmp"
	"context"
	"math"
	"math/rand/v2"
	"net/http"
	"os"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-chi/chi/v5"
	"github.com/jonboulle/clockwork"
	"github.com/rs/zerolog"

	"heatherbarrow/internal/bus"
	"heatherbarrow/internal/cli"
	"heatherbarrow/internal/drain"
	"heatherbarrow/internal/duty"
	"heatherbarrow/internal/gateway/boottime"
	"heatherbarrow/internal/gateway/fleet"
	"heatherbarrow/internal/gateway/netio"
	"heatherbarrow/internal/gateway/origin"
	"heatherbarrow/internal/gateway/peers"
	"heatherbarrow/internal/gateway/proxy"
	"heatherbarrow/internal/gateway/routing"
	"heatherbarrow/internal/gateway/state"
	"heatherbarrow/internal/gateway/upstream"
	"heatherbarrow/internal/httphead"
	"heatherbarrow/internal/kernel"
	"heatherbarrow/internal/listen"
	"heatherbarrow/internal/membudget"
	"heatherbarrow/internal/objectstore"
	"heatherbarrow/internal/scheduling/poisonpart"
	"heatherbarrow/internal/settings"
	"heatherbarrow/internal/telemetry"
)

const (
	programName = "heatherbarrow-gateway"
	// gcPercent trades CPU time for memory, which is scarce on small hosts.
	gcPercent = 50
	// memoryLimitFraction is the fraction of the memory limit at which the garbage
	// collector runs more often, so that the process is not killed.
	memoryLimitFraction = 0.7
	// housekeepingInterval is the time between two housekeeping runs. state.State.Tick and upstream.Client.CloseIdle must be
	// called several times a second.
	housekeepingInterval = 500 * time.Millisecond
	// defaultBalancerLag is how long the balancer may still send connections to a host
	// that is no longer ready. It covers two readiness checks one second apart and one
	// check in transit.
	defaultBalancerLag = 2500 * time.Millisecond
	// shutdownMargin is the reserve between the end of draining and the end of the grace period. It is
	// smaller in a short grace period, so that responses last into its last sixth. Half of it is left to
	// the log.
	shutdownMargin        = 700 * time.Millisecond
	shutdownMarginDivisor = 10
	// minHosts is the number of hosts assumed to share the retry slack until more hosts
	// are known, once any are.
	minHosts = 4
	// maxIdleStoreConns limits the idle connections to the store: one for each object
	// kind that is read.
	maxIdleStoreConns = 3
)

// Defaults of Engines, taken from the data sheet of the model engines.
const (
	defaultPrefillTokensPerMs = 36.1
	defaultStep               = 3470 * time.Microsecond
	defaultStepPerRequest     = 160 * time.Microsecond
	defaultFirstToken         = 19 * time.Millisecond
	defaultChunkTokens        = 2048
)

// Adapter contains the platform-specific parts of the program.
type Adapter struct {
	Dialect      routing.Dialect
	Store        func(address string, client *http.Client) Store
	Duties       func(address string, client *http.Client) duty.API // nil if the platform has none
	DecodeConfig func([]byte) (routing.Config, error)
	DecodeMember func(id string, data []byte) (fleet.Member, error)
	KindConfig   string // kind of the configuration object
	NameConfig   string // name of the configuration object
	KindMembers  string // kind of the replica registrations
	KindHosts    string // kind of the host registrations, which the gateways write themselves
	KindParts    string // kind of the refused prompt parts, which the gateways write themselves
	KindRequests string // kind of the refused requests, which the gateways write themselves
	KindVersions string // kind of the software versions of upstreams, which the gateways write themselves
	KindStreams  string // kind of the incomplete streams of hosts, which the gateways write themselves
	KindDuties   string // kind of the lease of the duties, which the gateways write themselves
}

// Store is what the program needs of the platform's store.
type Store interface {
	objectstore.Store
	objectstore.ConditionalStore
}

// Program is the heatherbarrow-gateway process.
type Program struct {
	settings *Settings
	adapter  Adapter

	logger        zerolog.Logger
	fleet         *fleet.Fleet
	budget        *proxy.Budget
	client        *upstream.Client
	requestMemory *membudget.Budget
	origins       *origin.Tracker
	state         *state.State
	role          *state.Role
	peers         *peers.Exchange
	server        *proxy.Server
	store         Store
	duties        *dutyService  // nil if there are none
	dutyGauges    dutyGauges    // used only by runHousekeeping
	streamsStored atomic.Bool   // this host has written its incomplete streams to the store
	newEra        chan struct{} // a value means that the store came back from a copy
	metrics       *telemetry.Metrics
	started       time.Time
	loggedShares  map[zoneKey]loggedShare      // used only by runHousekeeping
	loggedModels  map[string]fleet.EngineModel // engine speeds logged last, by name of the upstream; used only by runHousekeeping

	suspensionMu   sync.Mutex
	suspensions    *boottime.Detector
	suspendedTotal time.Duration // since the start
}

// NewProgram returns a program. The settings may be filled in until Run is called.
func NewProgram(s *Settings, adapter Adapter) *Program {
	return &Program{settings: s, adapter: adapter, loggedShares: make(map[zoneKey]loggedShare)}
}

// Run serves until ctx ends, then drains and returns. A value of cli.Reload reloads the settings file.
func (p *Program) Run(ctx context.Context) error {
	debug.SetGCPercent(gcPercent)
	debug.SetMemoryLimit(int64(memoryLimitFraction * float64(p.settings.MemoryLimitMB) * (1 << 20)))
	out := telemetry.NewAsyncWriter(os.Stdout)
	logUntil := time.Now().Add(math.MaxInt64)
	defer func() { out.CloseBefore(logUntil) }()
	var err error
	p.logger, err = telemetry.NewLogger(out, p.settings.LogLevel, programName, p.settings.Host, p.settings.AvailabilityZone)
	if err != nil {
		return err
	}
	telemetry.RedirectStandardLog(p.logger)
	p.metrics = telemetry.NewMetrics(p.settings.Host, p.settings.AvailabilityZone)
	defer func() { _ = p.metrics.Close() }()
	p.started = time.Now()
	registry, err := p.registerServices()
	if err != nil {
		return err
	}
	serviceCtx, cancelServices := context.WithCancel(context.WithoutCancel(ctx))
	defer cancelServices()
	if err := registry.Start(serviceCtx); err != nil {
		return err
	}
	p.logger.Info().Str("listen", p.settings.Listen).Str("store", p.settings.Store).Str("build", cli.Build()).Msg("started")
	go p.runHousekeeping(serviceCtx)
	for {
		select {
		case <-cli.Reload(ctx):
			p.reload(cli.SettingsFile(ctx))
			continue
		case <-ctx.Done():
		}
		break
	}
	grace := time.Duration(p.settings.GraceSeconds * float64(time.Second))
	margin := min(shutdownMargin, grace/shutdownMarginDivisor)
	deadline := time.Now().Add(grace - margin)
	logUntil = deadline.Add(margin / 2)
	return p.shutdown(registry, grace, deadline)
}

// registerServices creates the services of the program and registers and provisions
// them.
func (p *Program) registerServices() (*kernel.Registry, error) {
	events := bus.New()
	p.newEra = make(chan struct{}, 1)
	p.fleet = fleet.New(fleet.Options{Zone: p.settings.AvailabilityZone, Model: p.settings.Engines.engineModel(), Seed: rand.Uint64(), ZoneOverflow: p.settings.fleetZoneOverflow()})
	p.budget = proxy.NewBudget(clockwork.NewRealClock(), p.started, p.settings.RetryShare, p.settings.RetrySlack, minHosts)
	p.budget.AwaitHosts()
	p.client = upstream.NewClient(netio.Dial, p.settings.bufferBudget(answerMultiple))
	p.requestMemory = p.settings.bufferBudget(requestMultiple)
	p.origins = origin.NewTracker()
	p.suspensions = boottime.NewDetector()
	p.state = state.New(state.Options{
		Bus: events, Fleet: p.fleet, Origins: p.origins, Decode: p.adapter.DecodeConfig, Logger: p.logger,
		MaxWithdrawTime: p.settings.WithdrawWithin.Std(), MaxConfigDelay: p.settings.configDelay(), RegistrationLapse: p.settings.registrationLapse(),
		OnStoreChange: func() { p.peers.Announce() },
		OnNewEra: func() {
			select {
			case p.newEra <- struct{}{}:
			default: // the store service has not taken the last one yet
			}
		},
	})
	p.role = state.NewRole()
	p.duties = newDutyService(p)
	stored := &storeService{program: p}
	p.peers = peers.New(peers.Options{
		Host: p.settings.Host, Zone: p.settings.AvailabilityZone, Listen: p.settings.PeerListen,
		BeatPort: p.settings.BeatPort, Seeds: p.settings.Seeds, State: p.state, Fleet: p.fleet, Origins: p.origins,
		Dial: netio.Dial, Logger: p.logger, Status: p.status, OnHostCount: p.budget.SetHosts, Role: p.role,
		Usage: p.duties.usage(), ReadMembers: stored.readMembers, ReadStreams: p.readStreams,
	})
	p.server = proxy.New(proxy.Options{
		Dialect: p.adapter.Dialect, Fleet: p.fleet, Budget: p.budget, Client: p.client, Origins: p.peers, Helpers: p.peers,
		Table: p.state.Table, Known: p.state.Known, RegistrationsCurrent: p.peers.RegistrationsCurrent, RefreshRegistrations: p.peers.Refresh, RequestMemory: p.requestMemory, SendMemory: p.settings.bufferBytes(),
		ObserveSuspension: func() { p.observeSuspension() }, CountRun: p.duties.countRun(), BeginRun: p.duties.beginRun(), Logger: p.logger, Metrics: p.metrics.Scope,
	})
	p.store = p.adapter.Store(p.settings.Store, &http.Client{Transport: netio.DropIdleAfterFailure(httphead.NewTransport(&http.Transport{
		DialContext: netio.Dial, MaxIdleConnsPerHost: maxIdleStoreConns, DisableCompression: true, MaxResponseHeaderBytes: netio.MaxHeaderBytes,
	}))})
	registry := kernel.NewRegistry()
	callersNeed := []string{"state", "peers"}
	if p.duties != nil {
		callersNeed = append(callersNeed, p.duties.Name()) // it tells the final counts of usage once the requests have ended
	}
	services := []kernel.Service{
		events,
		p.state,
		p.peers,
		stored,
		&listen.Service{
			ServiceName: "hosts", Address: p.settings.PeerListen, Needs: []string{"peers"}, Logger: p.logger,
			Server: func(*kernel.Registry) (*http.Server, error) { return &http.Server{Handler: p.internalHandler()}, nil },
		},
		&listen.Service{
			ServiceName: "ready", Address: p.settings.ReadyListen, Needs: []string{"state"}, Logger: p.logger,
			Server: func(*kernel.Registry) (*http.Server, error) {
				return &http.Server{Handler: p.server.ReadyHandler()}, nil
			},
		},
		&listen.Service{
			ServiceName: "callers", Address: p.settings.Listen, Needs: callersNeed, Logger: p.logger,
			Wrap:   p.server.WrapTimeouts,
			Server: func(*kernel.Registry) (*http.Server, error) { return p.server.HTTPServer(), nil },
		},
	}
	if p.duties != nil {
		services = append(services, p.duties)
	}
	for _, s := range services {
		if err := registry.Register(s); err != nil {
			return nil, err
		}
	}
	return registry, registry.Provision()
}

// engineModel returns the configured engine speeds, with defaults for zero fields.
func (e Engines) engineModel() fleet.EngineModel {
	m := fleet.EngineModel{
		PrefillTokensPerMs: e.PrefillTokensPerMs, Step: e.Step.Std(), StepPerRequest: e.StepPerRequest.Std(), First: e.First.Std(),
		Chunk: e.Chunk,
	}
	if m.PrefillTokensPerMs == 0 {
		m.PrefillTokensPerMs = defaultPrefillTokensPerMs
	}
	if m.Step == 0 {
		m.Step = defaultStep
	}
	if m.StepPerRequest == 0 {
		m.StepPerRequest = defaultStepPerRequest
	}
	if m.Chunk == 0 {
		m.Chunk = defaultChunkTokens
	}
	if m.First == 0 {
		m.First = defaultFirstToken
	}
	return m
}

// internalHandler returns the handler of peer_listen, which serves the metrics and the RPCs
// between hosts.
func (p *Program) internalHandler() http.Handler {
	r := chi.NewRouter()
	r.Handle("/metrics", p.metrics.Handler)
	r.Mount("/twirp/", p.peers.Handler())
	r.Handle(proxy.DelegatePath+"/*", p.server.DelegateHandler())
	return r
}

// runHousekeeping runs the periodic work until ctx ends: it detects suspensions of the
// host, closes expired idle connections, updates the gauges, logs engine speeds and ends
// the expired holds of the state.
func (p *Program) runHousekeeping(ctx context.Context) {
	ticker := time.NewTicker(housekeepingInterval)
	defer ticker.Stop()
	suspended := time.Duration(0)
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		now := time.Now()
		if total := p.observeSuspension(); total > suspended {
			p.logger.Warn().Dur("suspended_ms", total-suspended).Msg("host was suspended, closing idle connections that expired meanwhile")
			now, suspended = now.Add(total-suspended), total
		}
		p.client.CloseIdle(now)
		p.updateGauges()
		p.reportZoneShares(time.Now())
		p.logEngineSpeeds()
		p.logPartChanges()
		if err := p.state.Tick(); err != nil {
			return // the program is stopping
		}
	}
}

// observeSuspension records suspensions of the host since the previous call, and returns how long it has been suspended since the start.
func (p *Program) observeSuspension() time.Duration {
	p.suspensionMu.Lock()
	defer p.suspensionMu.Unlock()
	if suspended := p.suspensions.SinceLastCall(); suspended > 0 {
		p.suspendedTotal += suspended
		p.server.AddSuspension(suspended)
	}
	return p.suspendedTotal
}

// updateGauges reports this host's view of the configuration, the store, the hosts, the
// replicas and the engine speeds as metrics.
func (p *Program) updateGauges() {
	scope := p.metrics.Scope
	scope.Gauge("config_version").Update(float64(p.state.ConfigVersion()))
	reachable := 0.0
	if p.state.StoreReachable() {
		reachable = 1
	}
	scope.Gauge("store_reachable").Update(reachable)
	cutOff := 0.0
	if p.fleet.CutOff() {
		cutOff = 1
	}
	scope.Gauge("cut_off_from_replicas").Update(cutOff)
	scope.Gauge("hosts_heard").Update(float64(p.fleet.Hosts()))
	scope.Gauge("prompt_parts_refused").Update(float64(len(p.fleet.RefusedParts(time.Now()))))
	scope.Gauge("requests_in_progress").Update(float64(p.server.Active()))
	scope.Gauge("answer_memory_bytes").Update(float64(p.client.HeldBytes()))
	scope.Gauge("request_memory_bytes").Update(float64(p.requestMemory.Held()))
	p.dutyGauges.update(p.duties)
	if t := p.state.Table(); t != nil {
		for _, u := range t.Upstreams {
			known, usable := p.fleet.ReplicaCounts(u.Name, time.Now())
			upstreamScope := scope.Tagged(map[string]string{"upstream": u.Name})
			upstreamScope.Gauge("replicas").Update(float64(known))
			upstreamScope.Gauge("replicas_usable").Update(float64(usable))
			upstreamScope.Gauge("replicas_limited").Update(float64(p.fleet.LimitedReplicas(u.Name)))
			upstreamScope.Gauge("replicas_rejecting").Update(float64(p.fleet.RejectingReplicas(u.Name, time.Now())))
		}
	}
	for _, s := range p.fleet.Speeds() {
		upstreamScope := scope.Tagged(map[string]string{"upstream": s.Upstream})
		upstreamScope.Gauge("engine_prompt_tokens_per_ms").Update(s.Model.PrefillTokensPerMs)
		upstreamScope.Gauge("engine_step_seconds").Update(s.Model.Step.Seconds())
		upstreamScope.Gauge("engine_first_token_seconds").Update(s.Model.First.Seconds())
	}
}

// logPartChanges logs the prompt parts and requests whose quarantine began or ended.
func (p *Program) logPartChanges() {
	for _, c := range p.fleet.TakePartChanges() {
		if c.Request {
			p.logger.Warn().Str("fingerprint", poisonpart.Name(c.Part)).Bool("quarantined", c.Quarantined).Msg("quarantine of request changed")
			continue
		}
		p.logger.Warn().Str("part", poisonpart.Name(c.Part)).Bool("quarantined", c.Quarantined).Msg("quarantine of prompt part changed")
	}
}

// minLoggedSpeedChange is the smallest relative change of an estimated engine speed that
// is logged.
const minLoggedSpeedChange = 0.2

// logEngineSpeeds logs the engine speeds that this host has estimated for each upstream
// when they change by minLoggedSpeedChange or more.
func (p *Program) logEngineSpeeds() {
	for _, s := range p.fleet.Speeds() {
		previous, known := p.loggedModels[s.Upstream]
		if known && math.Abs(s.Model.PrefillTokensPerMs/previous.PrefillTokensPerMs-1) < minLoggedSpeedChange &&
			math.Abs(float64(s.Model.First-previous.First)) < minLoggedSpeedChange*float64(previous.First) &&
			math.Abs(float64(s.Model.Step-previous.Step)) < minLoggedSpeedChange*float64(previous.Step) {
			continue
		}
		if p.loggedModels == nil {
			p.loggedModels = make(map[string]fleet.EngineModel)
		}
		p.loggedModels[s.Upstream] = s.Model
		p.logger.Info().Str("upstream", s.Upstream).Float64("samples", s.Prompts.Weight).Float64("prompt_tokens_per_ms", s.Model.PrefillTokensPerMs).
			Dur("first_ms", s.Model.First).Dur("step_ms", s.Model.Step).Dur("step_per_request_ms", s.Model.StepPerRequest).
			Msg("engine speed estimate changed")
	}
}

// reload reads the settings file again and applies its seeds, log level and retry
// bounds. All other settings need a restart. Invalid settings change nothing.
func (p *Program) reload(path string) {
	var next Settings
	if err := settings.Load(path, &next); err != nil {
		p.logger.Error().Err(err).Str("file", path).Msg("settings cannot be read, keeping the previous settings")
		return
	}
	level, err := zerolog.ParseLevel(next.LogLevel)
	if err != nil {
		p.logger.Error().Err(err).Str("file", path).Msg("settings cannot be read, keeping the previous settings")
		return
	}
	zerolog.SetGlobalLevel(level)
	p.budget.SetBounds(next.RetryShare, next.RetrySlack)
	for _, seed := range next.Seeds {
		p.peers.Add(seed)
	}
	p.logger.Info().Str("file", path).Int("seeds", len(next.Seeds)).Float64("retry_share", next.RetryShare).
		Float64("retry_slack", next.RetrySlack).Bool("restart_needed", !p.settings.sameRestartSettings(&next)).Msg("settings reloaded")
}

// shutdown drains the host. It reports the host as not ready at once and keeps serving
// the connections that the balancer still sends. After the balancer lag it closes the
// listener and the idle connections, so that callers connect to other hosts, and returns
// when the in-flight requests have finished or the grace period is about to end; shortly
// before, those that are still in progress are answered.
func (p *Program) shutdown(registry *kernel.Registry, grace time.Duration, deadline time.Time) error {
	start := time.Now()
	lag := cmp.Or(p.settings.BalancerLag.Std(), defaultBalancerLag)
	p.server.Drain(start.Add(lag), deadline.Add(-drain.AnswerMargin(grace)))
	p.logger.Info().Time("until", deadline).Msg("draining")
	p.duties.yield()
	time.Sleep(min(lag, time.Until(deadline)))
	ctx, cancel := context.WithDeadline(context.Background(), deadline)
	defer cancel()
	inFlight := p.server.Active()
	err := registry.Stop(ctx)
	p.logger.Info().Int64("in_progress_at_close", inFlight).Int64("in_progress", p.server.Active()).
		Dur("drained_ms", time.Since(start)).Err(err).Msg("stopped")
	return err
}

var _ settings.Validator = (*Settings)(nil)
