// Command hbctl is the operators' command line.
package main

import (
	"os"

	"heatherbarrow/internal/hbctl"
)

func main() {
	os.Exit(hbctl.Main(os.Args[1:], os.Stdout, os.Stderr))
}
