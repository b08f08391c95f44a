package cli

import (
	"bytes"
	"context"
	"os"
	"path/filepath"
	"syscall"
	"testing"

	"github.com/stretchr/testify/require"
)

type testSettings struct {
	Name string `json:"name"`
}

// Guards against wrong exit codes and against a check that starts the program.
func TestExitCodes(t *testing.T) {
	good := filepath.Join(t.TempDir(), "good.json")
	bad := filepath.Join(t.TempDir(), "bad.json")
	require.NoError(t, os.WriteFile(good, []byte(`{"name":"x"}`), 0o600))
	require.NoError(t, os.WriteFile(bad, []byte(`{"nome":"x"}`), 0o600))
	tests := []struct {
		args []string
		code int
		text string
		runs bool
	}{
		{[]string{"--help"}, ExitOK, "--config", false},
		{[]string{"--version"}, ExitOK, Version, false},
		{[]string{"--config", good, "--check"}, ExitOK, "ok", false},
		{[]string{"--config", good}, ExitFailure, "boom", true},
		{[]string{"--config", bad}, ExitSettings, "nome", false},
		{[]string{"--config", "absent.json"}, ExitSettings, "absent.json", false},
		{[]string{}, ExitSettings, "--config is missing", false},
		{[]string{"--config", good, "extra"}, ExitSettings, "extra", false},
		{[]string{"--nonsense"}, ExitSettings, "nonsense", false},
	}
	for _, test := range tests {
		var out bytes.Buffer
		ran := false
		run := func(context.Context) error {
			ran = true
			return os.NewSyscallError("boom", syscall.EIO)
		}
		code := runMain("program", test.args, &testSettings{}, Signals{}, run, &out, &out)
		require.Equal(t, test.code, code, test.args)
		require.Contains(t, out.String(), test.text)
		require.Equal(t, test.runs, ran)
	}
}

// Guards against a program that serves although it was told to stop while it started.
func TestStopSignalBeforeRun(t *testing.T) {
	file := filepath.Join(t.TempDir(), "settings.json")
	require.NoError(t, os.WriteFile(file, []byte(`{"name":"x"}`), 0o600))
	signals := Signals{Stop: make(chan os.Signal, MaxSignals)}
	signals.Stop <- syscall.SIGTERM
	var out bytes.Buffer
	ran := false
	run := func(context.Context) error {
		ran = true
		return nil
	}
	require.Equal(t, ExitOK, runMain("program", []string{"--config", file}, &testSettings{}, signals, run, &out, &out))
	require.False(t, ran)
}

// Guards against a second signal that does not end the wait for a graceful stop.
func TestSecondSignalForces(t *testing.T) {
	signals := make(chan os.Signal, MaxSignals)
	ctx, cancel := withSignals(signals)
	defer cancel()
	derived, cancelDerived := context.WithCancel(context.WithoutCancel(ctx))
	defer cancelDerived()
	signals <- syscall.SIGTERM
	<-ctx.Done()
	require.NoError(t, Forced(derived).Err())
	signals <- syscall.SIGTERM
	<-Forced(derived).Done()
	require.NoError(t, Forced(context.Background()).Err())
}
