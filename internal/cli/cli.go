// Package cli has what the command lines of all programs share.
package cli

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"

	"github.com/jessevdk/go-flags"

	"heatherbarrow/internal/settings"
)

// Exit codes of all programs.
const (
	ExitOK       = 0
	ExitFailure  = 1
	ExitSettings = 2 // wrong command line or settings
)

// Options are the flags that every program has.
type Options struct {
	Config  string `long:"config" value-name:"FILE" description:"JSON settings file"`
	Check   bool   `long:"check" description:"validate the settings and exit"`
	Version bool   `long:"version" description:"print the version and exit"`
}

// Signals are the channels of the signals of a process that are handled since it was initialized, as in package
// earlysignal.
type Signals struct {
	Stop   chan os.Signal // SIGINT and SIGTERM
	Reload chan os.Signal // SIGHUP
}

// Main parses the common flags, loads the settings file into target and calls
// run with a context that ends at the first SIGINT or SIGTERM; the context of
// Forced ends at the second one, and a third ends the process. The program does
// not run if one has arrived before. It returns the process's exit code.
func Main(name string, args []string, target any, signals Signals, run func(ctx context.Context) error) int {
	return runMain(name, args, target, signals, run, os.Stdout, os.Stderr)
}

func runMain(name string, args []string, target any, signals Signals, run func(ctx context.Context) error, stdout, stderr io.Writer) int {
	var opts Options
	parser := flags.NewNamedParser(name, flags.HelpFlag|flags.PassDoubleDash)
	if _, err := parser.AddGroup("Options", "", &opts); err != nil {
		return fail(stderr, name, err)
	}
	rest, err := parser.ParseArgs(args)
	var flagErr *flags.Error
	if errors.As(err, &flagErr) && flagErr.Type == flags.ErrHelp {
		fmt.Fprintln(stdout, flagErr.Message)
		return ExitOK
	}
	if err == nil && len(rest) > 0 {
		err = fmt.Errorf("unexpected argument %q", rest[0])
	}
	if err != nil {
		return fail(stderr, name, err)
	}
	if opts.Version {
		fmt.Fprintln(stdout, name, Build())
		return ExitOK
	}
	if opts.Config == "" {
		return fail(stderr, name, errors.New("--config is missing"))
	}
	if err := settings.Load(opts.Config, target); err != nil {
		return fail(stderr, name, fmt.Errorf("%s: %w", opts.Config, err))
	}
	if opts.Check {
		fmt.Fprintln(stdout, opts.Config+": ok")
		return ExitOK
	}
	select {
	case <-signals.Stop:
		return ExitOK
	default:
	}
	ctx, cancel := withSignals(signals.Stop)
	defer cancel()
	ctx = context.WithValue(context.WithValue(ctx, fileKey{}, opts.Config), reloadKey{}, signals.Reload)
	if err := run(ctx); err != nil {
		fmt.Fprintf(stderr, "%s: %v\n", name, err)
		return ExitFailure
	}
	return ExitOK
}

// fileKey is the key of the settings file's path.
type fileKey struct{}

// SettingsFile returns the path of the settings file of the program that runs
// under ctx, which is the one passed to run or derived from it.
func SettingsFile(ctx context.Context) string {
	path, _ := ctx.Value(fileKey{}).(string)
	return path
}

// reloadKey is the key of the channel that Reload returns.
type reloadKey struct{}

// Reload returns a channel that receives a value when the settings file has changed. ctx is the one passed to run or
// derived from it; for any other context nothing is received.
func Reload(ctx context.Context) <-chan os.Signal {
	reload, _ := ctx.Value(reloadKey{}).(chan os.Signal)
	return reload
}

// forcedKey is the key of the context that Forced returns.
type forcedKey struct{}

// MaxSignals is the number of stop signals that are told apart.
const MaxSignals = 2

// Forced returns a context that ends at the second signal, when the operator no
// longer wants to wait for a graceful stop. ctx is the one passed to run, or one
// derived from it; for any other context the result does not end.
func Forced(ctx context.Context) context.Context {
	if forced, ok := ctx.Value(forcedKey{}).(context.Context); ok {
		return forced
	}
	return context.Background()
}

// WithForced returns a context whose Forced context is forced.
func WithForced(ctx, forced context.Context) context.Context {
	return context.WithValue(ctx, forcedKey{}, forced)
}

// withSignals returns a context that ends at the first signal and carries one
// that ends at the second.
func withSignals(signals chan os.Signal) (context.Context, context.CancelFunc) {
	forced, force := context.WithCancel(context.Background())
	ctx, cancel := context.WithCancel(WithForced(context.Background(), forced))
	returned := make(chan struct{})
	go func() {
		for _, end := range [MaxSignals]context.CancelFunc{cancel, force} {
			select {
			case <-signals:
				end()
			case <-returned:
				return
			}
		}
		signal.Stop(signals)
	}()
	return ctx, func() {
		close(returned)
		cancel()
		force()
	}
}

func fail(stderr io.Writer, name string, err error) int {
	fmt.Fprintf(stderr, "%s: %v\n", name, err)
	return ExitSettings
}
