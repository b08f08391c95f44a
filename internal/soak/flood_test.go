package soak

import (
	"context"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// endlessTimeout is the timeout of routes that ends endless answers.
const endlessTimeout = 1500 * time.Millisecond

// endlessFloods are answers that bring bytes until the connection is closed.
var endlessFloods = map[string]flood{
	"plain":  {path: floodPlainPath, fill: repeated("x"), bytes: floodBytes, endless: true},
	"order":  {path: floodOrderPath, fill: repeated("x"), bytes: floodBytes, endless: true},
	"events": {path: floodPath, fill: repeated("data: some text\n\n"), bytes: floodBytes, endless: true},
	"lines":  {path: floodPath, begin: "id: 0\n", fill: repeated("data: some text\n"), bytes: floodBytes, endless: true},
}

// callEndless sends a request that is answered with a flood, and reads the answer or leaves it unread until ctx has ended.
// It reports whether the gateway ended it before.
func (rig *floodRig) callEndless(ctx context.Context, id, path string, reads bool) bool {
	c, err := net.Dial("tcp", rig.host.settings.Listen)
	if !assert.NoError(rig.t, err) {
		return false
	}
	defer func() { _ = c.Close() }()
	defer context.AfterFunc(ctx, func() { _ = c.Close() })()
	_ = c.(*net.TCPConn).SetReadBuffer(rigBufferBytes) // callers share no memory for sockets with the gateway
	_, _ = fmt.Fprintf(c, "POST %s HTTP/1.1\r\nHost: %s\r\nHeatherbarrow-Attempt-Id: %s\r\nConnection: close\r\nContent-Length: 0\r\n\r\n", path, callerHost, id)
	if !reads {
		<-ctx.Done()
		return false
	}
	_, _ = io.Copy(io.Discard, c)
	return ctx.Err() == nil
}

// sendUntilServed sends a request as a caller does that sends it again when it was refused as not run.
func (rig *floodRig) sendUntilServed(path string) (refused int, err error) {
	const retryPause = 100 * time.Millisecond
	for begun := time.Now(); ; refused++ {
		err = rig.send(path, "body")
		if err == nil || !strings.Contains(err.Error(), "status 503") || time.Since(begun) > callerDeadline {
			return refused, err
		}
		time.Sleep(retryPause)
	}
}

// Guards against endless answers that go on after their route's timeout, exceed the memory of the host, or keep sound requests
// to the same replicas from being served, beside them or afterwards.
func TestSoundRequestsAreServedBesideEndlessAnswers(t *testing.T) {
	lane := takeLane(t)
	number := 0
	for name, f := range endlessFloods {
		for _, reads := range []bool{true, false} {
			number++
			t.Run(fmt.Sprintf("%s,read=%v", name, reads), func(t *testing.T) {
				rig := startFloodRig(t, lane, number, f, 2, 2, endlessTimeout)
				lasts := maxFloodTime // is not reached if the gateway ends the answers
				if !reads {
					lasts = 2 * endlessTimeout
				}
				ctx, cancel := context.WithTimeout(context.Background(), lasts)
				defer cancel()
				var flooded sync.WaitGroup
				var ended atomic.Int64
				for i := range floodedAtOnce {
					flooded.Go(func() {
						if rig.callEndless(ctx, fmt.Sprintf("faulty-h-%d", i), f.path+"x", reads) {
							ended.Add(1)
						}
					})
				}
				over := make(chan struct{})
				go func() {
					flooded.Wait()
					close(over)
				}()
				sound, refusals, failed := rig.sendSound(over, rig.sendUntilServed)
				for _, p := range []string{"/lookup/x", "/stream/x"} {
					_, err := rig.sendUntilServed(p)
					assert.NoError(t, err, "after the flood")
				}
				begun := int64(0)
				for _, r := range rig.replicas {
					begun += r.begun.Load()
				}
				t.Logf("resident: at most %d KB; %d requests flooded, %d ended; %d sound requests, %d refusals, failed: %v",
					rig.host.residentKB("VmHWM"), begun, ended.Load(), sound, refusals, failed)
				require.Positive(t, begun, "requests that reached the faulty replicas")
				if reads {
					assert.Equal(t, int64(floodedAtOnce), ended.Load(), "answers that ended with their route's timeout")
				}
				assert.Less(t, rig.host.residentKB("VmHWM"), memoryLimitMB<<10, "KB resident at most")
				assert.Empty(t, failed, "sound requests")
			})
		}
	}
}
