// Command heatherbarrow-router serves callers on an entry host.
package main

import (
	"os"

	"heatherbarrow/internal/cli"
	"heatherbarrow/internal/router"
)

func main() {
	var settings router.Settings
	os.Exit(cli.Main("heatherbarrow-router", os.Args[1:], &settings, router.NewProgram(&settings).Run))
}
