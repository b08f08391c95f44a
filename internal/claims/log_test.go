package claims

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"heatherbarrow/internal/rpc"
)

const testRetention = time.Hour

// logWorld is a few hosts that write the same shard without knowing of each other.
type logWorld struct {
	t       *rapid.T
	clock   *clockwork.FakeClock
	store   Store
	hosts   []*shardLog
	voids   [][]record // by host: releases of refused claims still to be written
	late    []func()
	faulty  bool
	busy    []bool // hosts paused in a store call
	depth   int
	serial  int
	holders map[key]string // claims granted and not released
	granted []record
	stuck   map[key]bool    // keys whose release was lost with a host
	newest  record          // of the newest claim
	given   map[string]bool // attempts given back, to whether that is in the log
}

func newLogWorld(t *rapid.T, hosts int) *logWorld {
	_, client := newPlatform()
	w := &logWorld{t: t, clock: clockwork.NewFakeClock(), store: client, faulty: true, holders: make(map[key]string), stuck: make(map[key]bool), given: make(map[string]bool), voids: make([][]record, hosts), busy: make([]bool, hosts)}
	for range hosts {
		w.hosts = append(w.hosts, w.newHost())
	}
	return w
}

func (w *logWorld) newHost() *shardLog {
	store := &faultyStore{Store: w.store, choose: w.choose, late: &w.late}
	return &shardLog{store: store, now: w.clock.Now, retention: func() time.Duration { return testRetention }, sealBytes: 600, sealAge: defaultSealAge}
}

// choose draws the fault of a store call. While a host waits for the platform,
// other hosts may take whole steps.
func (w *logWorld) choose(write bool) fault {
	if !w.faulty {
		return faultNone
	}
	if w.depth < 2 && rapid.IntRange(0, 5).Draw(w.t, "pause") == 0 {
		w.depth++
		w.step()
		w.depth--
	}
	n := rapid.IntRange(0, 19).Draw(w.t, "fault")
	if n > int(faultLate) || !write && n > int(faultBefore) {
		return faultNone
	}
	return fault(n)
}

func (w *logWorld) step() {
	switch rapid.IntRange(0, 9).Draw(w.t, "step") {
	case 0:
		if i, ok := w.idleHost(); ok {
			for _, v := range w.voids[i] {
				w.stuck[v.Key] = true
			}
			w.hosts[i], w.voids[i] = w.newHost(), nil
		}
	case 1:
		w.clock.Advance(time.Duration(rapid.IntRange(1, 50).Draw(w.t, "seconds")) * time.Second)
	case 2:
		if len(w.late) > 0 {
			land := w.late[0]
			w.late = w.late[1:]
			land()
		}
	case 3, 4:
		w.recordOutcome()
	case 5:
		// The claim is in progress when this step runs in a pause of its host.
		if w.holders[w.newest.Key] != w.newest.Claim && w.serial > 0 {
			w.giveBack(w.newest)
		}
	default:
		if i, ok := w.idleHost(); ok {
			w.claim(i, testKey(rapid.IntRange(0, 5).Draw(w.t, "key")))
		}
	}
}

func (w *logWorld) idleHost() (int, bool) {
	i := rapid.IntRange(0, len(w.hosts)-1).Draw(w.t, "host")
	return i, !w.busy[i]
}

// append runs a host's log, during which other hosts may take steps.
func (w *logWorld) append(host int, batch []*operation) error {
	w.busy[host] = true
	defer func() { w.busy[host] = false }()
	return w.hosts[host].append(context.Background(), batch)
}

func testKey(n int) key { return key{0, 0, byte(n)} } // all of shard 0

func testOperation(r record) *operation { return &operation{record: r, done: make(chan struct{})} }

// claim tries a claim once or twice, with the host's waiting releases in the same batch.
func (w *logWorld) claim(host int, k key) rpc.ClaimResult {
	w.serial++
	r := record{Key: k, Claim: fmt.Sprintf("a%d.n", w.serial), Host: "h"}
	w.newest = r
	overtaken := w.faulty && rapid.IntRange(0, 7).Draw(w.t, "overtaken") == 0
	if overtaken {
		w.giveBack(r)
	}
	final := overtaken && w.given[attemptOf(r.Claim)]
	claim := testOperation(r)
	claim.release = func(o *operation) {
		r := o.record
		r.Outcome = outcomeNotRun
		w.voids[host] = append(w.voids[host], r)
	}
	batch := []*operation{claim}
	for _, v := range w.voids[host] {
		batch = append(batch, testOperation(v))
	}
	for range 2 {
		if w.append(host, batch) == nil {
			w.voids[host] = w.voids[host][min(len(batch)-1, len(w.voids[host])):]
			break
		}
	}
	if claim.abandon() {
		claim.finish(unavailable(errUnavailable), nil)
		return rpc.ClaimResult_CLAIM_RESULT_UNAVAILABLE
	}
	response, _ := claim.decided()
	if response.Result == rpc.ClaimResult_CLAIM_RESULT_GRANTED {
		if final {
			w.t.Fatalf("%s granted after it was given back", r.Claim)
		}
		if _, given := w.given[attemptOf(r.Claim)]; given {
			return response.Result // the router does not run it
		}
		if holder, held := w.holders[k]; held {
			w.t.Fatalf("key %x granted to %s while %s holds it", k, r.Claim, holder)
		}
		w.holders[k] = r.Claim
		w.granted = append(w.granted, r)
	}
	return response.Result
}

// giveBack does what a router does that got no answer to a claim.
func (w *logWorld) giveBack(r record) {
	attempt := attemptOf(r.Claim)
	if w.given[attempt] {
		return
	}
	host, ok := w.idleHost()
	if !ok {
		return
	}
	w.given[attempt] = false
	r.Claim, r.Outcome = attempt, outcomeNotRun
	w.given[attempt] = w.append(host, []*operation{testOperation(r)}) == nil
	w.stuck[r.Key] = w.stuck[r.Key] || !w.given[attempt]
}

// recordOutcome writes the outcome of a granted claim through any host. A key
// may be granted again from the moment its release is sent.
func (w *logWorld) recordOutcome() {
	if len(w.granted) == 0 {
		return
	}
	host, ok := w.idleHost()
	if !ok {
		return
	}
	i := rapid.IntRange(0, len(w.granted)-1).Draw(w.t, "granted")
	r := w.granted[i]
	w.granted = append(w.granted[:i:i], w.granted[i+1:]...)
	r.Claim, r.Outcome = attemptOf(r.Claim), rapid.SampledFrom([]string{"completed", "unknown", outcomeNotRun, outcomeNotRun}).Draw(w.t, "outcome")
	if r.Outcome == outcomeNotRun {
		delete(w.holders, r.Key)
	}
	if w.append(host, []*operation{testOperation(r)}) != nil {
		w.stuck[r.Key] = true
	}
}

// Guards against a second grant of a key after a writer change, a pause between
// any two store calls, a crash, a lost answer or a write that lands late, and
// against a key that stays held by a refused claim.
func TestLogGrantsAKeyOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newLogWorld(t, 3)
		for range rapid.IntRange(5, 60).Draw(t, "steps") {
			w.step()
		}
		w.faulty = false
		for _, land := range w.late {
			land()
		}
		for i := range w.hosts {
			require.Equal(t, rpc.ClaimResult_CLAIM_RESULT_GRANTED, w.claim(i, testKey(100+i)))
		}
		for k, holder := range w.holders {
			require.NotEqual(t, rpc.ClaimResult_CLAIM_RESULT_GRANTED, w.claim(0, k), holder)
		}
		for n := range 6 {
			if k := testKey(n); w.holders[k] == "" && !w.stuck[k] {
				require.Equal(t, rpc.ClaimResult_CLAIM_RESULT_GRANTED, w.claim(0, k), "a refused claim was not released")
			}
		}
	})
}

func newTestLog(t *testing.T) (*shardLog, *clockwork.FakeClock) {
	t.Helper()
	_, client := newPlatform()
	clock := clockwork.NewFakeClock()
	return &shardLog{store: client, now: clock.Now, retention: func() time.Duration { return testRetention }, sealBytes: defaultSealBytes, sealAge: defaultSealAge}, clock
}

func claimOn(t *testing.T, l *shardLog, k key, claim string) rpc.ClaimResult {
	t.Helper()
	o := testOperation(record{Key: k, Claim: claim, Host: "h"})
	require.NoError(t, l.append(context.Background(), []*operation{o}))
	response, _ := o.decided()
	return response.Result
}

// Guards against a writer that was paused for longer than the retention and
// then creates a segment that was deleted meanwhile: what it holds must not be
// taken for the log.
func TestSegmentIsNotCreatedTwice(t *testing.T) {
	l, clock := newTestLog(t)
	paused := &shardLog{store: l.store, now: l.now, retention: l.retention, sealBytes: l.sealBytes, sealAge: l.sealAge}
	require.Equal(t, rpc.ClaimResult_CLAIM_RESULT_GRANTED, claimOn(t, l, testKey(1), "a1.x"))
	clock.Advance(2 * defaultSealAge)
	require.Equal(t, rpc.ClaimResult_CLAIM_RESULT_GRANTED, claimOn(t, l, testKey(2), "a2.x")) // seals segment 1
	_, err := paused.catchUp(context.Background())
	require.NoError(t, err)
	require.True(t, paused.newest.Sealed)
	for i := range 8 {
		clock.Advance(testRetention / 2)
		require.Equal(t, rpc.ClaimResult_CLAIM_RESULT_GRANTED, claimOn(t, l, testKey(10+i), fmt.Sprintf("b%d.x", i)))
		require.NoError(t, l.maintain(context.Background()))
	}
	require.Greater(t, l.segments[0].number, uint64(2))
	// The paused writer goes on where it was: right before it creates segment 2.
	err = paused.write(context.Background(), []record{{Key: testKey(17), Claim: "late.x", Host: "h"}})
	require.ErrorIs(t, err, errLostTrack)
	require.Equal(t, rpc.ClaimResult_CLAIM_RESULT_IN_PROGRESS, claimOn(t, paused, testKey(17), "late.y"))
}

// Guards against a stray segment, left by a writer that died right after it
// created a deleted segment again, that hides or replaces the log.
func TestStraySegmentBelowAGapIsIgnored(t *testing.T) {
	l, clock := newTestLog(t)
	for i := range 12 {
		require.Equal(t, rpc.ClaimResult_CLAIM_RESULT_GRANTED, claimOn(t, l, testKey(i), fmt.Sprintf("a%d.x", i)))
		clock.Advance(testRetention / 2)
	}
	require.NoError(t, l.maintain(context.Background()))
	records, err := encodeRecords([]record{{Key: testKey(11), Claim: "stray.x", Host: "h"}})
	require.NoError(t, err)
	stray := &segment{Format: segmentFormat, Shards: ShardCount, Records: records}
	_, err = l.store.Create(context.Background(), kindClaim, segmentName(0, 1), stray)
	require.NoError(t, err)
	for i, most := range []int{1000, 1} {
		other := &shardLog{store: &pagedStore{l.store, most}, now: l.now, retention: l.retention, sealBytes: l.sealBytes, sealAge: l.sealAge}
		o := testOperation(record{Key: testKey(11), Claim: fmt.Sprintf("b%d.x", i), Host: "h"})
		require.NoError(t, other.append(context.Background(), []*operation{o}))
		response, _ := o.decided()
		require.Equal(t, "a11", response.FirstAttempt)
	}
}

// Guards against a segment that a reader of a long shard misses or reads out of
// order, at every place where the numbers are divided.
func TestLongShardIsReadInPages(t *testing.T) {
	ctx := context.Background()
	for _, first := range []uint64{1, 96, 995, 9_997, 99_999_998} {
		l, _ := newTestLog(t)
		for i := range 10 {
			records, err := encodeRecords([]record{{Key: testKey(i), Claim: fmt.Sprintf("a%d.x", i), Host: "h"}})
			require.NoError(t, err)
			s := &segment{Format: segmentFormat, Shards: ShardCount, Last: l.now().UnixMilli(), Sealed: true, Records: records}
			_, err = l.store.Create(ctx, kindClaim, segmentName(0, first+uint64(i)), s)
			require.NoError(t, err)
		}
		l.store = &pagedStore{l.store, 2}
		require.NoError(t, l.load(ctx))
		require.Len(t, l.index.entries, 10)
		require.Equal(t, first, l.segments[0].number)
	}
}

// Guards against a key that is freed before claim_retention has passed, and
// against keys and segments that are kept for ever.
func TestKeysAgeOut(t *testing.T) {
	l, clock := newTestLog(t)
	require.Equal(t, rpc.ClaimResult_CLAIM_RESULT_GRANTED, claimOn(t, l, testKey(1), "first.x"))
	granted := clock.Now()
	for i := 0; ; i++ {
		clock.Advance(3 * defaultSealAge)
		require.Equal(t, rpc.ClaimResult_CLAIM_RESULT_GRANTED, claimOn(t, l, key{0, 0, 2, byte(i)}, fmt.Sprintf("b%d.x", i)))
		if claimOn(t, l, testKey(1), "second.x") == rpc.ClaimResult_CLAIM_RESULT_GRANTED {
			break
		}
		require.Less(t, clock.Since(granted), 2*testRetention)
	}
	require.Greater(t, clock.Since(granted), testRetention)
	before := len(l.segments)
	require.NoError(t, l.maintain(context.Background()))
	require.Less(t, len(l.segments), before)
}

// Guards against a release that frees a key whose call ran, and against a
// repeated key or a different body that is granted.
func TestReleaseNamesOneClaim(t *testing.T) {
	l, _ := newTestLog(t)
	ctx := context.Background()
	require.Equal(t, rpc.ClaimResult_CLAIM_RESULT_GRANTED, claimOn(t, l, testKey(1), "a.1"))
	outcomes := []record{
		{Key: testKey(1), Claim: "a.2", Outcome: outcomeNotRun}, // another call for the same attempt
		{Key: testKey(1), Claim: "a", Outcome: "completed", Status: 201},
		{Key: testKey(1), Claim: "a", Outcome: outcomeNotRun}, // after the call is known to have run
	}
	for _, r := range outcomes {
		require.NoError(t, l.append(ctx, []*operation{testOperation(r)}))
	}
	require.Equal(t, rpc.ClaimResult_CLAIM_RESULT_FINISHED, claimOn(t, l, testKey(1), "b.1"))
	other := testOperation(record{Key: testKey(1), Claim: "c.1", Body: bodyHash{1}})
	require.NoError(t, l.append(ctx, []*operation{other}))
	response, _ := other.decided()
	require.Equal(t, rpc.ClaimResult_CLAIM_RESULT_CONFLICT, response.Result)
	require.Equal(t, uint32(201), response.Status)
	require.Equal(t, rpc.ClaimResult_CLAIM_RESULT_UNAVAILABLE, claimOn(t, l, testKey(2), "a.2"), "a released claim is granted later")
}
