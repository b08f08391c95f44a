package faults

import (
	"context"
	"fmt"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"heatherbarrow/internal/outcome"
)

const (
	faultTime     = 1200 * time.Millisecond
	answerTimeout = 40 * time.Second // longer than any class's deadline
	probeTimeout  = 15 * time.Second
	spreadTimeout = 10 * time.Second
)

// runRequestCell brings requests into the step, injects the fault, heals and
// returns the broken invariants.
func runRequestCell(t *testing.T, s step, f fault) []string {
	c := newCluster(t)
	c.start()
	a := newCaller(c)
	ctx, cancel := context.WithTimeout(context.Background(), 2*answerTimeout)
	defer cancel()
	requests, hangUp := context.WithTimeout(ctx, answerTimeout)
	defer hangUp()
	a.cancel = hangUp
	release := s.enter(requests, c, a)
	f.inject(c, a)
	time.Sleep(faultTime)
	release()
	c.hosts[0].router.signal(sigCont)
	c.hosts[0].control.signal(sigCont)
	time.Sleep(faultTime / 2)
	c.endFaults(f)
	a.wait.Wait()
	broken := c.checkCell(s, f, a.all())
	c.heal()
	a.retryOrders(ctx)
	broken = append(broken, c.probe(ctx, a)...)
	broken = append(broken, c.checkSpread()...)
	broken = append(broken, c.checkAnswers(a.all())...)
	return append(broken, c.versions.broken()...)
}

// endFaults heals all but a router that is to stop gracefully.
func (c *cluster) endFaults(f fault) {
	switch f.name {
	case "host-stopped":
		<-c.hosts[0].router.exited
		<-c.hosts[0].control.exited
	case "router-stopped":
		<-c.hosts[0].router.exited
	}
	c.heal()
}

// checkCell checks what depends on the step and the fault.
func (c *cluster) checkCell(s step, f fault, answers []answer) []string {
	var broken []string
	for _, x := range answers {
		if x.err != nil && !f.breaksCallers {
			broken = append(broken, fmt.Sprintf("P7: %s %s was cut off: %v", x.kind, x.id, x.err))
		}
		if f.completes && x.outcome != outcome.Completed {
			broken = append(broken, fmt.Sprintf("P7: %s %s ended as %q with status %d", x.kind, x.id, x.outcome, x.status))
		}
		refused := x.kind == "chat" && x.outcome == outcome.NotRun
		if refused && s.serves && f.keepsCapacity {
			broken = append(broken, fmt.Sprintf("P1: chat %s of tier 1 was refused with status %d", x.id, x.status))
		}
	}
	return broken
}

// hangUp closes the connections of all requests in progress.
func (a *caller) hangUp() {
	a.c.http.CloseIdleConnections()
	a.cancel()
}

// retryOrders repeats each order that the caller knows no completed outcome of
// through another host, as a caller would.
func (a *caller) retryOrders(ctx context.Context) {
	completed := make(map[string]bool)
	keys := make(map[string]bool)
	for _, x := range a.all() {
		if x.kind == "order" {
			keys[x.key] = true
			completed[x.key] = completed[x.key] || x.outcome == outcome.Completed
		}
	}
	for key := range keys {
		if !completed[key] {
			a.order(ctx, a.c.hosts[1], key)
		}
	}
}

// probe checks that every host serves chats and orders again.
func (c *cluster) probe(ctx context.Context, a *caller) []string {
	var broken []string
	c.eventually("all hosts are ready again", probeTimeout, c.allReady)
	for i, h := range c.hosts {
		ok := c.eventually(h.name+" serves chats", probeTimeout, func() bool {
			x := a.chat(ctx, h, "quote", "[length=5] probe", nil)
			return x.outcome == outcome.Completed && x.whole
		})
		attempt := 0
		ok = c.eventually(h.name+" serves orders", probeTimeout, func() bool {
			attempt++
			x := a.order(ctx, h, fmt.Sprintf("probe-%d-%d", i, attempt))
			return x.outcome == outcome.Completed
		}) && ok
		if !ok {
			broken = append(broken, h.name+" does not serve after healing")
		}
	}
	return broken
}

// checkSpread rolls out another bundle and waits until it is in force everywhere.
func (c *cluster) checkSpread() []string {
	current, err := c.rollOut(context.Background(), c.bundle(11))
	if err != nil {
		return []string{"P8: rollout after healing: " + err.Error()}
	}
	if !c.eventually("the bundle is in force on all hosts", spreadTimeout, func() bool { return c.allAt(current.Generation) }) {
		return []string{"P8: the bundle is not in force on all hosts after healing"}
	}
	return nil
}

// results collects the lines of a matrix.
type results struct {
	mu             sync.Mutex
	lines          []string
	passed, failed int
	knownRed       string
}

func newResults(t *testing.T) *results {
	data, err := os.ReadFile("../../KNOWN-RED.txt")
	if err != nil && !os.IsNotExist(err) {
		require.NoError(t, err)
	}
	return &results{knownRed: string(data)}
}

// add notes a cell's result; a failure fails the test unless it is known.
func (r *results) add(t *testing.T, faultName, stepName string, broken []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	cell := fmt.Sprintf("fault=%s step=%s", faultName, stepName)
	if len(broken) == 0 && !t.Failed() {
		r.passed++
		r.lines = append(r.lines, cell+" result=pass")
		return
	}
	r.failed++
	r.lines = append(r.lines, cell+" result=fail")
	for _, b := range broken {
		t.Log(b)
	}
	if strings.Contains(r.knownRed, cell+" ") {
		t.Log("known: " + cell)
		return
	}
	t.Fail()
}

// print writes the lines to standard output and, when set, to the file named by
// the environment variable HEATHERBARROW_FAULTS_OUT.
func (r *results) print(t *testing.T) {
	text := strings.Join(r.lines, "\n") + fmt.Sprintf("\n%d passed, %d failed\n", r.passed, r.failed)
	fmt.Print(text)
	if path := os.Getenv("HEATHERBARROW_FAULTS_OUT"); path != "" {
		require.NoError(t, os.WriteFile(path, []byte(text), 0o600))
	}
}

func stepNamed(name string) step {
	for _, s := range steps {
		if s.name == name {
			return s
		}
	}
	panic("no step is named " + name)
}

// TestQuickMatrix guards the invariants in CI with one cell for each kind of
// process that can fail.
func TestQuickMatrix(t *testing.T) {
	if testing.Short() {
		t.Skip("starts real processes")
	}
	r := newResults(t)
	t.Run("cells", func(t *testing.T) {
		for _, cell := range [][2]string{
			{"mid-stream", "host-stopped"}, {"claim", "platform-write-lost"}, {"answer", "router-killed"},
			{"mid-stream", "engine-crash"}, {"record-outcome", "control-killed"}, {"answer", "service-answer-lost"},
		} {
			t.Run(cell[1]+"/"+cell[0], func(t *testing.T) {
				t.Parallel()
				r.add(t, cell[1], cell[0], runRequestCell(t, stepNamed(cell[0]), faultNamed(cell[1])))
			})
		}
		t.Run("platform-write-lost/move-current", func(t *testing.T) {
			t.Parallel()
			r.add(t, "platform-write-lost", "move-current", runRolloutCell(t, "move-current", 0, faultNamed("platform-write-lost")))
		})
		t.Run("operators-race/move-current", func(t *testing.T) {
			t.Parallel()
			r.add(t, "operators-race", "move-current", runRaceCell(t))
		})
		r.runSpecial(t)
	})
	r.print(t)
}

func (r *results) runSpecial(t *testing.T) {
	for _, cell := range specialCells {
		t.Run(cell.fault+"/"+cell.step, func(t *testing.T) {
			t.Parallel()
			r.add(t, cell.fault, cell.step, cell.run(t))
		})
	}
}
