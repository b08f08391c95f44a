// Package loadgen replays mixes of request classes against heatherbarrow and
// measures attainment, goodput and wasted work by class.
package loadgen

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"heatherbarrow/internal/outcome"
	"heatherbarrow/internal/settings"
)

// Settings are the settings of hbload.
type Settings struct {
	Targets  []string          `json:"targets"` // base URLs of the hosts' callers' interface
	Duration settings.Duration `json:"duration"`
	Seed     uint64            `json:"seed,omitempty"`
	Classes  []ClassLoad       `json:"classes"`
}

// ClassLoad is the traffic of one class.
type ClassLoad struct {
	Class     string            `json:"class"`
	Tier      int               `json:"tier"`
	Key       string            `json:"key"`  // bearer key of the team
	Rate      float64           `json:"rate"` // requests per second, Poisson arrivals
	Model     string            `json:"model,omitempty"`
	Path      string            `json:"path,omitempty"` // for calls to services
	Method    string            `json:"method,omitempty"`
	Prompt    int               `json:"prompt_tokens,omitempty"`
	MaxTokens int               `json:"max_tokens,omitempty"`
	Target    settings.Duration `json:"target"` // first token, or whole answer for services
}

// Validate implements settings.Validator.
func (s *Settings) Validate() error {
	if len(s.Targets) == 0 {
		return settings.Errorf("targets", "must name at least one host")
	}
	if s.Duration <= 0 {
		return settings.Errorf("duration", "must be positive")
	}
	if len(s.Classes) == 0 {
		return settings.Errorf("classes", "must have at least one class")
	}
	for i := range s.Classes {
		c := &s.Classes[i]
		path := fmt.Sprintf("classes[%d]", i)
		if c.Rate <= 0 {
			return settings.Errorf(path+".rate", "must be positive")
		}
		if (c.Model == "") == (c.Path == "") {
			return settings.Errorf(path, "needs either model or path")
		}
	}
	return nil
}

// Result is the end of one request.
type Result struct {
	Class    int
	Outcome  outcome.Outcome
	Latency  time.Duration // first token, or whole answer for services
	Finished bool
}

// Program is hbload.
type Program struct {
	settings *Settings
	stdout   io.Writer
	client   *http.Client
	mu       sync.Mutex
	results  []Result
}

// NewProgram returns a program with settings that are filled in before Run.
func NewProgram(s *Settings, stdout io.Writer) *Program {
	return &Program{settings: s, stdout: stdout, client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 256}}}
}

// errUnfinished means that accepted requests had no complete outcome.
var errUnfinished = errors.New("accepted requests had no complete outcome")

// Run replays the mix and prints the results.
func (p *Program) Run(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, p.settings.Duration.Std())
	defer cancel()
	var running sync.WaitGroup
	for i := range p.settings.Classes {
		running.Go(func() { p.arrivals(ctx, i, &running) })
	}
	running.Wait()
	return p.print()
}

func (p *Program) arrivals(ctx context.Context, class int, running *sync.WaitGroup) {
	random := rand.New(rand.NewPCG(p.settings.Seed, uint64(class)))
	load := &p.settings.Classes[class]
	for n := 0; ; n++ {
		wait := time.Duration(random.ExpFloat64() / load.Rate * float64(time.Second))
		select {
		case <-ctx.Done():
			return
		case <-time.After(wait):
		}
		target := p.settings.Targets[random.IntN(len(p.settings.Targets))]
		key := fmt.Sprintf("%s-%d-%d", load.Class, p.settings.Seed, n)
		running.Go(func() { p.add(p.send(target, class, key)) })
	}
}

func (p *Program) add(r Result) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.results = append(p.results, r)
}

func (p *Program) send(target string, class int, key string) Result {
	load := &p.settings.Classes[class]
	started := time.Now()
	result := Result{Class: class, Outcome: outcome.Unknown}
	response, err := p.client.Do(p.request(target, load, key))
	if err != nil {
		return result
	}
	defer func() { _ = response.Body.Close() }()
	if load.Model == "" || response.StatusCode != http.StatusOK {
		_, err := io.Copy(io.Discard, response.Body)
		result.Latency = time.Since(started)
		result.Finished = err == nil
		result.Outcome = outcome.Outcome(response.Header.Get(outcome.HeaderOutcome))
		return result
	}
	scanner := bufio.NewScanner(response.Body)
	event := ""
	for scanner.Scan() {
		line := scanner.Text()
		if result.Latency == 0 && strings.HasPrefix(line, "data:") {
			result.Latency = time.Since(started)
		}
		if name, ok := strings.CutPrefix(line, "event: "); ok {
			event = name
		}
		if event == "outcome" && strings.Contains(line, `"outcome":"completed"`) {
			result.Outcome = outcome.Completed
			result.Finished = true
		}
	}
	return result
}

func (p *Program) request(target string, load *ClassLoad, key string) *http.Request {
	path, method, body := load.Path, load.Method, `{"item":"`+key+`"}`
	if load.Model != "" {
		path, method = "/v1/chat/completions", http.MethodPost
		prompt := key + strings.Repeat(" abc", load.Prompt)
		body = fmt.Sprintf(`{"model":%q,"stream":true,"max_tokens":%d,"messages":[{"role":"user","content":%q}]}`, load.Model, load.MaxTokens, prompt)
	}
	request, err := http.NewRequest(method, target+path, strings.NewReader(body))
	if err != nil {
		panic(err)
	}
	request.Header.Set("Authorization", "Bearer "+load.Key)
	request.Header.Set(outcome.HeaderClass, load.Class)
	request.Header.Set(outcome.HeaderKey, key)
	return request
}

func (p *Program) print() error {
	unfinished := 0
	for i := range p.settings.Classes {
		load := &p.settings.Classes[i]
		var total, met, notRun, broken int
		var latencies []time.Duration
		for _, r := range p.results {
			if r.Class != i {
				continue
			}
			total++
			switch {
			case r.Outcome == outcome.Completed && r.Finished:
				latencies = append(latencies, r.Latency)
				if r.Latency <= load.Target.Std() {
					met++
				}
			case r.Outcome == outcome.NotRun:
				notRun++
			default:
				broken++
			}
		}
		unfinished += broken
		slices.Sort(latencies)
		median := time.Duration(0)
		if len(latencies) > 0 {
			median = latencies[len(latencies)/2]
		}
		fmt.Fprintf(p.stdout, "class=%s tier=%d requests=%d attainment=%.3f goodput=%.2f not_run=%d unfinished=%d median=%s\n",
			load.Class, load.Tier, total, float64(met)/float64(max(total, 1)),
			float64(met)/p.settings.Duration.Std().Seconds(), notRun, broken, median.Round(time.Millisecond))
	}
	if unfinished > 0 {
		return fmt.Errorf("%d %w", unfinished, errUnfinished)
	}
	return nil
}
