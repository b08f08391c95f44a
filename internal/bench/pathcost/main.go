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
	"cmp"
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
	// The parts share the cores that the router would have, because idle threads
	// that look for work count as processor time.
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(cores))
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
	perToken := (perStream.added - perRequest.added) / time.Duration(s.tokens-1)
	// A pace above 1 means that the cores were used up and that tokens arrived
	// late and in batches, which cost less.
	pace := float64(perStream.elapsed) / float64(s.interval*time.Duration(s.tokens))
	perSecond := cores * float64(time.Second) / float64(perStream.added)
	printMetric(out, "router_cpu_per_request", micros(perRequest.added), "us")
	printMetric(out, "router_cpu_per_token", micros(perToken), "us")
	printMetric(out, "direct_cpu_per_token", micros(perStream.direct)/float64(s.tokens), "us")
	printMetric(out, "router_stream_pace", pace, "ratio")
	printMetric(out, "router_requests_per_second_4_cores", perSecond, "1/s")
	printMetric(out, "router_tokens_per_second_4_cores", perSecond*float64(s.tokens), "1/s")
	return nil
}

// cost is the processor time of one request of a load.
type cost struct {
	direct  time.Duration // engine and client
	added   time.Duration // by the router
	elapsed time.Duration // time of the routed load
}

// addedCost returns the cost of a load: the median round of several in which
// direct and routed requests alternate, because other programs on the machine
// disturb single rounds.
func (b *bed) addedCost(l load) (cost, error) {
	if err := b.warmUp(); err != nil {
		return cost{}, err
	}
	rounds := make([]cost, costRounds)
	for i := range rounds {
		direct, _, err := b.usage(b.direct, l)
		if err != nil {
			return cost{}, err
		}
		routed, elapsed, err := b.usage(b.routed, l)
		if err != nil {
			return cost{}, err
		}
		n := time.Duration(l.requests)
		rounds[i] = cost{direct: direct / n, added: (routed - direct) / n, elapsed: elapsed}
	}
	slices.SortFunc(rounds, func(a, b cost) int { return cmp.Compare(a.added, b.added) })
	return rounds[costRounds/2], nil
}

// usage returns the processor time and the time that a load takes.
func (b *bed) usage(t target, l load) (used, elapsed time.Duration, err error) {
	before, started := processorTime(), time.Now()
	err = b.runLoad(t, l)
	return processorTime() - before, time.Since(started), err
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
