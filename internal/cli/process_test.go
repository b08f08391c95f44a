package cli_test

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"heatherbarrow/internal/proctest"
)

// processTimeout bounds the start and the stop of a process.
const processTimeout = 30 * time.Second

// initialized begins the line that the runtime writes under GODEBUG=inittrace=1 when net/http has been initialized.
// The packages of a program follow, and then its main function.
const initialized = "init net/http "

// buildPrograms builds programs and returns their directory.
func buildPrograms(t *testing.T, packages string) string {
	t.Helper()
	dir := t.TempDir()
	out, err := exec.Command("go", "build", "-o", dir+"/", packages).CombinedOutput()
	require.NoError(t, err, string(out))
	return dir
}

// programSettings returns the settings of each program that runs until it is stopped, by its name.
func programSettings() map[string]map[string]any {
	address := func(i int) string {
		return fmt.Sprintf("127.%d.%d.%d:9001", 60+os.Getpid()/250%30, 1+os.Getpid()%250, i)
	}
	host := func(more map[string]any) map[string]any {
		more["host"], more["availability_zone"], more["log_level"] = "h", "a", "info"
		return more
	}
	return map[string]map[string]any{
		"heatherbarrow-gateway": host(map[string]any{
			"listen": address(1), "ready_listen": address(2), "peer_listen": address(3), "beat_port": 9004, "store": address(4),
			"memory_limit_mb": 400, "retry_share": 0.2, "retry_slack": 10, "grace_seconds": 1, "withdraw_within": "2s", "balancer_lag": "10ms",
		}),
		"heatherbarrow-router": host(map[string]any{
			"listen": address(5), "internal_listen": address(6), "control": address(7), "balancer_lag": "10ms", "drain_timeout": "1s",
		}),
		"heatherbarrow-control": host(map[string]any{
			"feed_listen": address(8), "peer_listen": address(9), "operator_listen": address(10), "router": address(11),
			"platform": "http://" + address(12), "operators": map[string]string{"o": strings.Repeat("0a", 32), "p": strings.Repeat("0b", 32)}, "drain_timeout": "100ms",
		}),
		"heatherbarrow-standin": {"role": "service", "listen": address(13)},
	}
}

// writeSettings writes a settings file and returns its path.
func writeSettings(t *testing.T, fields map[string]any) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "settings.json")
	data, err := json.Marshal(fields)
	require.NoError(t, err)
	require.NoError(t, os.WriteFile(path, data, 0o600))
	return path
}

// program is a process that has been started.
type program struct {
	*exec.Cmd
	log    bytes.Buffer // of stdout; complete after the end
	exited chan error   // how it ended
}

// startProgram returns when the packages that all programs import have been initialized.
func startProgram(t *testing.T, path, settings string) *program {
	t.Helper()
	p := &program{Cmd: exec.Command(path, "--config", settings), exited: make(chan error, 1)}
	p.Stdout = &p.log
	p.Env = append(os.Environ(), "GODEBUG=inittrace=1")
	stderr, err := p.StderrPipe()
	require.NoError(t, err)
	require.NoError(t, p.Start())
	lines, found := bufio.NewScanner(stderr), false
	for !found && lines.Scan() {
		found = strings.HasPrefix(lines.Text(), initialized)
	}
	go func() {
		_, _ = io.Copy(io.Discard, stderr)
		p.exited <- p.Wait()
	}()
	require.True(t, found, "the runtime writes what it initializes")
	return p
}

// exit waits for the end of the process.
func (p *program) exit(t *testing.T) error {
	t.Helper()
	select {
	case err := <-p.exited:
		return err
	case <-time.After(processTimeout):
		_ = p.Process.Kill()
		t.Errorf("%s does not end", p.Path)
		return <-p.exited
	}
}

// TestSignalRightAfterStart guards against a signal that ends a process because it arrives before the process handles
// signals: SIGHUP of an operator whose settings changed during the start ended the gateway.
func TestSignalRightAfterStart(t *testing.T) {
	dir := buildPrograms(t, "heatherbarrow/cmd/...")
	for name, fields := range programSettings() {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			settings := writeSettings(t, fields)
			for _, delay := range []time.Duration{0, 0, 0, 1, 2, 3, 5, 8, 13, 30, 80} {
				delay *= time.Millisecond
				p := startProgram(t, filepath.Join(dir, name), settings)
				time.Sleep(delay)
				require.NoError(t, p.Process.Signal(syscall.SIGTERM))
				assert.NoError(t, p.exit(t), "SIGTERM %v after the start", delay)

				p = startProgram(t, filepath.Join(dir, name), settings)
				time.Sleep(delay)
				require.NoError(t, p.Process.Signal(syscall.SIGHUP))
				select {
				case err := <-p.exited:
					t.Errorf("SIGHUP %v after the start ends the process: %v", delay, err)
					continue
				case <-time.After(150 * time.Millisecond):
				}
				require.NoError(t, p.Process.Signal(syscall.SIGTERM))
				assert.NoError(t, p.exit(t), "SIGTERM after a SIGHUP %v after the start", delay)
				if name == "heatherbarrow-gateway" {
					assert.Contains(t, p.log.String(), "settings reloaded", "SIGHUP %v after the start", delay)
				}
			}
		})
	}
}

// TestGatewayEndsInGraceIfLogIsNotRead guards against a gateway that is killed at the end of its grace period while it
// waits for the reader of its log. A machine that does not let it run at the end judges nothing, and the stop is played again.
func TestGatewayEndsInGraceIfLogIsNotRead(t *testing.T) {
	const plays = 20
	const name, grace = "heatherbarrow-gateway", 3 * time.Second
	fields := programSettings()[name]
	fields["grace_seconds"] = grace.Seconds()
	path, settings := filepath.Join(buildPrograms(t, "heatherbarrow/cmd/"+name), name), writeSettings(t, fields)
	for range plays {
		end := stopWithUnreadLog(t, path, settings, fields["listen"].(string))
		if end.InTime(grace) {
			return
		}
		t.Logf("the gateway %v", &end)
		require.False(t, end.Late(grace, 0), "the gateway ends in its grace period")
	}
	t.Errorf("the gateway got too little of the processors in each play")
}

// stopWithUnreadLog starts a gateway whose log is not read, stops it while a request is being read, and returns how it ended.
func stopWithUnreadLog(t *testing.T, path, settings, listen string) proctest.End {
	t.Helper()
	reader, writer, err := os.Pipe()
	require.NoError(t, err)
	defer func() { _, _ = reader.Close(), writer.Close() }()
	require.NoError(t, writer.SetWriteDeadline(time.Now().Add(100*time.Millisecond)))
	for err == nil {
		_, err = writer.Write(make([]byte, 4096))
	}
	require.ErrorIs(t, err, os.ErrDeadlineExceeded, "the pipe is full")
	cmd := exec.Command(path, "--config", settings)
	cmd.Stdout = writer
	require.NoError(t, cmd.Start())
	var unfinished net.Conn
	require.Eventually(t, func() bool {
		unfinished, err = net.Dial("tcp", listen)
		return err == nil
	}, processTimeout, 10*time.Millisecond)
	defer func() { _ = unfinished.Close() }()
	_, err = io.WriteString(unfinished, "POST /x HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\nx") // lasts until the end
	require.NoError(t, err)
	time.Sleep(300 * time.Millisecond)
	stop := proctest.Watch(cmd.Process.Pid)
	require.NoError(t, cmd.Process.Signal(syscall.SIGTERM))
	require.NoError(t, cmd.Wait())
	return stop.Ended()
}
