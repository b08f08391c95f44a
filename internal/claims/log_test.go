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

// logSimulation runs several hosts that write to the same shard without coordination.
type logSimulation struct {
	t               *rapid.T
	clock           *clockwork.FakeClock
	store           Store
	hosts           []*shardLog
	pendingReleases [][]record // for each host, the releases of refused claims that it must still write
	lateWrites      []func()   // writes that take effect in a later step
	faultsEnabled   bool
	busy            []bool // for each host, whether it is paused in a store call
	nesting         int    // number of store calls now interrupted by steps of other hosts
	claimCount      int
	holders         map[key]string // claims that were granted and not released
	granted         []record       // granted claims without an outcome
	releaseLost     map[key]bool   // keys whose outcome or release may be missing from the log
	newestClaim     record
	revoked         map[string]bool // for each revoked attempt, whether the revocation is known to be in the log
}

func newLogSimulation(t *rapid.T, hosts int) *logSimulation {
	_, client := newPlatform()
	s := &logSimulation{t: t, clock: clockwork.NewFakeClock(), store: client, faultsEnabled: true, holders: make(map[key]string), releaseLost: make(map[key]bool), revoked: make(map[string]bool), pendingReleases: make([][]record, hosts), busy: make([]bool, hosts)}
	for range hosts {
		s.hosts = append(s.hosts, s.newHost())
	}
	return s
}

func (s *logSimulation) newHost() *shardLog {
	store := &faultyStore{Store: s.store, chooseFault: s.chooseFault, lateWrites: &s.lateWrites}
	return &shardLog{store: store, now: s.clock.Now, retention: func() time.Duration { return testRetention }, sealBytes: 600, sealAge: defaultSealAge}
}

// chooseFault draws the fault of a store call. While a host is paused in the call, other
// hosts may run whole steps.
func (s *logSimulation) chooseFault(write bool) fault {
	if !s.faultsEnabled {
		return faultNone
	}
	if s.nesting < 2 && rapid.IntRange(0, 5).Draw(s.t, "pause") == 0 {
		s.nesting++
		s.step()
		s.nesting--
	}
	n := rapid.IntRange(0, 19).Draw(s.t, "fault")
	if n > int(faultAppliedLate) || !write && n > int(faultNotApplied) {
		return faultNone
	}
	return fault(n)
}

// step runs a random action: a host restarts, time passes, a late write takes effect, an
// outcome is recorded, an attempt is revoked or a host claims a key.
func (s *logSimulation) step() {
	switch rapid.IntRange(0, 9).Draw(s.t, "step") {
	case 0:
		if i, ok := s.idleHost(); ok {
			for _, release := range s.pendingReleases[i] {
				s.releaseLost[release.Key] = true
			}
			s.hosts[i], s.pendingReleases[i] = s.newHost(), nil
		}
	case 1:
		s.clock.Advance(time.Duration(rapid.IntRange(1, 50).Draw(s.t, "seconds")) * time.Second)
	case 2:
		if len(s.lateWrites) > 0 {
			applyWrite := s.lateWrites[0]
			s.lateWrites = s.lateWrites[1:]
			applyWrite()
		}
	case 3, 4:
		s.recordOutcome()
	case 5:
		// The claim is still undecided if this step runs while its host is paused.
		if s.holders[s.newestClaim.Key] != s.newestClaim.Claim && s.claimCount > 0 {
			s.revokeAttempt(s.newestClaim)
		}
	default:
		if i, ok := s.idleHost(); ok {
			s.claim(i, testKey(rapid.IntRange(0, 5).Draw(s.t, "key")))
		}
	}
}

// idleHost draws a host and reports whether it is idle.
func (s *logSimulation) idleHost() (int, bool) {
	i := rapid.IntRange(0, len(s.hosts)-1).Draw(s.t, "host")
	return i, !s.busy[i]
}

// append appends a batch on a host. Other hosts may run steps meanwhile.
func (s *logSimulation) append(host int, batch []*operation) error {
	s.busy[host] = true
	defer func() { s.busy[host] = false }()
	return s.hosts[host].append(context.Background(), batch)
}

func testKey(n int) key { return key{0, 0, byte(n)} } // a key of shard 0

func testOperation(r record) *operation { return &operation{record: r, done: make(chan struct{})} }

// claim tries up to two times to append a claim, in one batch with the host's pending
// releases.
func (s *logSimulation) claim(host int, k key) rpc.ClaimResult {
	s.claimCount++
	r := record{Key: k, Claim: fmt.Sprintf("a%d.n", s.claimCount), Host: "h"}
	s.newestClaim = r
	revokedFirst := s.faultsEnabled && rapid.IntRange(0, 7).Draw(s.t, "overtaken") == 0
	if revokedFirst {
		s.revokeAttempt(r)
	}
	revocationStored := revokedFirst && s.revoked[attemptOf(r.Claim)]
	claim := testOperation(r)
	claim.releaseKey = func(o *operation) {
		r := o.record
		r.Outcome = outcomeNotRun
		s.pendingReleases[host] = append(s.pendingReleases[host], r)
	}
	batch := []*operation{claim}
	for _, release := range s.pendingReleases[host] {
		batch = append(batch, testOperation(release))
	}
	for range 2 {
		if s.append(host, batch) == nil {
			s.pendingReleases[host] = s.pendingReleases[host][min(len(batch)-1, len(s.pendingReleases[host])):]
			break
		}
	}
	if claim.abandon() {
		claim.finish(unavailable(errUnavailable), nil)
		return rpc.ClaimResult_CLAIM_RESULT_UNAVAILABLE
	}
	response, _ := claim.result()
	if response.Result == rpc.ClaimResult_CLAIM_RESULT_GRANTED {
		if revocationStored {
			s.t.Fatalf("%s granted after its revocation was stored", r.Claim)
		}
		if _, revoked := s.revoked[attemptOf(r.Claim)]; revoked {
			return response.Result // the router no longer runs the call
		}
		if holder, held := s.holders[k]; held {
			s.t.Fatalf("key %x granted to %s while %s holds it", k, r.Claim, holder)
		}
		s.holders[k] = r.Claim
		s.granted = append(s.granted, r)
	}
	return response.Result
}

// revokeAttempt records an attempt as not run, as a router does that got no response to
// a claim.
func (s *logSimulation) revokeAttempt(r record) {
	attempt := attemptOf(r.Claim)
	if s.revoked[attempt] {
		return
	}
	host, ok := s.idleHost()
	if !ok {
		return
	}
	s.revoked[attempt] = false
	r.Claim, r.Outcome = attempt, outcomeNotRun
	s.revoked[attempt] = s.append(host, []*operation{testOperation(r)}) == nil
	s.releaseLost[r.Key] = s.releaseLost[r.Key] || !s.revoked[attempt]
}

// recordOutcome writes the outcome of a granted claim through any host. The key may be
// granted again as soon as an outcome not-run is sent.
func (s *logSimulation) recordOutcome() {
	if len(s.granted) == 0 {
		return
	}
	host, ok := s.idleHost()
	if !ok {
		return
	}
	i := rapid.IntRange(0, len(s.granted)-1).Draw(s.t, "granted")
	r := s.granted[i]
	s.granted = append(s.granted[:i:i], s.granted[i+1:]...)
	r.Claim, r.Outcome = attemptOf(r.Claim), rapid.SampledFrom([]string{"completed", "unknown", outcomeNotRun, outcomeNotRun}).Draw(s.t, "outcome")
	if r.Outcome == outcomeNotRun {
		delete(s.holders, r.Key)
	}
	if s.append(host, []*operation{testOperation(r)}) != nil {
		s.releaseLost[r.Key] = true
	}
}

// Guards against a key that is granted twice after a change of writers, a pause between
// any two store calls, a crash, a lost response or a write that takes effect late, and
// against a key that a refused claim keeps occupied.
func TestLogGrantsAKeyOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newLogSimulation(t, 3)
		for range rapid.IntRange(5, 60).Draw(t, "steps") {
			s.step()
		}
		s.faultsEnabled = false
		for _, applyWrite := range s.lateWrites {
			applyWrite()
		}
		for i := range s.hosts {
			require.Equal(t, rpc.ClaimResult_CLAIM_RESULT_GRANTED, s.claim(i, testKey(100+i)))
		}
		for k, holder := range s.holders {
			require.NotEqual(t, rpc.ClaimResult_CLAIM_RESULT_GRANTED, s.claim(0, k), holder)
		}
		for n := range 6 {
			if k := testKey(n); s.holders[k] == "" && !s.releaseLost[k] {
				require.Equal(t, rpc.ClaimResult_CLAIM_RESULT_GRANTED, s.claim(0, k), "a refused claim was not released")
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

// tryClaim appends a claim and returns its result.
func tryClaim(t *testing.T, l *shardLog, k key, claim string) rpc.ClaimResult {
	t.Helper()
	o := testOperation(record{Key: k, Claim: claim, Host: "h"})
	require.NoError(t, l.append(context.Background(), []*operation{o}))
	response, _ := o.result()
	return response.Result
}

// Guards against granting claims from a segment that was created a second time. This
// happens when a writer pauses for longer than the retention right before it creates a
// segment, and other writers create and delete that segment meanwhile.
func TestSegmentIsNotCreatedTwice(t *testing.T) {
	l, clock := newTestLog(t)
	paused := &shardLog{store: l.store, now: l.now, retention: l.retention, sealBytes: l.sealBytes, sealAge: l.sealAge}
	require.Equal(t, rpc.ClaimResult_CLAIM_RESULT_GRANTED, tryClaim(t, l, testKey(1), "a1.x"))
	clock.Advance(2 * defaultSealAge)
	require.Equal(t, rpc.ClaimResult_CLAIM_RESULT_GRANTED, tryClaim(t, l, testKey(2), "a2.x")) // seals segment 1
	_, err := paused.catchUp(context.Background())
	require.NoError(t, err)
	require.True(t, paused.newest.Sealed)
	for i := range 8 {
		clock.Advance(testRetention / 2)
		require.Equal(t, rpc.ClaimResult_CLAIM_RESULT_GRANTED, tryClaim(t, l, testKey(10+i), fmt.Sprintf("b%d.x", i)))
		require.NoError(t, l.maintain(context.Background()))
	}
	require.Greater(t, l.segments[0].number, uint64(2))
	// The paused writer resumes right before it creates segment 2.
	err = paused.write(context.Background(), []record{{Key: testKey(17), Claim: "late.x", Host: "h"}})
	require.ErrorIs(t, err, errLogChanged)
	require.Equal(t, rpc.ClaimResult_CLAIM_RESULT_IN_PROGRESS, tryClaim(t, paused, testKey(17), "late.y"))
}

// Guards against a stray segment that hides or replaces the log. A writer leaves one
// when it creates a deleted segment again and crashes before it removes it.
func TestStraySegmentBelowAGapIsIgnored(t *testing.T) {
	l, clock := newTestLog(t)
	for i := range 12 {
		require.Equal(t, rpc.ClaimResult_CLAIM_RESULT_GRANTED, tryClaim(t, l, testKey(i), fmt.Sprintf("a%d.x", i)))
		clock.Advance(testRetention / 2)
	}
	require.NoError(t, l.maintain(context.Background()))
	records, err := encodeRecords([]record{{Key: testKey(11), Claim: "stray.x", Host: "h"}})
	require.NoError(t, err)
	stray := &segment{Format: segmentFormat, Shards: ShardCount, Records: records}
	_, err = l.store.Create(context.Background(), kindClaim, segmentName(0, 1), stray)
	require.NoError(t, err)
	for i, maxObjects := range []int{1000, 1} {
		other := &shardLog{store: &listLimitStore{l.store, maxObjects}, now: l.now, retention: l.retention, sealBytes: l.sealBytes, sealAge: l.sealAge}
		o := testOperation(record{Key: testKey(11), Claim: fmt.Sprintf("b%d.x", i), Host: "h"})
		require.NoError(t, other.append(context.Background(), []*operation{o}))
		response, _ := o.result()
		require.Equal(t, "a11", response.FirstAttempt)
	}
}

// Guards against segments that are missed or read out of order when a shard is read in
// pages, also where the segment numbers cross from one range to the next.
func TestLongShardIsReadInPages(t *testing.T) {
	ctx := context.Background()
	for _, first := range []uint64{1, 96, 995, 9_997, 99_999_998} {
		l, _ := newTestLog(t)
		for i := range 10 {
			records, err := encodeRecords([]record{{Key: testKey(i), Claim: fmt.Sprintf("a%d.x", i), Host: "h"}})
			require.NoError(t, err)
			s := &segment{Format: segmentFormat, Shards: ShardCount, LastUnixMS: l.now().UnixMilli(), Sealed: true, Records: records}
			_, err = l.store.Create(ctx, kindClaim, segmentName(0, first+uint64(i)), s)
			require.NoError(t, err)
		}
		l.store = &listLimitStore{l.store, 2}
		require.NoError(t, l.load(ctx))
		require.Len(t, l.index.entries, 10)
		require.Equal(t, first, l.segments[0].number)
	}
}

// Guards against keys that are freed before claim_retention has passed, and against keys
// and segments that are never removed.
func TestKeysExpireAfterRetention(t *testing.T) {
	l, clock := newTestLog(t)
	require.Equal(t, rpc.ClaimResult_CLAIM_RESULT_GRANTED, tryClaim(t, l, testKey(1), "first.x"))
	granted := clock.Now()
	for i := 0; ; i++ {
		clock.Advance(3 * defaultSealAge)
		require.Equal(t, rpc.ClaimResult_CLAIM_RESULT_GRANTED, tryClaim(t, l, key{0, 0, 2, byte(i)}, fmt.Sprintf("b%d.x", i)))
		if tryClaim(t, l, testKey(1), "second.x") == rpc.ClaimResult_CLAIM_RESULT_GRANTED {
			break
		}
		require.Less(t, clock.Since(granted), 2*testRetention)
	}
	require.Greater(t, clock.Since(granted), testRetention)
	before := len(l.segments)
	require.NoError(t, l.maintain(context.Background()))
	require.Less(t, len(l.segments), before)
}

// Guards against a release that frees a key whose call ran, and against granting a claim
// on a key that was already used, with the same or another body.
func TestReleaseAppliesToOneClaim(t *testing.T) {
	l, _ := newTestLog(t)
	ctx := context.Background()
	require.Equal(t, rpc.ClaimResult_CLAIM_RESULT_GRANTED, tryClaim(t, l, testKey(1), "a.1"))
	outcomes := []record{
		{Key: testKey(1), Claim: "a.2", Outcome: outcomeNotRun}, // another claim of the same attempt
		{Key: testKey(1), Claim: "a", Outcome: "completed", Status: 201},
		{Key: testKey(1), Claim: "a", Outcome: outcomeNotRun}, // recorded after the completed outcome
	}
	for _, r := range outcomes {
		require.NoError(t, l.append(ctx, []*operation{testOperation(r)}))
	}
	require.Equal(t, rpc.ClaimResult_CLAIM_RESULT_FINISHED, tryClaim(t, l, testKey(1), "b.1"))
	other := testOperation(record{Key: testKey(1), Claim: "c.1", Body: bodyHash{1}})
	require.NoError(t, l.append(ctx, []*operation{other}))
	response, _ := other.result()
	require.Equal(t, rpc.ClaimResult_CLAIM_RESULT_CONFLICT, response.Result)
	require.Equal(t, uint32(201), response.Status)
	require.Equal(t, rpc.ClaimResult_CLAIM_RESULT_UNAVAILABLE, tryClaim(t, l, testKey(2), "a.2"), "a released claim was granted later")
}
