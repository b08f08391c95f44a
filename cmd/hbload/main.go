// Command hbload replays a mix of request classes and prints results by class.
package main

import (
	"os"

	"heatherbarrow/internal/cli"
	"heatherbarrow/internal/loadgen"
)

func main() {
	var settings loadgen.Settings
	os.Exit(cli.Main("hbload", os.Args[1:], &settings, loadgen.NewProgram(&settings, os.Stdout).Run))
}
