package loadgen

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"heatherbarrow/internal/tlsconf"
)

const idleConnections = 512

// Program is hbload.
type Program struct {
	settings *Settings
	stdout   io.Writer
	client   *http.Client
	started  time.Time
	mu       sync.Mutex
	samples  []Sample
}

// NewProgram returns a program with settings that are filled in before Run.
func NewProgram(s *Settings, stdout io.Writer) *Program {
	return &Program{settings: s, stdout: stdout}
}

// errUnfinished means that accepted requests had no complete outcome.
var errUnfinished = errors.New("accepted requests had no complete outcome")

// Run replays the mix, prints the results by class and writes the files asked
// for. It fails when an accepted request had no complete outcome.
func (p *Program) Run(ctx context.Context) error {
	transport, _, err := tlsconf.NewTransport(tlsconf.TransportOptions{TLS: p.settings.TLS, IdlePerHost: idleConnections})
	if err != nil {
		return err
	}
	p.client = &http.Client{Transport: transport}
	p.started = time.Now()
	sending, stopSending := context.WithTimeout(ctx, p.settings.Duration.Std())
	defer stopSending()
	reading, stopReading := context.WithTimeout(ctx, p.settings.Duration.Std()+p.settings.DrainWait.Std())
	defer stopReading()
	var running sync.WaitGroup
	for i := range p.settings.Classes {
		running.Go(func() { p.sendClass(sending, reading, i, &running) })
	}
	running.Wait()
	return p.report(Summarize(p.settings, p.samples))
}

// sendClass sends the requests of one class at random times, independently of
// how fast they are answered.
func (p *Program) sendClass(sending, reading context.Context, class int, running *sync.WaitGroup) {
	random := rand.New(rand.NewPCG(p.settings.Seed, uint64(class)))
	load := &p.settings.Classes[class]
	next := p.started
	for n := 0; ; n++ {
		wait := random.ExpFloat64() / load.rateAt(next.Sub(p.started))
		next = next.Add(time.Duration(wait * float64(time.Second)))
		select {
		case <-sending.Done():
			return
		case <-time.After(time.Until(next)):
		}
		target := p.settings.Targets[random.IntN(len(p.settings.Targets))]
		key := fmt.Sprintf("%s-%d-%d", load.Class, p.settings.Seed, n)
		running.Go(func() { p.add(p.send(reading, target, class, key)) })
	}
}

func (p *Program) add(s Sample) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.samples = append(p.samples, s)
}

func (p *Program) report(r Report) error {
	for i := range r.Classes {
		fmt.Fprintln(p.stdout, r.Classes[i].String())
	}
	if p.settings.JSONFile != "" {
		if err := r.writeJSON(p.settings.JSONFile); err != nil {
			return err
		}
	}
	if p.settings.PlotFile != "" {
		if err := plotAttainment(p.settings, p.samples, p.settings.PlotFile); err != nil {
			return err
		}
	}
	if n := r.unfinished(); n > 0 {
		return fmt.Errorf("%d %w", n, errUnfinished)
	}
	return nil
}
