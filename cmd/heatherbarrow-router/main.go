// Command heatherbarrow-router serves callers on an entry host.
package main

import (
	"os"

	"heatherbarrow/internal/cli"
	"heatherbarrow/internal/cli/earlysignal"
	"heatherbarrow/internal/router"
)

func main() {
	var settings router.Settings
	signals := cli.Signals{Stop: earlysignal.Stop, Reload: earlysignal.Reload}
	os.Exit(cli.Main("heatherbarrow-router", os.Args[1:], &settings, signals, router.NewProgram(&settings).Run))
}
