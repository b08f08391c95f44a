package hbctl

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"sync"
	"text/tabwriter"
	"time"

	"github.com/rotisserie/eris"

	"heatherbarrow/internal/httphead"
	"heatherbarrow/internal/rpc"
	"heatherbarrow/internal/scheduling/poisonpart"
)

// gatewayTimeout bounds the answer of one gateway, so that one that is gone does not
// hold up the others.
const gatewayTimeout = 3 * time.Second

// gatewaysCommand is "hbctl gateways".
type gatewaysCommand struct {
	command
	Replicas bool `long:"replicas" description:"print the replicas as each host sees them"`
}

// gatewayStatus is the answer of one gateway.
type gatewayStatus struct {
	address  string
	response *rpc.GatewayStatus
	err      error
}

func (g *gatewaysCommand) print(ctx context.Context, addresses []string) error {
	if len(addresses) == 0 {
		return errors.New("give the peer_listen address, IP:port, of one gateway or more")
	}
	statuses := make([]gatewayStatus, len(addresses))
	transport := httphead.NewTransport(http.DefaultTransport.(*http.Transport).Clone())
	defer transport.CloseIdleConnections()
	client := &http.Client{Transport: transport, Timeout: gatewayTimeout}
	var calls sync.WaitGroup
	for i, address := range addresses {
		calls.Go(func() {
			response, err := rpc.NewGatewayProtobufClient("http://"+address, client).Status(ctx, &rpc.GatewayStatusRequest{})
			statuses[i] = gatewayStatus{address: address, response: response, err: err}
		})
	}
	calls.Wait()
	w := tabwriter.NewWriter(g.app.stdout, 0, 0, 2, ' ', 0)
	reached := printGateways(w, statuses)
	printRefusals(w, statuses)
	printRefusedParts(w, statuses)
	printSpeeds(w, statuses)
	if g.Replicas {
		printGatewayReplicas(w, statuses)
	}
	if err := w.Flush(); err != nil {
		return eris.Wrap(err, "print")
	}
	if reached == 0 {
		return fmt.Errorf("none of %d gateways could be reached", len(addresses))
	}
	return nil
}

// printGateways returns how many gateways answered.
func printGateways(w io.Writer, statuses []gatewayStatus) int {
	reached := 0
	fmt.Fprintln(w, "HOST\tZONE\tREADY\tCONFIG\tFROM\tAGE\tSTORE\tHOSTS\tIN PROGRESS\tSTARTED\tBUILD")
	for _, s := range statuses {
		if s.err != nil {
			fmt.Fprintf(w, "%s\t%v\n", s.address, s.err)
			continue
		}
		reached++
		r := s.response
		config, age := "none", "-"
		if r.ConfigVersion > 0 {
			config = fmt.Sprint(r.ConfigVersion)
			age = (time.Duration(r.ConfigAgeMs) * time.Millisecond).Round(time.Second).String()
		}
		store := "lost"
		switch {
		case !r.FollowsStore:
			store = "by neighbors"
		case r.StoreReachable:
			store = "reached"
		}
		fmt.Fprintf(w, "%s\t%s\t%t\t%s\t%s\t%s\t%s\t%d\t%d\t%s\t%s\n",
			r.Host, r.AvailabilityZone, r.Ready, config, r.ConfigSource, age, store, r.HostsHeard, r.RequestsInProgress,
			time.UnixMilli(r.Started).UTC().Format(time.RFC3339), cmp.Or(r.Build, "-"))
	}
	return reached
}

func printRefusals(w io.Writer, statuses []gatewayStatus) {
	fmt.Fprintln(w, "\nHOST\tREFUSED FOR\tREQUESTS SINCE START")
	for _, s := range statuses {
		for _, refusals := range s.response.GetRefusals() {
			fmt.Fprintf(w, "%s\t%s\t%d\n", s.response.Host, refusals.Reason, refusals.Requests)
		}
	}
}

func printRefusedParts(w io.Writer, statuses []gatewayStatus) {
	fmt.Fprintln(w, "\nHOST\tREFUSES PROMPTS WITH PART\tCRASHES\tQUARANTINED\tEXPIRES IN")
	for _, s := range statuses {
		for _, p := range s.response.GetRefusedParts() {
			fmt.Fprintf(w, "%s\t%s\t%d\t%t\t%s\n", s.response.Host, poisonpart.Name(p.Part), len(p.Crashes), p.Quarantined,
				time.Duration(p.ExpiresInS)*time.Second)
		}
	}
}

func printSpeeds(w io.Writer, statuses []gatewayStatus) {
	fmt.Fprintln(w, "\nHOST\tENGINES OF\tTOKENS READ IN A MS\tFIRST TOKEN\tSTEP\tEACH REQUEST ADDS\tSAMPLES")
	for _, s := range statuses {
		for _, v := range s.response.GetSpeeds() {
			fmt.Fprintf(w, "%s\t%s\t%.1f\t%.0f ms\t%.2f ms\t%.3f ms\t%.0f\n", s.response.Host, v.Upstream,
				v.PromptTokensPerMs, v.FirstMs, v.StepMs, v.StepPerRequestMs, v.Samples)
		}
	}
}

func printGatewayReplicas(w io.Writer, statuses []gatewayStatus) {
	fmt.Fprintln(w, "\nHOST\tUPSTREAM\tREPLICA\tADDRESS\tZONE\tSTATE\tRUNNING\tBACKLOG\tFAILING\tSLOWNESS\tLIMIT\tSOFTWARE")
	const permille = 1000.0
	for _, s := range statuses {
		for _, r := range s.response.GetReplicas() {
			limit := "-"
			if r.Limited {
				limit = fmt.Sprintf("%g/s", r.LimitPerSecond)
			}
			fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%s\t%d\t%d ms\t%.2f\t%.2f\t%s\t%s\n", s.response.Host, r.Upstream, r.Id, r.Address,
				r.AvailabilityZone, r.State, r.Running, r.BacklogMs, float64(r.FailingPermille)/permille, float64(r.SlownessPermille)/permille, limit, cmp.Or(r.SoftwareVersion, "-"))
		}
	}
}
