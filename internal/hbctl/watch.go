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
	progress := &watchProgress{
		generation: generation, begin: time.Now(), known: make(map[string]*rpc.HostState), direct: make(map[string]bool), hostOf: make(map[string]string),
		arrivals: make(map[string]arrival), pending: len(w.app.settings.Controls), answered: make(map[string]bool),
	}
	answers := w.app.follow(ctx)
	for {
		select {
		case <-ctx.Done():
			return fmt.Errorf("generation %d is not in force everywhere: missing %v%s", generation, progress.missing(), progress.silent(w.app.settings.Controls))
		case s := <-answers:
			for _, a := range progress.take(s) {
				fmt.Fprintf(w.app.stdout, "zone=%s host=%s generation=%d after=%s\n", a.zone, a.host, generation, a.after.Round(time.Millisecond))
			}
		}
		if progress.complete() {
			return w.finish(generation, progress.arrivals)
		}
	}
}

// follow asks each control again and again, independently of the others, so that
// one that is cut off does not delay what the others tell.
func (a *app) follow(ctx context.Context) <-chan controlStatus {
	out := make(chan controlStatus)
	for _, address := range a.settings.Controls {
		go func() {
			for ctx.Err() == nil {
				call, cancel := context.WithTimeout(ctx, statusTimeout)
				response, err := a.control(address).Status(call, &rpc.StatusRequest{})
				cancel()
				select {
				case out <- controlStatus{address, response, err}:
				case <-ctx.Done():
				}
				pauseFor(ctx, watchInterval)
			}
		}()
	}
	return out
}

func pauseFor(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// watchProgress is what a watch has learned so far.
type watchProgress struct {
	generation uint64
	begin      time.Time
	known      map[string]*rpc.HostState
	direct     map[string]bool   // hosts whose own control answers
	hostOf     map[string]string // control's address to host
	arrivals   map[string]arrival
	answered   map[string]bool // controls that answered or failed, by address
	pending    int             // controls that have done neither yet
}

// take adds one control's answer and returns the hosts that have arrived since.
// A host that cannot be asked is judged by what its peers know of it.
func (p *watchProgress) take(s controlStatus) []arrival {
	if !p.answered[s.address] {
		p.answered[s.address] = true
		p.pending--
	}
	if s.response == nil {
		delete(p.direct, p.hostOf[s.address])
		return nil
	}
	p.hostOf[s.address] = s.response.Self.Host
	p.direct[s.response.Self.Host] = true
	p.known[s.response.Self.Host] = s.response.Self
	for _, h := range s.response.Hosts {
		old := p.known[h.Host]
		if !p.direct[h.Host] && (old == nil || h.Incarnation >= old.Incarnation && h.Heartbeat >= old.Heartbeat) {
			p.known[h.Host] = h
		}
	}
	var out []arrival
	for name, h := range p.known {
		if _, arrived := p.arrivals[name]; !arrived && h.Generation >= p.generation {
			p.arrivals[name] = arrival{zone: h.AvailabilityZone, host: name, after: time.Since(p.begin)}
			out = append(out, p.arrivals[name])
		}
	}
	slices.SortFunc(out, func(a, b arrival) int { return cmp.Compare(a.host, b.host) })
	return out
}

// missing returns the hosts that are waited for; hosts that their peers call
// dead are not.
func (p *watchProgress) missing() []string {
	var out []string
	for name, h := range p.known {
		_, arrived := p.arrivals[name]
		if !arrived && (h.State == rpc.State_STATE_LIVE || h.State == rpc.State_STATE_LEAVING) {
			out = append(out, h.AvailabilityZone+"/"+name)
		}
	}
	slices.Sort(out)
	return out
}

// silent names the controls that have neither answered nor failed; which hosts are behind them is not known.
func (p *watchProgress) silent(controls []string) string {
	var out []string
	for _, address := range controls {
		if !p.answered[address] {
			out = append(out, address)
		}
	}
	if len(out) == 0 {
		return ""
	}
	return fmt.Sprintf(", no answer from %v", out)
}

func (p *watchProgress) complete() bool {
	return p.pending == 0 && len(p.arrivals) > 0 && len(p.missing()) == 0
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
