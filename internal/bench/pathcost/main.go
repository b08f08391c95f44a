// Command pathcost measures what the router adds to a request: time to the first
// byte, processor time and memory. All parts run in this process: a simple engine,
// a client and the router with its scheduler, over loopback TCP. Each figure
// compares requests through the router with requests from the same client
// directly to the same engine in the same run. Processor time is that of the
// whole process (getrusage); the direct run's time, which is the engine's and the
// client's own, is subtracted. Memory is measured over in-memory connections,
// because four file descriptors for each of 10,000 streams exceed the limit of a
// process; kernel socket buffers are in neither figure. Capacity is what four
// cores carry at the processor time measured per request, not a load that was
// run. It prints lines of the form
//
//	bench metric=NAME value=N unit=U
package main

import (
	"fmt"
	"io"
	"os"
	"runtime"
	"runtime/debug"
	"slices"
	"time"
)

const (
	cores      = 4
	costRounds = 5
)

// sizes are the numbers of requests and streams of one run.
type sizes struct {
	latencyPairs int
	requests     int           // for the cost of a request
	streams      int           // concurrent, for the cost of a token
	tokens       int           // of each stream
	interval     time.Duration // between two tokens of a stream
	openStreams  []int
}

// fullSizes follow the target of 830 requests/s with 280,000 tokens/s: 337 tokens
// for each request.
var fullSizes = sizes{
	latencyPairs: 4000, requests: 5000, streams: 1000, tokens: 337, interval: 10 * time.Millisecond,
	openStreams: []int{1000, 5000, 10000},
}

func main() {
	if err := run(os.Stdout, fullSizes); err != nil {
		fmt.Fprintln(os.Stderr, "pathcost:", err)
		os.Exit(1)
	}
}

func run(out io.Writer, s sizes) error {
	for _, stage := range []func(io.Writer, sizes) error{measureLatency, measureCost, measureMemory} {
		if err := stage(out, s); err != nil {
			return err
		}
	}
	return nil
}

func printMetric(out io.Writer, name string, value float64, unit string) {
	fmt.Fprintf(out, "bench metric=%s value=%.4g unit=%s\n", name, value, unit)
}

// measureCost prints the processor time of a request and of a token, and what
// four cores carry at that cost.
func measureCost(out io.Writer, s sizes) error {
	b, err := newBed(tcpNetwork{}, s.interval)
	if err != nil {
		return err
	}
	defer b.close()
	short := load{requests: s.requests, concurrency: 32, tokens: 1}
	perRequest, err := b.addedCost(short)
	if err != nil {
		return err
	}
	long := load{requests: s.streams, concurrency: s.streams, tokens: s.tokens, paced: true}
	perStream, err := b.addedCost(long)
	if err != nil {
		return err
	}
	perToken := (perStream - perRequest) / time.Duration(s.tokens-1)
	perSecond := cores * float64(time.Second) / float64(perStream)
	printMetric(out, "router_cpu_per_request", micros(perRequest), "us")
	printMetric(out, "router_cpu_per_token", micros(perToken), "us")
	printMetric(out, "router_requests_per_second_4_cores", perSecond, "1/s")
	printMetric(out, "router_tokens_per_second_4_cores", perSecond*float64(s.tokens), "1/s")
	return nil
}

// addedCost returns the processor time that the router adds to each request of a
// load: the median over rounds in which direct and routed requests alternate,
// because other programs on the machine disturb single rounds.
func (b *bed) addedCost(l load) (time.Duration, error) {
	if err := b.warmUp(); err != nil {
		return 0, err
	}
	added := make([]time.Duration, costRounds)
	for round := range added {
		var used [2]time.Duration
		for i, t := range []target{b.direct, b.routed} {
			before := processorTime()
			if err := b.runLoad(t, l); err != nil {
				return 0, err
			}
			used[i] = processorTime() - before
		}
		added[round] = (used[1] - used[0]) / time.Duration(l.requests)
	}
	slices.Sort(added)
	return added[costRounds/2], nil
}

func micros(d time.Duration) float64 { return float64(d) / float64(time.Microsecond) }

// measureMemory prints the memory that the router holds for each open stream:
// the live memory after a collection, and the resident memory with what the
// collector has not yet freed.
func measureMemory(out io.Writer, s sizes) error {
	for _, n := range s.openStreams {
		var live, resident [2]float64
		for i, routed := range []bool{false, true} {
			var err error
			live[i], resident[i], err = heldBy(n, routed)
			if err != nil {
				return err
			}
		}
		printMetric(out, fmt.Sprintf("router_live_memory_per_stream_%d", n), (live[1]-live[0])/float64(n), "KB")
		printMetric(out, fmt.Sprintf("router_memory_per_stream_%d", n), (resident[1]-resident[0])/float64(n), "KB")
	}
	return nil
}

// heldBy returns the memory in KB that n open streams hold in all parts.
func heldBy(n int, routed bool) (live, resident float64, err error) {
	b, err := newBed(newMemoryNetwork(), fullSizes.interval)
	if err != nil {
		return 0, 0, err
	}
	defer b.close()
	if err := b.warmUp(); err != nil {
		return 0, 0, err
	}
	t := b.direct
	if routed {
		t = b.routed
	}
	debug.FreeOSMemory()
	liveBefore, residentBefore := liveMemory(), residentMemory()
	release, err := b.openStreams(t, n)
	defer release()
	if err != nil {
		return 0, 0, err
	}
	resident = residentMemory() - residentBefore
	runtime.GC()
	return liveMemory() - liveBefore, resident, nil
}

// liveMemory returns the memory in KB of the heap and the stacks.
func liveMemory() float64 {
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return float64(stats.HeapInuse+stats.StackInuse) / 1024
}
