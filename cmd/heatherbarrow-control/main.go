// Command heatherbarrow-control keeps the control state of an entry host.
package main

import (
	"os"

	"heatherbarrow/internal/cli"
	"heatherbarrow/internal/control"
)

func main() {
	var settings control.Settings
	os.Exit(cli.Main("heatherbarrow-control", os.Args[1:], &settings, control.NewProgram(&settings).Run))
}
