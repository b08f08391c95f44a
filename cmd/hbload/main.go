// Command hbload replays a mix of request classes and prints results by class.
package main

import (
	"os"
	"os/signal"
	"syscall"

	"heatherbarrow/internal/cli"
	"heatherbarrow/internal/loadgen"
)

func main() {
	var settings loadgen.Settings
	signals := cli.Signals{Stop: make(chan os.Signal, cli.MaxSignals)}
	signal.Notify(signals.Stop, os.Interrupt, syscall.SIGTERM) // SIGHUP ends a tool whose terminal is closed
	os.Exit(cli.Main("hbload", os.Args[1:], &settings, signals, loadgen.NewProgram(&settings, os.Stdout).Run))
}
