// Package hbctl implements the operators' command line.
package hbctl

import (
	"context"
	"crypto/ed25519"
	"encoding/hex"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/jessevdk/go-flags"

	"heatherbarrow/internal/bundle"
	"heatherbarrow/internal/cli"
	"heatherbarrow/internal/httphead"
	"heatherbarrow/internal/objectstore"
	"heatherbarrow/internal/rollout"
	"heatherbarrow/internal/settings"
	"heatherbarrow/internal/tlsconf"
)

// commandTimeout bounds one command.
const commandTimeout = 30 * time.Second

// Settings are the settings of hbctl.
type Settings struct {
	Platform    string            `json:"platform"`  // base URL of the platform's object API
	Operators   map[string]string `json:"operators"` // operator to Ed25519 public key in hex
	Operator    string            `json:"operator"`  // who uses this file
	KeyFile     string            `json:"key_file"`  // Ed25519 seed in hex
	Controls    []string          `json:"controls"`  // operator addresses of the hosts, IP:port
	PlatformTLS tlsconf.Files     `json:"platform_tls,omitzero"`
	InternalTLS tlsconf.Files     `json:"internal_tls,omitzero"`
	// KeepGenerations is how many generations of bundles and proposals stay
	// stored. Default 1200, a day's changes at the target scale.
	KeepGenerations uint64 `json:"keep_generations"`
}

// minKeepGenerations leaves something to go back to.
const minKeepGenerations = 2

// Validate implements settings.Validator.
func (s *Settings) Validate() error {
	if s.KeepGenerations < minKeepGenerations {
		return settings.Errorf("keep_generations", "must be at least %d", minKeepGenerations)
	}
	if s.Platform == "" {
		return settings.Errorf("platform", "must not be empty")
	}
	if _, err := rollout.ParseOperators(s.Operators); err != nil {
		return settings.Errorf("operators", "%v", err)
	}
	if _, ok := s.Operators[s.Operator]; !ok {
		return settings.Errorf("operator", "%q is not in operators", s.Operator)
	}
	return nil
}

type app struct {
	opts     cli.Options
	settings Settings
	stdout   io.Writer
	store    *rollout.Store
	http     *http.Client
	scheme   string
}

// command is a subcommand without flags of its own.
type command struct {
	app     *app
	offline bool // needs no settings
	timeout time.Duration
	run     func(ctx context.Context, args []string) error
}

// Execute implements flags.Commander.
func (c *command) Execute(args []string) error {
	if c.offline {
		return c.run(context.Background(), args)
	}
	if err := c.app.load(); err != nil {
		return &settingsError{err}
	}
	if c.app.opts.Check {
		fmt.Fprintln(c.app.stdout, c.app.opts.Config+": ok")
		return nil
	}
	timeout := c.timeout
	if timeout == 0 {
		timeout = commandTimeout
	}
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	return c.run(ctx, args)
}

type settingsError struct{ err error }

func (e *settingsError) Error() string { return e.err.Error() }

// Main runs hbctl and returns its exit code.
func Main(args []string, stdout, stderr io.Writer) int {
	a := &app{stdout: stdout, settings: Settings{KeepGenerations: 1200}}
	parser := flags.NewNamedParser("hbctl", flags.HelpFlag|flags.PassDoubleDash)
	parser.SubcommandsOptional = true
	if _, err := parser.AddGroup("Options", "", &a.opts); err != nil {
		fmt.Fprintln(stderr, "hbctl:", err)
		return cli.ExitFailure
	}
	if err := a.addCommands(parser.Command); err != nil {
		fmt.Fprintln(stderr, "hbctl:", err)
		return cli.ExitFailure
	}
	_, err := parser.ParseArgs(args)
	if err == nil && parser.Active == nil {
		err = a.withoutCommand()
	}
	return exitCode(err, stdout, stderr)
}

func exitCode(err error, stdout, stderr io.Writer) int {
	var flagErr *flags.Error
	var settingsErr *settingsError
	switch {
	case err == nil:
		return cli.ExitOK
	case errors.As(err, &flagErr) && flagErr.Type == flags.ErrHelp:
		fmt.Fprintln(stdout, flagErr.Message)
		return cli.ExitOK
	case errors.As(err, &flagErr), errors.As(err, &settingsErr):
		fmt.Fprintln(stderr, "hbctl:", err)
		return cli.ExitSettings
	default:
		fmt.Fprintln(stderr, "hbctl:", err)
		return cli.ExitFailure
	}
}

func (a *app) withoutCommand() error {
	if a.opts.Version {
		fmt.Fprintln(a.stdout, "hbctl", cli.Build())
		return nil
	}
	if a.opts.Check {
		if err := a.load(); err != nil {
			return &settingsError{err}
		}
		fmt.Fprintln(a.stdout, a.opts.Config+": ok")
		return nil
	}
	return &settingsError{errors.New("a command is missing; see --help")}
}

type commandEntry struct {
	name string
	help string
	data any // a command, or a struct that embeds one beside its flags
}

func (a *app) commands() []commandEntry {
	status := &statusCommand{command: command{app: a}}
	status.run = status.print
	watch := &watchCommand{command: command{app: a, timeout: watchTimeout}}
	watch.run = watch.wait
	diff := &diffCommand{command: command{app: a}}
	diff.run = diff.print
	history := &historyCommand{command: command{app: a}}
	history.run = history.print
	lookup := &lookupCommand{command: command{app: a}}
	lookup.run = lookup.find
	gateways := &gatewaysCommand{command: command{app: a, offline: true}}
	gateways.run = gateways.print
	check := &checkCommand{command: command{app: a, offline: true}}
	check.run = check.check
	return []commandEntry{
		{"check", "find mistakes in a configuration file before it is rolled out, and compare it with the one in force", check},
		{"validate", "check a bundle file", &command{app: a, offline: true, run: a.validate}},
		{"public-key", "print the public key of an Ed25519 seed in hex", &command{app: a, offline: true, run: a.publicKey}},
		{"show", "print the bundle in force, or the one with the given hash", &command{app: a, run: a.show}},
		{"history", "list the stored proposals and bundles", history},
		{"diff", "compare a bundle file or a stored bundle with the bundle in force", diff},
		{"propose", "store a bundle file as a proposal", &command{app: a, run: a.propose}},
		{"approve", "approve a proposal by its hash", &command{app: a, run: a.approve}},
		{"rollout", "put an approved proposal in force", &command{app: a, run: a.rollout}},
		{"watch", "wait until a generation is in force in all zones", watch},
		{"status", "show hosts, replicas, zones and the bundle in force", status},
		{"drain", "drain a host by its name or operator address", &command{app: a, run: a.drain}},
		{"gateways", "show what gateways on the operators' platform believe and refuse, by their peer addresses", gateways},
		{"lookup", "show the outcome of a request", lookup},
	}
}

func (a *app) addCommands(parser *flags.Command) error {
	for _, c := range a.commands() {
		if _, err := parser.AddCommand(c.name, c.help, c.help, c.data); err != nil {
			return err
		}
	}
	const placementHelp = "show the placement of models"
	placement, err := parser.AddCommand("placement", placementHelp, placementHelp, &struct{}{})
	if err != nil {
		return err
	}
	const show = "print each engine's models, role, orders in progress and the latest decision"
	if _, err := placement.AddCommand("show", show, show, &command{app: a, run: a.showPlacement}); err != nil {
		return err
	}
	const help = "show or release quarantined requests"
	quarantine, err := parser.AddCommand("quarantine", help, help, &struct{}{})
	if err != nil {
		return err
	}
	list := &quarantineList{command: command{app: a}}
	list.run = list.print
	if _, err := quarantine.AddCommand("list", "list quarantined requests by zone", "list quarantined requests by zone", list); err != nil {
		return err
	}
	const release = "let a fingerprint run again in every zone"
	_, err = quarantine.AddCommand("release", release, release, &command{app: a, run: a.releaseQuarantine})
	return err
}

func (a *app) load() error {
	if a.opts.Config == "" {
		return errors.New("--config is missing")
	}
	if err := settings.Load(a.opts.Config, &a.settings); err != nil {
		return fmt.Errorf("%s: %w", a.opts.Config, err)
	}
	operators, err := rollout.ParseOperators(a.settings.Operators)
	if err != nil {
		return err
	}
	platformTransport, _, err := tlsconf.NewTransport(tlsconf.TransportOptions{TLS: a.settings.PlatformTLS})
	if err != nil {
		return err
	}
	internal, scheme, err := tlsconf.NewTransport(tlsconf.TransportOptions{TLS: a.settings.InternalTLS})
	if err != nil {
		return err
	}
	a.scheme = scheme
	a.http = &http.Client{Transport: httphead.NewTransport(internal)}
	client := objectstore.NewClient(a.settings.Platform, &http.Client{Transport: httphead.NewTransport(platformTransport)})
	a.store = &rollout.Store{Platform: client, Operators: operators}
	return nil
}

func (a *app) key() (ed25519.PrivateKey, error) {
	text, err := os.ReadFile(a.settings.KeyFile)
	if err != nil {
		return nil, err
	}
	key, err := keyFromSeed(string(text))
	if err != nil {
		return nil, fmt.Errorf("%s: %w", a.settings.KeyFile, err)
	}
	return key, nil
}

func keyFromSeed(text string) (ed25519.PrivateKey, error) {
	seed, err := hex.DecodeString(strings.TrimSpace(text))
	if err != nil || len(seed) != ed25519.SeedSize {
		return nil, errors.New("not an Ed25519 seed in hex")
	}
	return ed25519.NewKeyFromSeed(seed), nil
}

func (a *app) publicKey(_ context.Context, args []string) error {
	text, err := one(args, "seed")
	if err != nil {
		return err
	}
	key, err := keyFromSeed(text)
	if err != nil {
		return err
	}
	fmt.Fprintln(a.stdout, hex.EncodeToString(key.Public().(ed25519.PublicKey)))
	return nil
}

func one(args []string, what string) (string, error) {
	if len(args) != 1 {
		return "", fmt.Errorf("give exactly one %s", what)
	}
	return args[0], nil
}

func canonicalFile(path string) ([]byte, string, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, "", err
	}
	b, err := bundle.Parse(data)
	if err != nil {
		return nil, "", fmt.Errorf("%s: %w", path, err)
	}
	return b.Canonical()
}

func (a *app) validate(_ context.Context, args []string) error {
	path, err := one(args, "bundle file")
	if err != nil {
		return err
	}
	_, hash, err := canonicalFile(path)
	if err != nil {
		return err
	}
	fmt.Fprintf(a.stdout, "%s: ok, sha256 %s\n", path, hash)
	return nil
}
