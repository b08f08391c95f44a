package proxy_test

import (
	"fmt"
	"net"
	"net/http"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"

	"heatherbarrow/internal/connends"
	"heatherbarrow/internal/gateway/routing"
)

// What a cut shows depends on what the host knew before it, and on ends that come together. Tests of cuts establish the former, and play
// again if the latter was not so, as a busy machine may stop this process at any point.

const (
	// statePatience bounds how long a test waits for a state of the host.
	statePatience = 4 * time.Second
	// maxPlays bounds how often a test plays again.
	maxPlays = 20
	// cutTime is the time within which connections have to be cut: half of that in which the host takes ends for one.
	cutTime = 10 * time.Millisecond
	// tcpEstablished is the kernel's tcp_state of a connection that neither side has ended.
	tcpEstablished = 1
)

// playUntilMet plays until a play has met its conditions, and fails if none does. A play that has not returns what was measured instead.
func playUntilMet(t *testing.T, play func() (unmet string)) {
	t.Helper()
	for range maxPlays {
		unmet := play()
		if unmet == "" {
			return
		}
		t.Log("playing again: ", unmet)
	}
	require.Fail(t, "no play has met its conditions")
}

// measureStalls returns what ends the measurement and returns the longest time for which this process got no processor time.
func measureStalls() (longest func() time.Duration) {
	const step = 5 * time.Millisecond
	done, result := make(chan struct{}), make(chan time.Duration, 1)
	go func() {
		most := time.Duration(0)
		for last, ended := time.Now(), false; !ended; {
			select {
			case <-done:
				ended = true
			case <-time.After(step):
			}
			now := time.Now()
			most, last = max(most, now.Sub(last)-step), now
		}
		result <- most
	}()
	return func() time.Duration {
		close(done)
		return <-result
	}
}

// eventually waits until the condition holds, and reports whether it did within statePatience. Unlike those of testify, it may be called
// by any goroutine and fails no test.
func eventually(condition func() bool) bool {
	for until := time.Now().Add(statePatience); !condition(); time.Sleep(time.Millisecond) {
		if time.Now().After(until) {
			return false
		}
	}
	return true
}

// cutInTime cuts connections, and returns what was measured if that took too long for one moment.
func cutInTime(cut func()) (unmet string) {
	begun := time.Now()
	cut()
	if took := time.Since(begun); took > cutTime {
		return fmt.Sprintf("cutting the connections took %v", took)
	}
	return ""
}

// keepsOneIdle waits until the host keeps an idle connection to the replica that has served a question. Where the replica states
// for how long it keeps idle ones, the end of one shows a cut.
func (g *testGateway) keepsOneIdle(p *endable) (unmet string) {
	kept := func() bool {
		_, reserved := g.client.ReservedFor(p.address, time.Now())
		return reserved > 0
	}
	if !eventually(kept) {
		return "the host keeps no connection beside the answer"
	}
	return ""
}

// keepsTwoIdle waits until the host keeps two connections idle beside the first answer, at the only replica. Where that one states no time
// for which it keeps them, a cut shows only if both end. The host may keep one only, if a question fails.
func (g *testGateway) keepsTwoIdle(p *endable) (unmet string) {
	const questions = 2
	answered := func() int64 { return g.metrics.Snapshot().Counters()["process_questions+"].Value() }
	if !eventually(func() bool { return answered() >= questions && answered() == p.asked.Load() }) {
		return fmt.Sprintf("%d of %d questions beside the answer were answered in time", answered(), p.asked.Load())
	}
	if n := p.established(); n < 1+questions {
		return fmt.Sprintf("the host has %d connections to the replica", n)
	}
	return ""
}

// established returns the number of connections to the replica that neither side has ended.
func (p *endable) established() (n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.open {
		if info := connends.TCPInfo(c); info != nil && info.State == tcpEstablished {
			n++
		}
	}
	return n
}

// cutOnTheWay returns a handler that sends the beginning of an answer and cuts all connections to its replica on the way when keeps has
// returned, which waits for a state of the host. It sends what keeps or the cut measured otherwise.
func cutOnTheWay(keeps func(p *endable) (unmet string), unmet chan<- string) func(*endable, http.ResponseWriter, *http.Request) {
	return partOfAnswer(0, func(p *endable) {
		measured := keeps(p)
		if late := cutInTime(p.relay.CloseConnections); measured == "" {
			measured = late
		}
		unmet <- measured
	})
}

// allowSilence lets requests run n times, and go on elsewhere only when their replica has been silent for 3 s.
func (g *testGateway) allowSilence(n int) {
	config := testConfig()
	for i := range config.Routes {
		config.Routes[i].MaxAttempts = n
		config.Routes[i].GapTarget = time.Second
	}
	g.table.Store(routing.Compile(config))
}

// allowTime lets requests last for half a minute: a busy machine may hold up answers that take seconds.
func allowTime(config routing.Config) routing.Config {
	for i := range config.Routes {
		config.Routes[i].Timeout = 30 * time.Second
	}
	return config
}

// kernelStep returns when the kernel's clock made its latest step. The ends of connections are dated in these steps.
func kernelStep() (at unix.Timespec) {
	_ = unix.ClockGettime(unix.CLOCK_MONOTONIC_COARSE, &at) // this clock always exists
	return at
}

// endInOneStep sends the last bytes on each connection and ends it in order, and returns what was measured if that was not within one step
// of the kernel's clock.
func endInOneStep(t *testing.T, conns []net.Conn, last [][]byte) (unmet string) {
	t.Helper()
	fds := make([]int, len(conns))
	for i, c := range conns {
		connends.Control(c, func(fd int) { fds[i] = fd })
		require.Positive(t, fds[i])
	}
	for before := kernelStep(); kernelStep() == before; {
	}
	step, begun := kernelStep(), time.Now()
	for i, fd := range fds {
		if len(last[i]) > 0 {
			_, _ = syscall.Write(fd, last[i])
		}
		_ = syscall.Shutdown(fd, syscall.SHUT_WR)
	}
	if took := time.Since(begun); kernelStep() != step {
		return fmt.Sprintf("the ends were sent in %v and not in one step of the kernel's clock", took)
	}
	return ""
}
