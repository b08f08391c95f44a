package loadgen

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"heatherbarrow/internal/outcome"
)

// Sample is the end of one request.
type Sample struct {
	Class   int             // index into the settings' classes
	Start   time.Duration   // from the beginning of the run
	Latency time.Duration   // first token, or whole answer for services; 0 when there was none
	Outcome outcome.Outcome // unknown when the caller was told none
	Tokens  int             // frames received
	Whole   bool            // the outcome and everything before it arrived
}

// send makes one request and reads its answer to the end.
func (p *Program) send(ctx context.Context, target string, class int, key string) Sample {
	load := &p.settings.Classes[class]
	started := time.Now()
	sample := Sample{Class: class, Start: started.Sub(p.started), Outcome: outcome.Unknown}
	request, err := newRequest(ctx, target, load, key)
	if err != nil {
		return sample
	}
	response, err := p.client.Do(request)
	if err != nil {
		return sample
	}
	defer func() { _ = response.Body.Close() }()
	if load.Model != "" && response.StatusCode == http.StatusOK {
		readStream(response.Body, started, &sample)
		return sample
	}
	_, err = io.Copy(io.Discard, response.Body)
	sample.Latency = time.Since(started)
	sample.Whole = err == nil
	if o := outcome.Outcome(response.Header.Get(outcome.HeaderOutcome)); o.Valid() {
		sample.Outcome = o
	}
	return sample
}

// readStream reads an SSE answer up to its outcome event.
func readStream(body io.Reader, started time.Time, sample *Sample) {
	scanner := bufio.NewScanner(body)
	event := ""
	for scanner.Scan() {
		line := scanner.Text()
		if name, ok := strings.CutPrefix(line, "event: "); ok {
			event = name
			continue
		}
		if !strings.HasPrefix(line, "data:") || line == "data: [DONE]" {
			continue
		}
		if sample.Latency == 0 {
			sample.Latency = time.Since(started)
		}
		if event != "outcome" {
			sample.Tokens++
			continue
		}
		sample.Whole = true
		for _, o := range []outcome.Outcome{outcome.Completed, outcome.NotRun, outcome.Failed} {
			if strings.Contains(line, `"outcome":"`+string(o)+`"`) {
				sample.Outcome = o
			}
		}
	}
}

func newRequest(ctx context.Context, target string, load *ClassLoad, key string) (*http.Request, error) {
	path, method, body := load.Path, load.Method, `{"item":"`+key+`"}`
	if load.Model != "" {
		path, method = "/v1/chat/completions", http.MethodPost
		body = chatBody(load, key)
	}
	request, err := http.NewRequestWithContext(ctx, method, strings.TrimSuffix(target, "/")+path, strings.NewReader(body))
	if err != nil {
		return nil, err
	}
	request.Header.Set("Authorization", "Bearer "+load.Key)
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set(outcome.HeaderClass, load.Class)
	request.Header.Set(outcome.HeaderKey, key)
	return request, nil
}

func chatBody(load *ClassLoad, key string) string {
	limit := ""
	if load.MaxTokens > 0 {
		limit = fmt.Sprintf(`"max_tokens":%d,`, load.MaxTokens)
	}
	prompt := key + strings.Repeat(" abc", load.Prompt)
	return fmt.Sprintf(`{"model":%q,"stream":true,%s"messages":[{"role":"user","content":%q}]}`, load.Model, limit, prompt)
}
