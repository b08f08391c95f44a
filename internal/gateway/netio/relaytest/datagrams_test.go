package relaytest

import (
	"net"
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// newDatagrams returns a relay, what sends to it and where its datagrams come out.
func newDatagrams(t *testing.T) (relay *Datagrams, sender net.Conn, target *net.UDPConn) {
	t.Helper()
	target, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	require.NoError(t, err)
	t.Cleanup(func() { _ = target.Close() })
	relay, err = NewDatagrams("127.0.0.1:0", target.LocalAddr().String())
	require.NoError(t, err)
	t.Cleanup(relay.Close)
	sender, err = net.Dial("udp4", relay.Address())
	require.NoError(t, err)
	t.Cleanup(func() { _ = sender.Close() })
	return relay, sender, target
}

// received returns the datagrams that come until none has come for a time.
func received(t *testing.T, target *net.UDPConn, within time.Duration) (texts []string) {
	t.Helper()
	buffer := make([]byte, 100)
	for {
		require.NoError(t, target.SetReadDeadline(time.Now().Add(within)))
		n, err := target.Read(buffer)
		if err != nil {
			require.ErrorIs(t, err, os.ErrDeadlineExceeded)
			return texts
		}
		texts = append(texts, string(buffer[:n]))
	}
}

func sendAll(t *testing.T, sender net.Conn, texts ...string) {
	t.Helper()
	for _, text := range texts {
		_, err := sender.Write([]byte(text))
		require.NoError(t, err)
	}
}

// Guards against datagrams that are harmed without a fault, and faults whose end ends another one that overlaps.
func TestDatagramsAreLostWhileAFaultLasts(t *testing.T) {
	relay, sender, target := newDatagrams(t)
	sendAll(t, sender, "1", "2")
	assert.Equal(t, []string{"1", "2"}, received(t, target, quiet))
	endFirst, endSecond := relay.Begin(DatagramFault{Loss: 1}), relay.Begin(DatagramFault{Loss: 1})
	sendAll(t, sender, "3")
	assert.Empty(t, received(t, target, quiet))
	endFirst()
	endFirst() // again
	sendAll(t, sender, "4")
	assert.Empty(t, received(t, target, quiet))
	endSecond()
	sendAll(t, sender, "5")
	assert.Equal(t, []string{"5"}, received(t, target, quiet))
	assert.EqualValues(t, 3, relay.Passed())
}

func TestDatagramsAreDoubledAndLate(t *testing.T) {
	const latency, jitter = 300 * time.Millisecond, 100 * time.Millisecond
	relay, sender, target := newDatagrams(t)
	end := relay.Begin(DatagramFault{Doubled: 1})
	sendAll(t, sender, "1")
	assert.Equal(t, []string{"1", "1"}, received(t, target, quiet))
	end()
	end = relay.Begin(DatagramFault{Latency: latency, Jitter: jitter})
	began := time.Now()
	sendAll(t, sender, "2", "3")
	require.NoError(t, target.SetReadDeadline(began.Add(patience)))
	_, err := target.Read(make([]byte, 1))
	require.NoError(t, err)
	assert.GreaterOrEqual(t, time.Since(began), latency-jitter)
	assert.Len(t, received(t, target, latency+jitter), 1)
	end()
	began = time.Now()
	sendAll(t, sender, "4")
	require.NoError(t, target.SetReadDeadline(began.Add(patience)))
	_, err = target.Read(make([]byte, 1))
	require.NoError(t, err)
	assert.Less(t, time.Since(began), latency-jitter)
}

// Guards against a relay that loses or adds datagrams when many come at once.
func TestEachOfManyDatagrams(t *testing.T) {
	const sent = 100
	for name, c := range map[string]struct {
		fault    DatagramFault
		received int
	}{
		"calm": {DatagramFault{}, sent}, "lost": {DatagramFault{Loss: 1}, 0}, "doubled": {DatagramFault{Doubled: 1}, 2 * sent},
		"late": {DatagramFault{Latency: 50 * time.Millisecond, Jitter: 50 * time.Millisecond}, sent},
	} {
		t.Run(name, func(t *testing.T) {
			relay, sender, target := newDatagrams(t)
			defer relay.Begin(c.fault)()
			for range sent {
				sendAll(t, sender, "x")
			}
			assert.Len(t, received(t, target, time.Second), c.received)
		})
	}
}

// Guards against a relay that ends because its target is away, as that of a host which starts again.
func TestDatagramsToATargetThatIsAway(t *testing.T) {
	_, sender, target := newDatagrams(t)
	address := target.LocalAddr().(*net.UDPAddr)
	require.NoError(t, target.Close())
	sendAll(t, sender, "lost", "lost")
	time.Sleep(quiet)
	again, err := net.ListenUDP("udp4", address)
	require.NoError(t, err)
	t.Cleanup(func() { _ = again.Close() })
	sendAll(t, sender, "1")
	assert.Equal(t, []string{"1"}, received(t, again, quiet))

}
