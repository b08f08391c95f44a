// Command heatherbarrow-standin stands in for an engine, a service or the
// platform in tests and the demo.
package main

import (
	"os"

	"heatherbarrow/internal/cli"
	"heatherbarrow/internal/standin"
)

func main() {
	var settings standin.Settings
	os.Exit(cli.Main("heatherbarrow-standin", os.Args[1:], &settings, standin.NewProgram(&settings).Run))
}
