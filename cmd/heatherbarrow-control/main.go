// Command heatherbarrow-control keeps the control state of an entry host.
package main

import (
	"os"

	"heatherbarrow/internal/cli"
	"heatherbarrow/internal/cli/earlysignal"
	"heatherbarrow/internal/control"
)

func main() {
	var settings control.Settings
	signals := cli.Signals{Stop: earlysignal.Stop, Reload: earlysignal.Reload}
	os.Exit(cli.Main("heatherbarrow-control", os.Args[1:], &settings, signals, control.NewProgram(&settings).Run))
}
