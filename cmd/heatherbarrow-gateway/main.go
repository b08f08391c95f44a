// Command heatherbarrow-gateway serves callers on a host of the operators' platform.
package main

import (
	"net/http"
	"os"

	"heatherbarrow/internal/cli"
	"heatherbarrow/internal/cli/earlysignal"
	"heatherbarrow/internal/duty"
	"heatherbarrow/internal/gateway"
	"heatherbarrow/platform"
)

func main() {
	var settings gateway.Settings
	program := gateway.NewProgram(&settings, gateway.Adapter{
		Dialect: platform.Dialect{},
		Store: func(address string, client *http.Client) gateway.Store {
			return platform.NewStore(address, client)
		},
		DecodeConfig: platform.DecodeConfig,
		DecodeMember: platform.DecodeMember,
		KindConfig:   platform.KindConfig,
		NameConfig:   platform.NameConfig,
		KindMembers:  platform.KindMembers,
		KindHosts:    platform.KindHosts,
		KindParts:    platform.KindParts,
		KindRequests: platform.KindRequests,
		KindVersions: platform.KindVersions,
		KindStreams:  platform.KindStreams,
		KindDuties:   platform.KindDuties,
		Duties:       func(address string, client *http.Client) duty.API { return platform.NewCloud(address, client) },
	})
	signals := cli.Signals{Stop: earlysignal.Stop, Reload: earlysignal.Reload}
	os.Exit(cli.Main("heatherbarrow-gateway", os.Args[1:], &settings, signals, program.Run))
}
