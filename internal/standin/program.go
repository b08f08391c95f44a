// Package standin runs the stand-ins of heatherbarrow-standin.
package standin

import (
	"context"
	"net/http"
	"net/netip"
	"os"
	"time"

	"github.com/rs/zerolog"

	"heatherbarrow/internal/settings"
	"heatherbarrow/internal/standin/engine"
	"heatherbarrow/internal/standin/platform"
	"heatherbarrow/internal/standin/service"
	"heatherbarrow/internal/telemetry"
	"heatherbarrow/internal/tlsconf"
)

const (
	programName          = "heatherbarrow-standin"
	readHeaderTimeout    = 10 * time.Second
	defaultSlots         = 16
	defaultStepTime      = 20 * time.Millisecond
	defaultTokensPerStep = 32
	defaultPrefillTokens = 512
)

// Settings are the settings of heatherbarrow-standin.
type Settings struct {
	Role          string            `json:"role"`   // "engine", "service" or "platform"
	Listen        string            `json:"listen"` // IP:port
	Models        []string          `json:"models,omitempty"`
	Slots         int               `json:"slots,omitempty"`
	StepTime      settings.Duration `json:"step_time,omitzero"`
	TokensPerStep int               `json:"tokens_per_step,omitempty"`
	PrefillTokens int               `json:"prefill_tokens,omitempty"` // prompt tokens processed in one step
	ChecksFencing bool              `json:"checks_fencing,omitempty"`
	ReportLag     settings.Duration `json:"report_lag,omitzero"`         // age of an engine's load figures; default 500ms
	LoadTime      settings.Duration `json:"load_time,omitzero"`          // time that loading a model takes; default 1s
	Seed          uint64            `json:"seed,omitempty"`              // seed of the gaps in cache events
	ReadsPerSec   int               `json:"reads_per_second,omitempty"`  // platform; default 2000
	WritesPerSec  int               `json:"writes_per_second,omitempty"` // platform; default 300
	TLS           tlsconf.Files     `json:"tls,omitzero"`
}

// Validate implements settings.Validator.
func (s *Settings) Validate() error {
	if s.Role != "engine" && s.Role != "service" && s.Role != "platform" {
		return settings.Errorf("role", "is %q, must be engine, service or platform", s.Role)
	}
	if _, err := netip.ParseAddrPort(s.Listen); err != nil {
		return settings.Errorf("listen", "%q is not an IP address with a port", s.Listen)
	}
	if s.Role == "engine" && len(s.Models) == 0 {
		return settings.Errorf("models", "an engine needs at least one model")
	}
	if s.Role != "engine" && len(s.Models) > 0 {
		return settings.Errorf("models", "only an engine has models")
	}
	if s.Slots < 0 || s.TokensPerStep < 0 || s.PrefillTokens < 0 || s.StepTime < 0 ||
		s.ReportLag < 0 || s.LoadTime < 0 || s.ReadsPerSec < 0 || s.WritesPerSec < 0 {
		return settings.Errorf("", "numbers must not be negative")
	}
	s.setDefaults()
	return nil
}

func (s *Settings) setDefaults() {
	if s.Slots == 0 {
		s.Slots = defaultSlots
	}
	if s.StepTime == 0 {
		s.StepTime = settings.Duration(defaultStepTime)
	}
	if s.TokensPerStep == 0 {
		s.TokensPerStep = defaultTokensPerStep
	}
	if s.PrefillTokens == 0 {
		s.PrefillTokens = defaultPrefillTokens
	}
}

// Program is heatherbarrow-standin.
type Program struct{ settings *Settings }

// NewProgram returns a program with settings that are filled in before Run.
func NewProgram(s *Settings) *Program { return &Program{settings: s} }

// Run serves until ctx ends.
func (p *Program) Run(ctx context.Context) error {
	listener, err := tlsconf.Listen(ctx, p.settings.Listen, p.settings.TLS)
	if err != nil {
		return err
	}
	logger := zerolog.New(os.Stderr).With().Timestamp().Str("program", programName).Str("role", p.settings.Role).Logger()
	server := &http.Server{
		Handler: p.handler(ctx), ReadHeaderTimeout: readHeaderTimeout, ErrorLog: telemetry.NewErrorLog(logger, p.settings.Listen),
	}
	go func() {
		<-ctx.Done()
		_ = server.Close()
	}()
	if err := server.Serve(listener); ctx.Err() == nil {
		return err
	}
	return nil
}

func (p *Program) handler(ctx context.Context) http.Handler {
	switch p.settings.Role {
	case "engine":
		e := engine.New(engine.Options{
			Models: p.settings.Models, Slots: p.settings.Slots, StepTime: p.settings.StepTime.Std(),
			TokensPerStep: p.settings.TokensPerStep, PrefillTokens: p.settings.PrefillTokens,
			ChecksFencing: p.settings.ChecksFencing, ReportLag: p.settings.ReportLag.Std(),
			LoadTime: p.settings.LoadTime.Std(), Seed: p.settings.Seed,
		})
		go e.Run(ctx)
		return e.Handler()
	case "service":
		return service.New().Handler()
	default:
		server := platform.New()
		server.SetRates(p.settings.ReadsPerSec, p.settings.WritesPerSec)
		return server.Handler()
	}
}
