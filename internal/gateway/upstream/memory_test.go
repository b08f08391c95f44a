package upstream

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"heatherbarrow/internal/gateway/netio"
	"heatherbarrow/internal/membudget"
)

// startPausingReplica starts a replica that answers with the text, pauses and keeps the connection.
func startPausingReplica(t *testing.T, text string) *testReplica {
	t.Helper()
	return startReplica(t, func(c net.Conn, in *bufio.Reader) {
		if _, _, err := readRequest(in); err != nil {
			return
		}
		_, _ = io.WriteString(c, text)
		_, _ = in.ReadByte() // until the caller closes
	})
}

const streamHead = "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Type: text/event-stream\r\n\r\n"

// Guards against answers of a faulty replica that together occupy more than the memory set aside for answers, against a
// long answer of a sound replica that fails beside them, and against memory that is not given back.
func TestAnswersOfFloodingReplicaLeaveRoomForOthers(t *testing.T) {
	const limit, answers = 4 << 20, 20
	flooding := startPausingReplica(t, streamHead+"id: 0\ndata: "+strings.Repeat("x", 900<<10))
	long := strings.Repeat("y", 700<<10)
	sound := startReplica(t, func(c net.Conn, in *bufio.Reader) {
		if _, _, err := readRequest(in); err == nil {
			_, _ = io.WriteString(c, okResponse("1", long))
		}
	})
	memory := membudget.New(limit, 1)
	client := NewClient((&net.Dialer{Timeout: time.Second}).DialContext, memory)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	ended := make(chan error, answers)
	for range answers {
		response, err := client.Do(ctx, newRequest(flooding.address, "1"))
		require.NoError(t, err)
		go func() {
			defer response.Close()
			_, err := response.Events().Next()
			ended <- err
		}()
	}
	for range answers - limit/2/(512<<10) - 2 {
		require.ErrorIs(t, <-ended, membudget.ErrExhausted)
	}
	assert.LessOrEqual(t, client.HeldBytes(), limit/2)
	response, err := client.Do(ctx, newRequest(sound.address, "1"))
	require.NoError(t, err)
	body, complete, err := response.ReadAll(1 << 20)
	require.NoError(t, err)
	assert.True(t, complete)
	assert.Equal(t, long, string(body))
	assert.GreaterOrEqual(t, client.HeldBytes(), len(body)-membudget.AllowanceBytes)
	response.Close()
	cancel()
	require.Eventually(t, func() bool { return client.HeldBytes() == 0 }, time.Minute, time.Millisecond)
}

// Guards against heads of many short lines, which occupy many times their size, and against heads that count after their
// response has been closed.
func TestHeadCountsWhatItOccupies(t *testing.T) {
	const limit = 200 << 10
	var head strings.Builder
	for i := range 2000 {
		head.WriteString("x-" + itoa(i) + ":\r\n")
	}
	r := startPausingReplica(t, "HTTP/1.1 200 OK\r\nId: 1\r\n"+head.String()+"\r\n")
	memory := membudget.New(limit, 1)
	client := NewClient((&net.Dialer{Timeout: time.Second}).DialContext, memory)
	_, err := client.Do(t.Context(), newRequest(r.address, "1"))
	require.ErrorIs(t, err, ErrNoResponse)
	require.ErrorIs(t, err, membudget.ErrExhausted)
	assert.Zero(t, client.HeldBytes())

	memory = membudget.New(10*limit, 1)
	client = NewClient((&net.Dialer{Timeout: time.Second}).DialContext, memory)
	response, err := client.Do(t.Context(), newRequest(r.address, "1"))
	require.NoError(t, err)
	assert.Equal(t, http.StatusOK, response.Status)
	assert.Greater(t, client.HeldBytes(), 2000*netio.HeadLineBytes)
	response.Close()
	assert.Zero(t, client.HeldBytes())
}

// Guards against a stream that keeps the buffer of a large event while only small ones follow.
func TestEventReaderDropsTheBufferOfALargeEvent(t *testing.T) {
	memory := membudget.New(4<<20, 1)
	account := memory.Open("r")
	large := "id: 1\ndata: " + strings.Repeat("x", 900<<10) + "\n\n"
	events := NewEventReader(strings.NewReader("id: 0\n\n"+large+"id: 2\n\n"), account)
	for i, id := range []string{"0", "1", "2"} {
		event, err := events.Next()
		require.NoError(t, err)
		assert.Equal(t, id, event.ID)
		if i == 1 {
			assert.Equal(t, large, string(event.Raw))
			assert.Greater(t, memory.Held(), len(large)-membudget.AllowanceBytes-1)
		}
	}
	assert.Zero(t, memory.Held())
	account.Close()
	assert.Zero(t, account.Held())
}

func BenchmarkEventReader(b *testing.B) {
	for name, event := range map[string]string{
		"short": "id: 17\ndata: {\"tokens\": [1, 2, 3, 4]}\n\n", "long": "id: 17\ndata: " + strings.Repeat("x", 20<<10) + "\n\n",
	} {
		b.Run(name, func(b *testing.B) {
			account := membudget.New(38<<20, 1).Open("r")
			text := strings.Repeat(event, 100)
			b.SetBytes(int64(len(text)))
			b.ReportAllocs()
			for b.Loop() {
				events := NewEventReader(strings.NewReader(text), account)
				for {
					if _, err := events.Next(); err != nil {
						break
					}
				}
				account.Close()
			}
		})
	}
}
