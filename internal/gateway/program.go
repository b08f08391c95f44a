package gateway

import (
	"context"
	"math"
	"math/rand/v2"
	"net/http"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/go-chi/chi/v5"
	"github.com/jonboulle/clockwork"
	"github.com/rs/zerolog"

	"heatherbarrow/internal/bus"
	"heatherbarrow/internal/cli"
	"heatherbarrow/internal/gateway/fleet"
	"heatherbarrow/internal/gateway/netio"
	"heatherbarrow/internal/gateway/peers"
	"heatherbarrow/internal/gateway/proxy"
	"heatherbarrow/internal/gateway/routing"
	"heatherbarrow/internal/gateway/state"
	"heatherbarrow/internal/gateway/upstream"
	"heatherbarrow/internal/kernel"
	"heatherbarrow/internal/listen"
	"heatherbarrow/internal/objectstore"
	"heatherbarrow/internal/settings"
	"heatherbarrow/internal/telemetry"
)

const (
	programName = "heatherbarrow-gateway"
	// gcPercent trades processor time for memory, which is dear on small hosts.
	gcPercent = 50
	// memoryShare is the part of the memory limit at which the collector works
	// harder instead of letting the process be killed.
	memoryShare = 0.7
	// tickInterval is the pause between housekeeping runs.
	tickInterval = 500 * time.Millisecond
	// defaultBalancerLag is how long the balancer may still send connections to a
	// host that is no longer ready: two checks a second apart, and one on its way.
	defaultBalancerLag = 2500 * time.Millisecond
	// stopMargin is kept free at the end of the grace time.
	stopMargin = 700 * time.Millisecond
	// minHosts is the number of hosts assumed to share the retry slack until more
	// are known.
	minHosts = 4
	// storeIdle is the number of idle connections to the store: one for each kind
	// that is followed.
	storeIdle = 3
)

// The engines' data sheet.
const (
	sheetPrefillTokensPerMs = 36.1
	sheetStep               = 3470 * time.Microsecond
	sheetStepPerRequest     = 160 * time.Microsecond
	sheetFirst              = 19 * time.Millisecond
	sheetChunk              = 2048 // tokens
)

// Adapter is what the program needs of the platform that it runs on.
type Adapter struct {
	Dialect      routing.Dialect
	Store        func(address string, client *http.Client) objectstore.Store
	DecodeConfig func([]byte) (routing.Config, error)
	DecodeMember func(id string, data []byte) (fleet.Member, error)
	KindConfig   string // kind of the configuration object
	NameConfig   string // name of the configuration object
	KindMembers  string // kind of the replicas' registrations
	KindHosts    string // kind of this product's own registrations of hosts
}

// Program is heatherbarrow-gateway.
type Program struct {
	settings *Settings
	adapter  Adapter

	logger  zerolog.Logger
	fleet   *fleet.Fleet
	budget  *proxy.Budget
	client  *upstream.Client
	state   *state.State
	role    *state.Role
	peers   *peers.Exchange
	server  *proxy.Server
	store   objectstore.Store
	metrics *telemetry.Metrics
	started time.Time
	logged  map[string]fleet.EngineModel // speeds last logged; used by housekeeping alone
}

// NewProgram returns a program with settings that are filled in before Run.
func NewProgram(s *Settings, adapter Adapter) *Program {
	return &Program{settings: s, adapter: adapter}
}

// Run serves until ctx ends, then drains and returns.
func (p *Program) Run(ctx context.Context) error {
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	defer signal.Stop(hup)
	debug.SetGCPercent(gcPercent)
	debug.SetMemoryLimit(int64(memoryShare * float64(p.settings.MemoryLimitMB) * (1 << 20)))
	out := telemetry.NewAsyncWriter(os.Stdout)
	defer func() { _ = out.Close() }()
	var err error
	p.logger, err = telemetry.NewLogger(out, p.settings.LogLevel, programName, p.settings.Host, p.settings.AvailabilityZone)
	if err != nil {
		return err
	}
	telemetry.RedirectStandardLog(p.logger)
	p.metrics = telemetry.NewMetrics(p.settings.Host, p.settings.AvailabilityZone)
	defer func() { _ = p.metrics.Close() }()
	p.started = time.Now()
	registry, err := p.compose()
	if err != nil {
		return err
	}
	work, stopWork := context.WithCancel(context.WithoutCancel(ctx))
	defer stopWork()
	if err := registry.Start(work); err != nil {
		return err
	}
	p.logger.Info().Str("listen", p.settings.Listen).Str("store", p.settings.Store).Msg("started")
	go p.housekeeping(work)
	for {
		select {
		case <-hup:
			p.reload(cli.SettingsFile(ctx))
			continue
		case <-ctx.Done():
		}
		break
	}
	return p.stop(registry)
}

// compose makes the services of the program.
func (p *Program) compose() (*kernel.Registry, error) {
	events := bus.New()
	p.fleet = fleet.New(fleet.Options{Zone: p.settings.AvailabilityZone, Model: p.settings.Engines.model(), Seed: rand.Uint64()})
	p.budget = proxy.NewBudget(clockwork.NewRealClock(), p.settings.RetryShare, p.settings.RetrySlack, minHosts)
	p.client = upstream.NewClient(netio.Dial)
	p.state = state.New(state.Options{
		Bus: events, Fleet: p.fleet, Decode: p.adapter.DecodeConfig, Logger: p.logger,
		Withdraw: p.settings.WithdrawWithin.Std(), Changed: func() { p.peers.Announce() },
	})
	p.role = state.NewRole()
	p.peers = peers.New(peers.Options{
		Host: p.settings.Host, Zone: p.settings.AvailabilityZone, Listen: p.settings.PeerListen,
		BeatPort: p.settings.BeatPort, Seeds: p.settings.Seeds, State: p.state, Fleet: p.fleet,
		Dial: netio.Dial, Logger: p.logger, Status: p.status, Heard: p.budget.SetHosts, Role: p.role,
	})
	p.server = proxy.New(proxy.Options{
		Dialect: p.adapter.Dialect, Fleet: p.fleet, Budget: p.budget, Client: p.client,
		Table: p.state.Table, Known: p.state.Known, Logger: p.logger, Metrics: p.metrics.Scope,
	})
	p.store = p.adapter.Store(p.settings.Store, &http.Client{Transport: &http.Transport{
		DialContext: netio.Dial, MaxIdleConnsPerHost: storeIdle, DisableCompression: true, MaxResponseHeaderBytes: netio.MaxHead,
	}})
	registry := kernel.NewRegistry()
	services := []kernel.Service{
		events,
		p.state,
		p.peers,
		&storeService{program: p},
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
			ServiceName: "callers", Address: p.settings.Listen, Needs: []string{"state", "peers"}, Logger: p.logger,
			Wrap:   p.server.WrapTimeouts,
			Server: func(*kernel.Registry) (*http.Server, error) { return p.server.HTTPServer(), nil },
		},
	}
	for _, s := range services {
		if err := registry.Register(s); err != nil {
			return nil, err
		}
	}
	return registry, registry.Provision()
}

func (e Engines) model() fleet.EngineModel {
	m := fleet.EngineModel{
		PrefillTokensPerMs: e.PrefillTokensPerMs, Step: e.Step.Std(), StepPerRequest: e.StepPerRequest.Std(), First: e.First.Std(),
		Chunk: e.Chunk,
	}
	if m.PrefillTokensPerMs == 0 {
		m.PrefillTokensPerMs = sheetPrefillTokensPerMs
	}
	if m.Step == 0 {
		m.Step = sheetStep
	}
	if m.StepPerRequest == 0 {
		m.StepPerRequest = sheetStepPerRequest
	}
	if m.Chunk == 0 {
		m.Chunk = sheetChunk
	}
	if m.First == 0 {
		m.First = sheetFirst
	}
	return m
}

func (p *Program) internalHandler() http.Handler {
	r := chi.NewRouter()
	r.Handle("/metrics", p.metrics.Handler)
	r.Mount("/twirp/", p.peers.Handler())
	return r
}

// housekeeping does the work that depends on time alone.
func (p *Program) housekeeping(ctx context.Context) {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	suspended := newSuspension()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		now := time.Now()
		if slept := suspended.since(); slept > 0 {
			p.logger.Warn().Dur("suspended_ms", slept).Msg("host was suspended; idle connections are closed")
			now = now.Add(slept)
			p.server.Suspended(slept)
		}
		p.client.CloseIdle(now)
		p.updateGauges()
		p.logSpeeds()
		if err := p.state.Tick(); err != nil {
			return // the program is stopping
		}
	}
}

// updateGauges tells what the host believes.
func (p *Program) updateGauges() {
	scope := p.metrics.Scope
	scope.Gauge("config_version").Update(float64(p.state.ConfigVersion()))
	reachable := 0.0
	if p.state.StoreReachable() {
		reachable = 1
	}
	scope.Gauge("store_reachable").Update(reachable)
	scope.Gauge("hosts_heard").Update(float64(p.fleet.Hosts()))
	scope.Gauge("requests_in_progress").Update(float64(p.server.Active()))
	if t := p.state.Table(); t != nil {
		for _, u := range t.Upstreams {
			known, usable := p.fleet.ReplicaCounts(u.Name, time.Now())
			upstream := scope.Tagged(map[string]string{"upstream": u.Name})
			upstream.Gauge("replicas").Update(float64(known))
			upstream.Gauge("replicas_usable").Update(float64(usable))
		}
	}
	for _, s := range p.fleet.Speeds() {
		upstream := scope.Tagged(map[string]string{"upstream": s.Upstream})
		upstream.Gauge("engine_prompt_tokens_per_ms").Update(s.Model.PrefillTokensPerMs)
		upstream.Gauge("engine_step_seconds").Update(s.Model.Step.Seconds())
		upstream.Gauge("engine_first_token_seconds").Update(s.Model.First.Seconds())
	}
}

// speedChange is the relative change of a learned speed that is worth a log line.
const speedChange = 0.2

// logSpeeds tells what this host has learned of the engines, when it changes.
func (p *Program) logSpeeds() {
	for _, s := range p.fleet.Speeds() {
		before, known := p.logged[s.Upstream]
		if known && math.Abs(s.Model.PrefillTokensPerMs/before.PrefillTokensPerMs-1) < speedChange &&
			math.Abs(float64(s.Model.First-before.First)) < speedChange*float64(before.First) &&
			math.Abs(float64(s.Model.Step-before.Step)) < speedChange*float64(before.Step) {
			continue
		}
		if p.logged == nil {
			p.logged = make(map[string]fleet.EngineModel)
		}
		p.logged[s.Upstream] = s.Model
		p.logger.Info().Str("upstream", s.Upstream).Float64("samples", s.Prompts.Weight).Float64("prompt_tokens_per_ms", s.Model.PrefillTokensPerMs).
			Dur("first_ms", s.Model.First).Dur("step_ms", s.Model.Step).Dur("step_per_request_ms", s.Model.StepPerRequest).
			Msg("speed of engines learned")
	}
}

// reload reads the settings file again. Seeds, log level and retry bounds take
// effect; addresses and the rest need a restart. Wrong settings change nothing.
func (p *Program) reload(path string) {
	var next Settings
	if err := settings.Load(path, &next); err != nil {
		p.logger.Error().Err(err).Str("file", path).Msg("settings cannot be read; those before stay in force")
		return
	}
	level, err := zerolog.ParseLevel(next.LogLevel)
	if err != nil {
		p.logger.Error().Err(err).Str("file", path).Msg("settings cannot be read; those before stay in force")
		return
	}
	zerolog.SetGlobalLevel(level)
	p.budget.SetBounds(next.RetryShare, next.RetrySlack)
	for _, seed := range next.Seeds {
		p.peers.Add(seed)
	}
	p.logger.Info().Str("file", path).Int("seeds", len(next.Seeds)).Float64("retry_share", next.RetryShare).
		Float64("retry_slack", next.RetrySlack).Bool("restart_needed", !p.settings.sameAddresses(&next)).Msg("settings reloaded")
}

// stop drains: the host is not ready at once and serves what the balancer still
// sends. Then it closes its listener and the idle connections, so that callers
// turn to other hosts, and ends when the requests in progress have.
func (p *Program) stop(registry *kernel.Registry) error {
	began := time.Now()
	ends := began.Add(time.Duration(p.settings.GraceSeconds*float64(time.Second)) - stopMargin)
	p.server.Drain()
	p.logger.Info().Time("until", ends).Msg("draining")
	lag := p.settings.BalancerLag.Std()
	if lag == 0 {
		lag = defaultBalancerLag
	}
	time.Sleep(min(lag, time.Until(ends)))
	ctx, cancel := context.WithDeadline(context.Background(), ends)
	defer cancel()
	active := p.server.Active()
	err := registry.Stop(ctx)
	p.logger.Info().Int64("in_progress_at_close", active).Int64("in_progress", p.server.Active()).
		Dur("drained_ms", time.Since(began)).Err(err).Msg("stopped")
	return err
}

var _ settings.Validator = (*Settings)(nil)
