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
	"heatherbarrow/internal/platform"
	"heatherbarrow/internal/rollout"
	"heatherbarrow/internal/rpc"
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
}

// Validate implements settings.Validator.
func (s *Settings) Validate() error {
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

type command struct {
	app     *app
	offline bool // needs no settings
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
	ctx, cancel := context.WithTimeout(context.Background(), commandTimeout)
	defer cancel()
	return c.run(ctx, args)
}

type settingsError struct{ err error }

func (e *settingsError) Error() string { return e.err.Error() }

// Main runs hbctl and returns its exit code.
func Main(args []string, stdout, stderr io.Writer) int {
	a := &app{stdout: stdout}
	parser := flags.NewNamedParser("hbctl", flags.HelpFlag|flags.PassDoubleDash)
	parser.SubcommandsOptional = true
	if _, err := parser.AddGroup("Options", "", &a.opts); err != nil {
		fmt.Fprintln(stderr, "hbctl:", err)
		return cli.ExitFailure
	}
	for _, c := range a.commands() {
		if _, err := parser.AddCommand(c.name, c.help, c.help, &command{app: a, offline: c.offline, run: c.run}); err != nil {
			fmt.Fprintln(stderr, "hbctl:", err)
			return cli.ExitFailure
		}
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
		fmt.Fprintln(a.stdout, "hbctl", cli.Version)
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
	name    string
	help    string
	offline bool
	run     func(ctx context.Context, args []string) error
}

func (a *app) commands() []commandEntry {
	return []commandEntry{
		{"validate", "check a bundle file", true, a.validate},
		{"public-key", "print the public key of an Ed25519 seed in hex", true, a.publicKey},
		{"propose", "store a bundle file as a proposal", false, a.propose},
		{"approve", "approve a proposal by its hash", false, a.approve},
		{"rollout", "put an approved proposal in force", false, a.rollout},
		{"status", "show hosts and the bundle in force", false, a.status},
		{"drain", "drain a host by its operator address", false, a.drain},
	}
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
	a.http = &http.Client{Transport: internal}
	client := platform.NewClient(a.settings.Platform, &http.Client{Transport: platformTransport})
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

func (a *app) propose(ctx context.Context, args []string) error {
	path, err := one(args, "bundle file")
	if err != nil {
		return err
	}
	content, _, err := canonicalFile(path)
	if err != nil {
		return err
	}
	key, err := a.key()
	if err != nil {
		return err
	}
	proposal, err := a.store.Propose(ctx, content, a.settings.Operator, key)
	if err != nil {
		return err
	}
	fmt.Fprintf(a.stdout, "proposed generation %d sha256 %s\n", proposal.Generation, proposal.SHA256)
	return nil
}

func (a *app) approve(ctx context.Context, args []string) error {
	hash, err := one(args, "proposal hash")
	if err != nil {
		return err
	}
	key, err := a.key()
	if err != nil {
		return err
	}
	proposal, err := a.store.Approve(ctx, hash, a.settings.Operator, key, time.Now())
	if err != nil {
		return err
	}
	fmt.Fprintf(a.stdout, "approved generation %d sha256 %s\n", proposal.Generation, proposal.SHA256)
	return nil
}

func (a *app) rollout(ctx context.Context, args []string) error {
	hash, err := one(args, "proposal hash")
	if err != nil {
		return err
	}
	current, err := a.store.RollOut(ctx, hash)
	if errors.Is(err, rollout.ErrStale) {
		return fmt.Errorf("%w: generation %d sha256 %s by %s, approved by %s", err, current.Generation, current.SHA256, current.Author, current.Approver)
	}
	if err != nil {
		return err
	}
	fmt.Fprintf(a.stdout, "in force: generation %d sha256 %s\n", current.Generation, current.SHA256)
	return nil
}

func (a *app) status(ctx context.Context, _ []string) error {
	for _, address := range a.settings.Controls {
		client := rpc.NewOperatorProtobufClient(a.scheme+"://"+address, a.http)
		s, err := client.Status(ctx, &rpc.StatusRequest{})
		if err != nil {
			fmt.Fprintf(a.stdout, "%s: cannot be reached: %v\n", address, err)
			continue
		}
		fmt.Fprintf(a.stdout, "%s host=%s zone=%s generation=%d %s\n", address, s.Self.Host, s.Self.AvailabilityZone, s.Self.Generation, s.NotReady)
	}
	return nil
}

func (a *app) drain(ctx context.Context, args []string) error {
	address, err := one(args, "operator address")
	if err != nil {
		return err
	}
	client := rpc.NewOperatorProtobufClient(a.scheme+"://"+address, a.http)
	response, err := client.Drain(ctx, &rpc.DrainRequest{Exit: true})
	if err != nil {
		return err
	}
	fmt.Fprintf(a.stdout, "drain started with %d requests in progress\n", response.InProgress)
	return nil
}
