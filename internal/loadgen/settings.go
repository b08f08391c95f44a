// Package loadgen replays mixes of request classes against heatherbarrow and
// measures attainment, goodput and wasted work by class.
package loadgen

import (
	"fmt"
	"net/http"
	"net/url"
	"time"

	"heatherbarrow/internal/settings"
	"heatherbarrow/internal/tlsconf"
)

const defaultDrainWait = 30 * time.Second

// Settings are the settings of hbload.
type Settings struct {
	Targets   []string          `json:"targets"`             // base URLs of the hosts' callers' interface
	Duration  settings.Duration `json:"duration"`            // time during which requests are sent
	DrainWait settings.Duration `json:"drain_wait,omitzero"` // time after that for answers to end; default 30s
	Seed      uint64            `json:"seed,omitempty"`
	Classes   []ClassLoad       `json:"classes"`
	JSONFile  string            `json:"json_file,omitempty"` // results are also written here
	PlotFile  string            `json:"plot_file,omitempty"` // PNG of attainment over time
	Title     string            `json:"title,omitempty"`     // of the plot
	TLS       tlsconf.Files     `json:"tls,omitzero"`
}

// ClassLoad is the traffic of one class: chat completions when Model is set,
// calls to a plain service when Path is set.
type ClassLoad struct {
	Class     string            `json:"class"`
	Tier      int               `json:"tier"`
	Key       string            `json:"key"`  // bearer key of the team
	Rate      float64           `json:"rate"` // requests per second, Poisson arrivals
	Bursts    []Burst           `json:"bursts,omitempty"`
	Model     string            `json:"model,omitempty"`
	Path      string            `json:"path,omitempty"`
	Method    string            `json:"method,omitempty"` // default GET
	Prompt    int               `json:"prompt_tokens,omitempty"`
	MaxTokens int               `json:"max_tokens,omitempty"`
	Target    settings.Duration `json:"target"` // first token, or whole answer for services
}

// Burst multiplies the rate for a time.
type Burst struct {
	Start  settings.Duration `json:"start"` // from the beginning of the run
	Length settings.Duration `json:"length"`
	Factor float64           `json:"factor"`
}

// Validate implements settings.Validator.
func (s *Settings) Validate() error {
	if len(s.Targets) == 0 {
		return settings.Errorf("targets", "must name at least one host")
	}
	for i, target := range s.Targets {
		if u, err := url.Parse(target); err != nil || u.Host == "" {
			return settings.Errorf(fmt.Sprintf("targets[%d]", i), "%q is not a base URL such as http://127.0.0.1:8080", target)
		}
	}
	if s.Duration <= 0 {
		return settings.Errorf("duration", "must be positive")
	}
	if s.DrainWait < 0 {
		return settings.Errorf("drain_wait", "must not be negative")
	}
	if s.DrainWait == 0 {
		s.DrainWait = settings.Duration(defaultDrainWait)
	}
	if len(s.Classes) == 0 {
		return settings.Errorf("classes", "must have at least one class")
	}
	for i := range s.Classes {
		if err := s.Classes[i].validate(fmt.Sprintf("classes[%d]", i)); err != nil {
			return err
		}
	}
	return nil
}

func (c *ClassLoad) validate(path string) error {
	switch {
	case c.Class == "":
		return settings.Errorf(path+".class", "must not be empty")
	case c.Rate <= 0:
		return settings.Errorf(path+".rate", "must be positive")
	case (c.Model == "") == (c.Path == ""):
		return settings.Errorf(path, "needs either model or path")
	case c.Target <= 0:
		return settings.Errorf(path+".target", "must be positive")
	case c.Prompt < 0 || c.MaxTokens < 0:
		return settings.Errorf(path, "token counts must not be negative")
	}
	if c.Method == "" {
		c.Method = http.MethodGet
	}
	for i, b := range c.Bursts {
		if b.Start < 0 || b.Length <= 0 || b.Factor <= 0 {
			return settings.Errorf(fmt.Sprintf("%s.bursts[%d]", path, i), "length and factor must be positive, start must not be negative")
		}
	}
	return nil
}

// rateAt returns the rate at a time from the beginning of the run.
func (c *ClassLoad) rateAt(elapsed time.Duration) float64 {
	rate := c.Rate
	for _, b := range c.Bursts {
		if elapsed >= b.Start.Std() && elapsed < b.Start.Std()+b.Length.Std() {
			rate *= b.Factor
		}
	}
	return rate
}
