package control

import (
	"math"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"heatherbarrow/internal/bundle"
	"heatherbarrow/internal/bus"
	"heatherbarrow/internal/membership"
	"heatherbarrow/internal/rpc"
)

// Kinds of messages in the input of FuzzMessages.
const (
	messageExchange = iota
	messageShareRequest
	messageShares
	messageReport
	messageBundle
	messageBundleRequest
	messageCrash
	messageKinds
)

func encodedMessage(f *testing.F, m proto.Message) []byte {
	data, err := proto.Marshal(m)
	require.NoError(f, err)
	return data
}

// fuzzLoop is the loop of a host with a bundle that coordinates its only team.
func fuzzLoop(t *testing.T) (*Loop, *clockwork.FakeClock) {
	clock := clockwork.NewFakeClockAt(time.Unix(1_700_000_000, 0))
	l := NewLoop(Options{
		Bus: bus.New(), Logger: zerolog.Nop(), Clock: clock,
		Member: membership.Options{Host: "h0", Zone: "ate", PeerAddress: "127.0.0.1:1", Incarnation: 1},
	})
	content := testContent(t, "10s")
	parsed, err := bundle.Parse(content)
	require.NoError(t, err)
	l.inForce(&accepted{record: &rpc.BundleRecord{Generation: 1, Sha256: "aa", Content: content}, parsed: parsed}, clock.Now())
	l.handle(HeartbeatDue{})
	clock.Advance(time.Minute) // a coordinator that just started lends nothing
	return l, clock
}

func requireShares(t *testing.T, granted []*rpc.TeamShare) {
	t.Helper()
	for _, s := range granted {
		for _, amount := range []float64{s.TokensPerSecond, s.InProgress} {
			require.False(t, math.IsNaN(amount) || math.IsInf(amount, 0) || amount < 0, "share %v", amount)
		}
	}
}

// Guards against a message of a peer or router that makes the control goroutine
// panic, lends a share that is no amount, or replaces the bundle without signatures.
func FuzzMessages(f *testing.F) {
	demand := func(tokens float64) *rpc.ShareRequest {
		return &rpc.ShareRequest{Host: "h1", Demand: []*rpc.TeamDemand{{Team: "counter", TokensPerSecond: tokens, InProgress: 1}}}
	}
	from := &rpc.HostState{Host: "h1", AvailabilityZone: "ate", Incarnation: 3, Heartbeat: 1}
	for kind, messages := range map[int][]proto.Message{
		messageExchange: {
			&rpc.ExchangeMessage{From: from, Bundle: &rpc.BundleRecord{Generation: 9}, WantList: true},
			&rpc.ExchangeMessage{From: from, Quarantine: []*rpc.QuarantineEntry{{Fingerprint: 1, ExpiresUnixMs: math.MaxInt64}}},
		},
		messageShareRequest: {demand(100), demand(math.NaN()), demand(math.Inf(1)), demand(-1)},
		messageShares: {&rpc.ShareResponse{Shares: []*rpc.TeamShare{
			{Team: "counter", TokensPerSecond: math.NaN(), InProgress: -1, ValidMs: math.MaxUint32},
		}}},
		messageReport: {&rpc.ReportRequest{Teams: []*rpc.TeamUsage{{Team: "counter", DemandedTokens: math.MaxUint64}}}},
		messageBundle: {
			&rpc.BundleRecord{Generation: 2, Sha256: "bb", Content: []byte("{}"), Author: "ana", Approver: "ben"},
			&rpc.BundleRecord{Generation: 2, BaseSha256: "aa", Prefix: 3, Suffix: math.MaxUint64},
		},
		messageBundleRequest: {&rpc.BundleRequest{HaveSha256: "aa"}, &rpc.BundleRequest{AboveGeneration: math.MaxUint64}},
		messageCrash:         {&rpc.CrashRequest{Fingerprint: 5, Upstream: "models", Replica: "e1"}},
	} {
		for _, m := range messages {
			f.Add(uint8(kind), encodedMessage(f, m))
		}
	}
	f.Fuzz(func(t *testing.T, kind uint8, data []byte) {
		l, clock := fuzzLoop(t)
		handleEncoded(t, l, int(kind)%messageKinds, data)
		clock.Advance(time.Second)
		l.handle(HeartbeatDue{})
		l.handle(Tick{})
		require.Equal(t, uint64(1), l.State().Bundle.Generation)
		requireShares(t, l.State().View.Shares)
	})
}

// handleEncoded decodes a message and does with it what the servers and clients do.
func handleEncoded(t *testing.T, l *Loop, kind int, data []byte) {
	message := []proto.Message{
		&rpc.ExchangeMessage{}, &rpc.ShareRequest{}, &rpc.ShareResponse{}, &rpc.ReportRequest{},
		&rpc.BundleRecord{}, &rpc.BundleRequest{}, &rpc.CrashRequest{},
	}[kind]
	if proto.Unmarshal(data, message) != nil {
		return
	}
	switch m := message.(type) {
	case *rpc.ExchangeMessage:
		e := &MessageReceived{Message: m, Answer: true}
		l.handle(e)
		require.NotNil(t, e.Reply)
	case *rpc.ShareRequest:
		e := &SharesRequested{Request: m}
		l.handle(e)
		requireShares(t, e.Shares)
	case *rpc.ShareResponse:
		l.handle(SharesGranted{Shares: m.Shares, AskedAt: l.opts.Clock.Now()})
	case *rpc.ReportRequest:
		l.handle(UsageReported{Report: m})
		l.handle(&SharesDue{})
	case *rpc.BundleRecord:
		if restored, err := Restore(m, l.State().Bundle); err == nil {
			l.handle(BundleReceived{Record: restored, Source: "peer"})
		}
	case *rpc.BundleRequest:
		_, err := l.State().Transfer(m)
		require.NoError(t, err)
	case *rpc.CrashRequest:
		l.handle(&CrashReported{Request: m})
	}
}

// Guards against an engine's load report that makes the observer or the table panic,
// or whose numbers overflow into a load that the engine did not report.
func FuzzLoadReport(f *testing.F) {
	for _, seed := range []string{
		`{"running":3,"waiting":1,"tokens_per_second":812.5,"models":["m"],"role":"mixed","age_ms":40,"boot":"b1"}`,
		`{"age_ms":9223372036854775807,"tokens_per_second":1e300}`, `{"age_ms":-5,"tokens_per_second":-1}`,
		`{"running":-1}`, `{"running":4294967296}`, `{"models":[null,"","m","m"],"role":"?"}`, "null", "[]", `{"models":`,
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, body []byte) {
		report, err := parseLoadReport(body)
		if err != nil {
			return
		}
		l, clock := fuzzLoop(t)
		observation := membership.Observation{Upstream: "models", Replica: "e1", CalledAt: clock.Now(), Reachable: true}
		require.True(t, (&history{boot: "b0"}).note(report, &observation))
		require.Equal(t, report.TokensPerSecond >= 1, observation.TokensPerSecond > 0)
		require.GreaterOrEqual(t, observation.Lag, time.Duration(0))
		require.LessOrEqual(t, observation.Lag, maxReportAge)
		l.handle(Observed{Observations: []membership.Observation{observation}})
		clock.Advance(time.Second)
		l.handle(Tick{})
		replicas := l.State().View.Replicas
		require.Len(t, replicas, 1)
		require.Equal(t, report.Running, replicas[0].GetRunning())
	})
}
