// Command heatherbarrow-standin stands in for an engine, a service or the
// platform in tests and the demo.
package main

import (
	"os"

	"heatherbarrow/internal/cli"
	"heatherbarrow/internal/cli/earlysignal"
	"heatherbarrow/internal/standin"
)

func main() {
	var settings standin.Settings
	signals := cli.Signals{Stop: earlysignal.Stop, Reload: earlysignal.Reload}
	os.Exit(cli.Main("heatherbarrow-standin", os.Args[1:], &settings, signals, standin.NewProgram(&settings).Run))
}
