package faults

import (
	"encoding/json"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"testing"

	"github.com/stretchr/testify/require"
)

var buildOnce = sync.OnceValues(func() (string, error) {
	dir, err := os.MkdirTemp("", "heatherbarrow-bin-")
	if err != nil {
		return "", err
	}
	out, err := exec.Command("go", "build", "-o", dir, "heatherbarrow/cmd/...").CombinedOutput()
	if err != nil {
		return "", fmt.Errorf("build: %w\n%s", err, out)
	}
	return dir, nil
})

// process is one of the system's programs.
type process struct {
	t       *testing.T
	program string
	config  string
	log     string
	cmd     *exec.Cmd
	exited  chan struct{}
}

// startProcess writes the settings and starts the program.
func startProcess(t *testing.T, dir, name, program string, settings any) *process {
	t.Helper()
	data, err := json.Marshal(settings)
	require.NoError(t, err)
	p := &process{t: t, program: program, config: filepath.Join(dir, name+".json"), log: filepath.Join(dir, name+".log")}
	require.NoError(t, os.WriteFile(p.config, data, 0o600))
	p.start()
	t.Cleanup(p.kill)
	return p
}

func (p *process) start() {
	p.t.Helper()
	bin, err := buildOnce()
	require.NoError(p.t, err)
	log, err := os.OpenFile(p.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	require.NoError(p.t, err)
	defer func() { _ = log.Close() }()
	cmd := exec.Command(filepath.Join(bin, p.program), "--config", p.config)
	cmd.Stdout, cmd.Stderr = log, log
	require.NoError(p.t, cmd.Start())
	exited := make(chan struct{})
	go func() {
		_ = cmd.Wait()
		close(exited)
	}()
	p.cmd, p.exited = cmd, exited
}

func (p *process) signal(s syscall.Signal) { _ = p.cmd.Process.Signal(s) }

// kill ends the process at once, also when it is paused.
func (p *process) kill() {
	p.signal(syscall.SIGKILL)
	<-p.exited
}

func (p *process) running() bool {
	select {
	case <-p.exited:
		return false
	default:
		return true
	}
}

// ensureRunning starts the process again if it ended.
func (p *process) ensureRunning() {
	if !p.running() {
		p.start()
	}
}

// Ports of the clusters lie below the range from which the kernel takes ports of
// outgoing connections, so that none is taken between its choice and its use.
const (
	firstPort = 20_000
	lastPort  = 31_999
)

// loopback is an address of this test process alone. Another run at the same time
// would else take the port of a process that is being restarted.
var loopback = fmt.Sprintf("127.%d.%d.1", 1+os.Getpid()/250%250, 1+os.Getpid()%250)

var ports = struct {
	sync.Mutex
	next int
}{next: firstPort}

// freeAddresses returns loopback addresses that no listener has. An address is
// not returned again before all others were.
func freeAddresses(t *testing.T, n int) []string {
	t.Helper()
	ports.Lock()
	defer ports.Unlock()
	var out []string
	for tries := 0; len(out) < n; tries++ {
		require.Less(t, tries, lastPort-firstPort, "no free ports")
		ports.next++
		if ports.next > lastPort {
			ports.next = firstPort
		}
		address := fmt.Sprintf("%s:%d", loopback, ports.next)
		listener, err := net.Listen("tcp", address)
		if err != nil {
			continue
		}
		require.NoError(t, listener.Close())
		out = append(out, address)
	}
	return out
}
