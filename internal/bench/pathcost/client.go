package main

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"golang.org/x/sync/errgroup"

	"heatherbarrow/internal/outcome"
)

// load is a number of equal requests.
type load struct {
	requests    int
	concurrency int
	tokens      int
	paced       bool // one token in each step of the engines
}

var errIncomplete = errors.New("a stream had no proper end")

func (b *bed) request(t target, n int, l load) (*http.Request, error) {
	body := fmt.Sprintf(`{"model":"m","stream":true,"max_tokens":%d,"paced":%t,"messages":[{"role":"user","content":"request %d %s"}]}`,
		l.tokens, l.paced, n, strings.Repeat("words ", 30))
	r, err := http.NewRequest(http.MethodPost, "http://"+t.addresses[n%len(t.addresses)]+"/v1/chat/completions", strings.NewReader(body))
	if err != nil {
		return nil, err
	}
	r.Header.Set("Authorization", "Bearer "+bearerKey)
	r.Header.Set(outcome.HeaderClass, className)
	r.Header.Set("X-Request-Id", "0123456789abcdefghij")
	return r, nil
}

// send makes one request and returns the time to the first byte of the answer's body.
func (b *bed) send(t target, n int, l load) (time.Duration, error) {
	r, err := b.request(t, n, l)
	if err != nil {
		return 0, err
	}
	started := time.Now()
	response, err := b.client.Do(r)
	if err != nil {
		return 0, err
	}
	defer func() { _ = response.Body.Close() }()
	reader := bufio.NewReader(response.Body)
	_, err = reader.ReadByte()
	first := time.Since(started)
	if err != nil {
		return 0, err
	}
	return first, readToEnd(reader)
}

func readToEnd(reader *bufio.Reader) error {
	complete := false
	for {
		line, err := reader.ReadSlice('\n')
		if errors.Is(err, io.EOF) && complete {
			return nil
		}
		if err != nil {
			return fmt.Errorf("%w: %w", errIncomplete, err)
		}
		complete = complete || bytes.Equal(line, []byte("data: [DONE]\n"))
	}
}

func (b *bed) runLoad(t target, l load) error {
	var group errgroup.Group
	var next atomic.Int64
	for range l.concurrency {
		group.Go(func() error {
			for {
				n := int(next.Add(1))
				if n > l.requests {
					return nil
				}
				if _, err := b.send(t, n, l); err != nil {
					return fmt.Errorf("%s: %w", t.name, err)
				}
			}
		})
	}
	return group.Wait()
}

func (b *bed) warmUp() error {
	for _, t := range []target{b.direct, b.routed} {
		if err := b.runLoad(t, load{requests: 400, concurrency: 16, tokens: 4}); err != nil {
			return err
		}
	}
	return nil
}

// measureLatency prints the time that the router adds to the first byte. Direct
// and routed requests alternate, so that both see the same machine.
func measureLatency(out io.Writer, s sizes) error {
	b, err := newBed(tcpNetwork{}, s.interval)
	if err != nil {
		return err
	}
	defer b.close()
	if err := b.warmUp(); err != nil {
		return err
	}
	const maxMicros = 10_000_000
	times := [2]*hdrhistogram.Histogram{hdrhistogram.New(1, maxMicros, 3), hdrhistogram.New(1, maxMicros, 3)}
	for n := range s.latencyPairs {
		for i, t := range []target{b.direct, b.routed} {
			first, err := b.send(t, n, load{tokens: 4})
			if err != nil {
				return fmt.Errorf("%s: %w", t.name, err)
			}
			if err := times[i].RecordValue(first.Microseconds()); err != nil {
				return err
			}
		}
	}
	for _, p := range []struct {
		name       string
		percentile float64
	}{{"median", 50}, {"p99", 99}} {
		added := times[1].ValueAtPercentile(p.percentile) - times[0].ValueAtPercentile(p.percentile)
		printMetric(out, "router_added_first_byte_"+p.name, float64(added)/1000, "ms")
	}
	return nil
}

func (b *bed) holdStreams() (release func()) {
	var releases []func()
	for _, e := range b.engines {
		releases = append(releases, e.holdStreams())
	}
	return func() {
		for _, release := range releases {
			release()
		}
	}
}

// openStreams opens n streams and returns once each has received its first
// frame. The returned function ends them and waits for their ends.
func (b *bed) openStreams(t target, n int) (release func(), err error) {
	letGo := b.holdStreams()
	var open, ended sync.WaitGroup
	var failure atomic.Pointer[error]
	open.Add(n)
	limit := make(chan struct{}, 200)
	for i := range n {
		limit <- struct{}{}
		ended.Go(func() {
			done := sync.OnceFunc(func() {
				open.Done()
				<-limit
			})
			defer done()
			if err := b.holdOpen(t, i, done); err != nil {
				failure.Store(&err)
			}
		})
	}
	open.Wait()
	if err := failure.Load(); err != nil {
		return letGo, *err
	}
	return func() {
		letGo()
		ended.Wait()
	}, nil
}

func (b *bed) holdOpen(t target, n int, opened func()) error {
	r, err := b.request(t, n, load{tokens: 2})
	if err != nil {
		return err
	}
	response, err := b.client.Do(r.WithContext(context.Background()))
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	first := make([]byte, 1)
	if _, err := io.ReadFull(response.Body, first); err != nil {
		return err
	}
	opened()
	_, err = io.Copy(io.Discard, response.Body)
	return err
}
