package hbctl

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"slices"
	"strconv"
	"sync"
	"time"

	"heatherbarrow/internal/rpc"
)

const (
	watchTimeout  = 2 * time.Minute
	watchInterval = 50 * time.Millisecond
	// statusTimeout bounds the question to one control, so that a host that is
	// cut off does not hold up the others.
	statusTimeout = 2 * time.Second
)

// watchCommand is "hbctl watch".
type watchCommand struct {
	command
	Timeout int `long:"timeout" default:"60" value-name:"SECONDS" description:"how long to wait"`
}

// arrival is when a host had the generation in force.
type arrival struct {
	zone  string
	host  string
	after time.Duration
}

// wait waits for the generation given, or for the one that the platform names.
func (w *watchCommand) wait(ctx context.Context, args []string) error {
	generation, err := w.generation(ctx, args)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, time.Duration(w.Timeout)*time.Second)
	defer cancel()
	begin := time.Now()
	arrivals := make(map[string]arrival)
	for {
		missing := w.poll(ctx, generation, begin, arrivals)
		if len(missing) == 0 && len(arrivals) > 0 {
			return w.finish(generation, arrivals)
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("generation %d is not in force everywhere: missing %v", generation, missing)
		case <-time.After(watchInterval):
		}
	}
}

func (w *watchCommand) generation(ctx context.Context, args []string) (uint64, error) {
	if len(args) == 1 {
		return strconv.ParseUint(args[0], 10, 64)
	}
	if len(args) > 1 {
		return 0, errors.New("give at most one generation")
	}
	current, _, err := w.app.store.Current(ctx)
	return current.Generation, err
}

// poll asks the hosts that have not arrived yet and returns which are missing. A
// host that cannot be asked is judged by what its peers know of it; one that they
// call dead is not waited for.
func (w *watchCommand) poll(ctx context.Context, generation uint64, begin time.Time, arrivals map[string]arrival) []string {
	statuses := w.app.statuses(ctx)
	known := make(map[string]*rpc.HostState)
	for _, s := range statuses {
		if s.response == nil {
			continue
		}
		for _, h := range s.response.Hosts {
			if old := known[h.Host]; old == nil || h.Heartbeat > old.Heartbeat && h.Incarnation >= old.Incarnation {
				known[h.Host] = h
			}
		}
	}
	for _, s := range statuses {
		if s.response != nil {
			known[s.response.Self.Host] = s.response.Self
		}
	}
	var missing []string
	for name, h := range known {
		_, arrived := arrivals[name]
		switch {
		case arrived:
		case h.Generation >= generation:
			arrivals[name] = arrival{zone: h.AvailabilityZone, host: name, after: time.Since(begin)}
			fmt.Fprintf(w.app.stdout, "zone=%s host=%s generation=%d after=%s\n", h.AvailabilityZone, name, h.Generation, time.Since(begin).Round(time.Millisecond))
		case h.State == rpc.State_STATE_LIVE || h.State == rpc.State_STATE_LEAVING:
			missing = append(missing, h.AvailabilityZone+"/"+name)
		}
	}
	slices.Sort(missing)
	return missing
}

func (w *watchCommand) finish(generation uint64, arrivals map[string]arrival) error {
	zones := make(map[string]arrival)
	for _, a := range arrivals {
		if a.after >= zones[a.zone].after {
			zones[a.zone] = a
		}
	}
	last := make([]arrival, 0, len(zones))
	for _, a := range zones {
		last = append(last, a)
	}
	slices.SortFunc(last, func(a, b arrival) int { return cmp.Compare(a.zone, b.zone) })
	for _, a := range last {
		fmt.Fprintf(w.app.stdout, "zone=%s complete after=%s (last host %s)\n", a.zone, a.after.Round(time.Millisecond), a.host)
	}
	fmt.Fprintf(w.app.stdout, "generation %d is in force in %d zones on %d hosts\n", generation, len(zones), len(arrivals))
	return nil
}

// controlStatus is one control's answer, or why there is none.
type controlStatus struct {
	address  string
	response *rpc.StatusResponse
	err      error
}

// statuses asks all controls at once, in the order of the settings.
func (a *app) statuses(ctx context.Context) []controlStatus {
	out := make([]controlStatus, len(a.settings.Controls))
	var group sync.WaitGroup
	for i, address := range a.settings.Controls {
		group.Go(func() {
			ctx, cancel := context.WithTimeout(ctx, statusTimeout)
			defer cancel()
			response, err := a.control(address).Status(ctx, &rpc.StatusRequest{})
			out[i] = controlStatus{address, response, err}
		})
	}
	group.Wait()
	return out
}

func (a *app) control(address string) rpc.Operator {
	return rpc.NewOperatorProtobufClient(a.scheme+"://"+address, a.http)
}
