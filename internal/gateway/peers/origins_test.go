package peers

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"heatherbarrow/internal/gateway/origin"
	"heatherbarrow/internal/gateway/state"
	"heatherbarrow/internal/objectstore"
	"heatherbarrow/internal/rpc"
)

// Guards against hosts that compute different keepers of a stream, against keepers that are all in one zone,
// and against a few hosts that keep all streams.
func TestKeepersAreSpreadOverZonesAndHosts(t *testing.T) {
	hosts := map[string]keeper{}
	for i := range 12 {
		address := fmt.Sprintf("10.0.0.%d:1", i)
		hosts[address] = keeper{address: address, zone: fmt.Sprint("z", i%3)}
	}
	kept := map[string]int{}
	for stream := range uint64(3000) {
		zones := map[string]int{}
		for _, k := range keepers(hosts, stream*0x9e3779b97f4a7c15) {
			zones[k.zone]++
			kept[k.address]++
		}
		assert.Equal(t, map[string]int{"z0": 2, "z1": 2, "z2": 2}, zones)
		assert.Equal(t, keepers(hosts, stream), keepers(hosts, stream))
	}
	for address, n := range kept {
		assert.InDelta(t, 1500, n, 300, address)
	}
}

// Guards against a report of streams that does not fit a datagram, or that names another origin.
func TestReportedOriginsFitDatagram(t *testing.T) {
	var entries []origin.Entry
	for i := range maxOriginsPerDatagram {
		entries = append(entries, origin.Entry{
			Stream: origin.StreamID(fmt.Sprint(i)), Origin: origin.Origin{Upstream: "heatherbarrow-pool", Version: fmt.Sprintf("v1.%d", i%3)},
		})
	}
	message := &rpc.Beat{Host: "edge-lima-callao-1", PullAddress: "10.10.10.10:65535", StreamOrigins: originsToProto(entries)}
	assert.LessOrEqual(t, proto.Size(message), maxDatagramBytes)
	assert.ElementsMatch(t, entries, originsFromProto(message.StreamOrigins))
}

// Guards against requests that are delegated to hosts that are silent, or that have just declined, and against
// hosts of other zones where one of this zone would do.
func TestHelperIsLiveAndNear(t *testing.T) {
	e := New(Options{Host: "h", Zone: "a", Listen: "10.0.0.1:1", Logger: zerolog.Nop()})
	now := time.Now()
	add := func(address, zone string, heard time.Time) {
		e.AddInZone(address, zone)
		e.peers[address].lastHeartbeat = heard
	}
	_, ok := e.Helper("pool", nil)
	assert.False(t, ok, "no other host is known")
	add("10.0.0.2:1", "a", now)
	add("10.0.0.3:1", "a", now.Add(-time.Minute))
	add("10.0.0.4:1", "b", now)
	for range 8 {
		address, _ := e.Helper("pool", nil)
		assert.Equal(t, "10.0.0.2:1", address)
	}
	address, _ := e.Helper("pool", []string{"10.0.0.2:1"})
	assert.Equal(t, "10.0.0.4:1", address)
	e.Declined("10.0.0.2:1")
	address, _ = e.Helper("pool", nil)
	assert.Equal(t, "10.0.0.4:1", address)
	_, ok = e.Helper("pool", []string{"10.0.0.4:1"})
	assert.False(t, ok, "neither silent hosts nor one that declined")
}

// Guards against a search that waits for hosts that do not answer, or that takes their silence for a no.
func TestUnreachableKeepersAreNotTakenForUnknown(t *testing.T) {
	e := newTestHost(t, "h", "127.0.0.1:9")
	e.AddInZone("127.0.0.1:1", "b") // refuses connections
	ctx, cancel := context.WithTimeout(t.Context(), time.Second)
	defer cancel()
	_, err := e.askKeepers(ctx, 7, []string{"pool"})
	assert.ErrorIs(t, err, origin.ErrUnreachable)
}

// errStoreAway is what a read of the store fails with.
var errStoreAway = errors.New("the store does not answer")

// addOnlyVersion gives a host the registration of a replica with a software version, which is the only one that it has known, as
// from a store that has just answered.
func (host *testHost) addOnlyVersion(t *testing.T, o origin.Origin) {
	t.Helper()
	require.NoError(t, host.state.Publish(state.Members{Entries: []state.Registration{registeredVersion(o, 3)}, Source: state.FromStore, Complete: true, AsOf: 3}))
	require.NoError(t, host.state.Publish(state.StoreCall{}))
	host.opts.Origins.AddEarlier(nil, true, time.Now())
}

func registeredVersion(o origin.Origin, revision uint64) state.Registration {
	r := member(o.Version, revision, false)
	r.SoftwareVersion = o.Version
	return r
}

// readBrings makes a read of the host's store bring the registration of a replica with a software version.
func (host *testHost) readBrings(o origin.Origin, revision uint64) {
	host.readMembers = func(context.Context) error {
		return host.state.Publish(state.Members{Entries: []state.Registration{registeredVersion(o, revision)}, Source: state.FromStore, AsOf: revision})
	}
}

// find looks for the origin of a stream that was begun at another host.
func (host *testHost) find(t *testing.T) (origin.Origin, error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
	defer cancel()
	return host.Find(ctx, begunElsewhere, []string{"pool"})
}

const begunElsewhere = "begun elsewhere"

var v1, v2 = origin.Origin{Upstream: "pool", Version: "1"}, origin.Origin{Upstream: "pool", Version: "2"}

// Guards against a stream that goes on at another software version at a host that does not know yet that replicas of
// several versions serve: one that was suspended, or that is cut off from the store or the hosts that it pulls from.
func TestStreamIsNotTakenForThatOfOnlyKnownVersion(t *testing.T) {
	keeperHost := newTestHost(t, "keeper", "127.0.0.1:1")
	keeperHost.opts.Origins.Apply([]origin.Entry{{Stream: origin.StreamID(begunElsewhere), Origin: v2}}, time.Now())
	behind := newTestHost(t, "behind", "127.0.0.1:2")
	behind.addOnlyVersion(t, v1)
	o, err := behind.find(t)
	require.NoError(t, err, "the store shows that there is no other version")
	assert.Equal(t, v1, o)

	behind.readMembers = func(context.Context) error { return errStoreAway }
	_, err = behind.find(t)
	require.Error(t, err, "what the store answered a moment ago is of before the stream began")

	behind.opts.Role.Set(false)
	_, err = behind.find(t)
	require.Error(t, err, "the host does not follow the store and hears nobody")

	behind.Add(keeperHost.serve(t))
	behind.opts.Role.Set(true)
	o, err = behind.find(t)
	require.NoError(t, err)
	assert.Equal(t, v2, o, "the keeper knows better than the list")
}

// Guards against a stream that goes on at another software version at a host that has just been cut off from the store and from all
// hosts: their last words are of before the stream began.
func TestStreamIsNotTakenForThatOfOnlyVersionRightAfterACut(t *testing.T) {
	behind := newTestHost(t, "behind", "127.0.0.1:2")
	behind.addOnlyVersion(t, v1)
	behind.readMembers = func(ctx context.Context) error {
		<-ctx.Done()
		return ctx.Err()
	}
	behind.AddInZone("127.0.0.1:1", "a") // refuses connections
	behind.recordHeartbeat(&rpc.Beat{Host: "b", Incarnation: 1, Sequence: 1, PullAddress: "127.0.0.1:1", MembersRevision: 3, StoreReachable: true}, time.Now())
	began := time.Now()
	_, err := behind.find(t)
	require.ErrorIs(t, err, origin.ErrUnreachable)
	assert.Less(t, time.Since(began), time.Second, "its caller can go elsewhere")
}

// Guards against a stream that goes on at another software version at a host that follows the store and whose watch lags
// behind what other hosts announce.
func TestStreamIsNotTakenForThatOfOnlyVersionWhileOthersKnowMore(t *testing.T) {
	h := newTestHost(t, "h", "127.0.0.1:9")
	h.addOnlyVersion(t, v1)
	sequence := uint64(0)
	announce := func(revision uint64) {
		sequence++
		h.recordHeartbeat(&rpc.Beat{Host: "b", Incarnation: 1, Sequence: sequence, PullAddress: "127.0.0.1:1", MembersRevision: revision}, time.Now())
	}
	announce(3)
	o, err := h.find(t)
	require.NoError(t, err)
	assert.Equal(t, v1, o)

	announce(4)
	h.readBrings(v1, 4)
	o, err = h.find(t)
	require.NoError(t, err)
	assert.Equal(t, v1, o, "what the other host knows is of the same version")

	announce(5)
	h.readMembers = func(context.Context) error { return errStoreAway }
	_, err = h.find(t)
	require.Error(t, err, "the other host knows replicas that this one does not")
	require.NoError(t, h.state.Publish(state.StoreCall{Err: objectstore.ErrUnavailable}))
	delete(h.peers, "127.0.0.1:1")
	_, err = h.find(t)
	require.Error(t, err, "the store has gone away, and no other host is heard")

	require.NoError(t, h.state.Publish(state.StoreCall{}))
	h.readBrings(v2, 5)
	_, err = h.find(t)
	require.Error(t, err, "the read shows another version")
}

// Guards against a host cut off from the store that refuses all streams which callers take up, though other hosts can read it, and
// against one that trusts what another host knows without a read, as an earlier build tells it.
func TestOtherHostReadsTheStoreForOneThatIsCutOff(t *testing.T) {
	reader, cut := newTestHost(t, "reader", "127.0.0.1:1"), newTestHost(t, "cut", "127.0.0.1:2")
	reader.addOnlyVersion(t, v1)
	cut.addOnlyVersion(t, v1)
	cut.readMembers = func(context.Context) error { return errStoreAway }
	address := reader.serve(t)
	cut.AddInZone(address, "a")
	cut.recordHeartbeat(&rpc.Beat{Host: "reader", Incarnation: 1, Sequence: 1, PullAddress: address, StoreReachable: true, AvailabilityZone: "a"}, time.Now())
	for _, lost := range []error{nil, objectstore.ErrUnavailable} {
		require.NoError(t, cut.state.Publish(state.StoreCall{Err: lost}))
		o, err := cut.find(t)
		require.NoError(t, err)
		assert.Equal(t, v1, o)
	}
	reader.readMembers = cut.readMembers
	_, err := cut.find(t)
	require.Error(t, err, "it cannot read the store either")
	reader.readBrings(v2, 4)
	_, err = cut.find(t)
	require.Error(t, err, "the read shows another version")
	assert.Len(t, cut.opts.Origins.Recent(time.Now()), 2)

	earlier := httptest.NewServer(rpc.NewGatewayServer(&earlierBuild{Exchange: reader.Exchange}))
	t.Cleanup(earlier.Close)
	assert.ErrorIs(t, cut.pull(t.Context(), earlier.Listener.Addr().String(), true), errNotCurrent)
}

// earlierBuild is a host of a build that does not read the store for others.
type earlierBuild struct{ *Exchange }

func (b *earlierBuild) Pull(ctx context.Context, request *rpc.PullRequest) (*rpc.PullResponse, error) {
	request.Current = false
	return b.Exchange.Pull(ctx, request)
}

// Guards against a decision that goes by a read which began before it was asked for, and against a read for each of many that ask
// at the same time.
func TestReadsOfTheStoreAreSharedByThoseWhoAskedBefore(t *testing.T) {
	began, release := make(chan int, 10), make(chan struct{})
	calls := 0
	c := &sharedCall{pause: storeReadPause, call: func(context.Context) error {
		calls++
		began <- calls
		<-release
		if calls == 1 {
			return errStoreAway
		}
		return nil
	}}
	results := make(chan error, 10)
	ask := func() { results <- c.do(t.Context()) }
	go ask()
	assert.Equal(t, 1, <-began)
	for range 5 {
		go ask()
	}
	time.Sleep(50 * time.Millisecond) // until all have asked
	release <- struct{}{}
	require.ErrorIs(t, <-results, errStoreAway)
	assert.Equal(t, 2, <-began)
	assert.Empty(t, results, "the call that had begun is not theirs")
	close(release)
	for range 5 {
		require.NoError(t, <-results)
	}
	assert.Equal(t, 2, calls)
}

// Guards against registrations that are taken for up to date while no host that this one hears reaches the store.
func TestRegistrationsAreCurrentOnlyWithTheStore(t *testing.T) {
	h := newTestHost(t, "h", "127.0.0.1:9")
	require.NoError(t, h.state.Publish(state.StoreCall{}))
	assert.True(t, h.RegistrationsCurrent())
	require.NoError(t, h.state.Publish(state.StoreCall{Err: objectstore.ErrUnavailable}))
	assert.False(t, h.RegistrationsCurrent(), "the store has gone away")
	h.AddInZone("127.0.0.1:1", "a")
	p := h.peers["127.0.0.1:1"]
	p.heard.Set()
	assert.False(t, h.RegistrationsCurrent(), "the other host does not reach it either")
	p.storeReachable = true
	assert.True(t, h.RegistrationsCurrent())
	p.aheadSince = time.Now()
	assert.False(t, h.RegistrationsCurrent(), "the other host has newer ones")
}

// Guards against reports of streams that are lost because many different origins do not fit a datagram.
func TestReportOfManyOriginsIsSplit(t *testing.T) {
	from := newTestHost(t, "from", "127.0.0.1:1")
	socket, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	require.NoError(t, err)
	t.Cleanup(func() { _ = socket.Close() })
	from.socket = socket
	var entries []origin.Entry
	for i := range maxOriginsPerDatagram {
		version := origin.ProcessVersion(fmt.Sprintf("i-%08x", i), int64(1_700_000_000_000+i))
		entries = append(entries, origin.Entry{Stream: uint64(i), Origin: origin.Origin{Upstream: "heatherbarrow-pool", Version: version}})
	}
	from.sendOrigins(entries, socket.LocalAddr().(*net.UDPAddr))
	var received []origin.Entry
	buffer := make([]byte, 1<<16)
	for len(received) < len(entries) {
		require.NoError(t, socket.SetReadDeadline(time.Now().Add(time.Second)))
		n, err := socket.Read(buffer)
		require.NoError(t, err)
		assert.LessOrEqual(t, n, maxDatagramBytes)
		var message rpc.Beat
		require.NoError(t, proto.Unmarshal(buffer[:n], &message))
		received = append(received, originsFromProto(message.StreamOrigins)...)
	}
	assert.ElementsMatch(t, entries, received)
}

// Guards against requests that are delegated again and again to hosts that reach no replica of the request's upstream, to
// the hosts of one zone that are cut off together although other zones have some, and against hosts that get no requests of
// other upstreams for it.
func TestHelperMayReachTheUpstream(t *testing.T) {
	e := New(Options{Host: "h", Zone: "a", Listen: "10.0.0.1:1", Logger: zerolog.Nop()})
	zones := map[string]string{"10.0.0.2:1": "a", "10.0.0.3:1": "a", "10.0.0.4:1": "a", "10.0.0.5:1": "b", "10.0.0.6:1": "c"}
	for address, zone := range zones {
		e.AddInZone(address, zone)
		e.peers[address].lastHeartbeat = time.Now()
	}
	// found returns the zones in which helpers for a request are found in 50 tries.
	found := func(upstream string, tried ...string) map[string]bool {
		in := make(map[string]bool)
		for range 50 {
			if address, ok := e.Helper(upstream, tried); ok {
				in[zones[address]] = true
			}
		}
		return in
	}
	assert.Equal(t, map[string]bool{"a": true}, found("pool"))
	assert.Equal(t, map[string]bool{"b": true, "c": true}, found("pool", "10.0.0.2:1"), "the rest of its zone may be cut off too")
	e.Unreachable("10.0.0.2:1", "pool")
	e.Unreachable("10.0.0.9:1", "pool") // a host that has been removed
	assert.Equal(t, map[string]bool{"b": true, "c": true}, found("pool"), "the rest of its zone may be cut off too")
	assert.Equal(t, map[string]bool{"a": true}, found("books"))
	e.Unreachable("10.0.0.5:1", "pool")
	assert.Equal(t, map[string]bool{"c": true}, found("pool"))
	assert.Equal(t, map[string]bool{"a": true}, found("pool", "10.0.0.6:1"), "those that did not decline, near ones first")
	assert.Empty(t, found("pool", "10.0.0.3:1", "10.0.0.4:1", "10.0.0.6:1"), "those that declined are not asked for a time")
	e.peers["10.0.0.2:1"].unreachableUntil["pool"] = time.Now()
	e.Unreachable("10.0.0.2:1", "books")
	assert.Len(t, e.peers["10.0.0.2:1"].unreachableUntil, 1, "what is over is forgotten")
	assert.Equal(t, map[string]bool{"a": true}, found("pool"))
}

// Guards against a caller that is told that its stream cannot go on, as the keepers know nothing of it while there is one version,
// though only the store could not be read for a moment.
func TestStreamMayGoOnLaterIfTheStoreCannotBeRead(t *testing.T) {
	keeperHost, h := newTestHost(t, "keeper", "127.0.0.1:1"), newTestHost(t, "h", "127.0.0.1:2")
	h.addOnlyVersion(t, v1)
	h.Add(keeperHost.serve(t))
	h.readMembers = func(context.Context) error { return errStoreAway }
	_, err := h.find(t)
	require.ErrorIs(t, err, origin.ErrUnreachable)
	h.readBrings(v2, 4)
	_, err = h.find(t)
	require.ErrorIs(t, err, origin.ErrUnknown, "no read can tell it any more")
}

// Guards against a gap in the history of versions that one host hands on to another: a host that has listed the registrations again
// cannot infer, until it has read the stored versions, and one that pulled the changes from it then can.
func TestGapInHistoryOfVersionsIsTold(t *testing.T) {
	reader, cut := newTestHost(t, "reader", "127.0.0.1:1"), newTestHost(t, "cut", "127.0.0.1:2")
	reader.addOnlyVersion(t, v1)
	cut.addOnlyVersion(t, v1)
	cut.readMembers = func(context.Context) error { return errStoreAway }
	address := reader.serve(t)
	cut.AddInZone(address, "a")
	cut.recordHeartbeat(&rpc.Beat{Host: "reader", Incarnation: 1, Sequence: 1, PullAddress: address, StoreReachable: true, AvailabilityZone: "a"}, time.Now())
	// A replica of v2 came at revision 4, began the stream at a third host and left at 5; the reader lists again.
	require.NoError(t, reader.state.Publish(state.Members{Entries: []state.Registration{registeredVersion(v1, 3)}, Source: state.FromStore, Complete: true, AsOf: 6}))
	_, err := reader.find(t)
	require.Error(t, err, "versions may be missing")
	o, err := cut.find(t)
	require.Error(t, err, "the reader tells what it cannot rely on itself; inferred %+v", o)
}

// Guards against a stream that goes on at another software version while the hosts that have a record of it cannot be asked: the
// store does not show a process that began it before its registration.
func TestStreamOfUnregisteredProcessIsNotInferredWhileKeepersAreUnreachable(t *testing.T) {
	beginner, other := newTestHost(t, "beginner", "127.0.0.1:1"), newTestHost(t, "other", "127.0.0.1:2")
	beginner.addOnlyVersion(t, v1)
	other.addOnlyVersion(t, v1)
	beginner.Record(begunElsewhere, origin.Origin{Upstream: "pool", Version: origin.ProcessVersion("r", 2)}, time.Now())
	other.AddInZone("127.0.0.1:1", "a") // the beginner, which refuses connections
	other.recordHeartbeat(&rpc.Beat{Host: "beginner", Incarnation: 1, Sequence: 1, PullAddress: "127.0.0.1:1", MembersRevision: 3, StoreReachable: true}, time.Now())
	o, err := other.find(t)
	require.Error(t, err, "inferred %+v", o)
}

// writtenBy makes a read of the host's store bring the open streams of another host, as that one writes them. It returns the number of reads.
func (host *testHost) writtenBy(beginner *testHost) *atomic.Int64 {
	reads := &atomic.Int64{}
	host.readStreams = func(context.Context) error {
		reads.Add(1)
		host.opts.Origins.Apply(beginner.opts.Origins.Open(time.Now()), time.Now())
		return nil
	}
	return reads
}

// addVersions gives a host the registrations of replicas with two software versions, as addOnlyVersion does with one.
func (host *testHost) addVersions(t *testing.T) {
	t.Helper()
	host.addOnlyVersion(t, v1)
	require.NoError(t, host.state.Publish(state.Members{Entries: []state.Registration{registeredVersion(v2, 4)}, Source: state.FromStore, AsOf: 4}))
}

// hear adds a host that has been heard lately and refuses connections now.
func (host *testHost) hear(name, address string) {
	host.AddInZone(address, "a")
	host.recordHeartbeat(&rpc.Beat{Host: name, Incarnation: 1, Sequence: 1, PullAddress: address, MembersRevision: 4, StoreReachable: true}, time.Now())
}

// Guards against streams that are refused at the host that outlives those which began them and those which were told of them, although
// the store has their origins, and against a read of the store for each of them.
func TestStreamsOfHostsThatEndedTogetherAreFoundInTheStore(t *testing.T) {
	for _, silent := range []bool{false, true} { // the hosts that ended have been noticed
		beginner, left := newTestHost(t, "beginner", "127.0.0.1:1"), newTestHost(t, "left", "127.0.0.1:2")
		beginner.addVersions(t)
		left.addVersions(t)
		if !silent {
			left.hear("beginner", "127.0.0.1:1")
		}
		reads := left.writtenBy(beginner)
		const streams = 100
		for i := range streams {
			beginner.Record(fmt.Sprint("stream ", i), []origin.Origin{v1, v2}[i%2], time.Now())
		}
		var taken sync.WaitGroup
		for i := range streams {
			taken.Go(func() {
				o, err := left.Find(t.Context(), fmt.Sprint("stream ", i), []string{"pool"})
				assert.NoError(t, err)
				assert.Equal(t, []origin.Origin{v1, v2}[i%2], o)
			})
		}
		taken.Wait()
		assert.LessOrEqual(t, reads.Load(), int64(2), "one that was begun before some asked, and one after")
	}
}

// Guards against a stream that is refused because it was written to the store after the read that others had asked for, and because the
// store refused a read for its rate.
func TestStreamWrittenAfterAReadIsFound(t *testing.T) {
	beginner, left := newTestHost(t, "beginner", "127.0.0.1:1"), newTestHost(t, "left", "127.0.0.1:2")
	beginner.addVersions(t)
	left.addVersions(t)
	left.hear("beginner", "127.0.0.1:1")
	_ = left.writtenBy(beginner)
	read, reads := left.readStreams, 0
	left.readStreams = func(ctx context.Context) error {
		if reads++; reads == 2 {
			return objectstore.ErrRateLimited
		}
		return read(ctx)
	}
	o, err := left.find(t)
	require.ErrorIs(t, err, origin.ErrUnreachable, "found %+v", o)
	beginner.Record(begunElsewhere, v2, time.Now())
	o, err = left.find(t)
	require.NoError(t, err)
	assert.Equal(t, v2, o)
}

// Guards against a refusal that says that a stream cannot go on, or that names another version, while the store which has its origin is away
// or has lost it: the caller may come back.
func TestStreamMayGoOnLaterIfItsStoreCannotBeRead(t *testing.T) {
	for name, read := range map[string]func(context.Context) error{
		"away": func(context.Context) error { return errStoreAway },
		"slow": func(ctx context.Context) error {
			<-ctx.Done()
			return ctx.Err()
		},
		"restored from a copy": func(context.Context) error { return nil },
	} {
		left := newTestHost(t, "left", "127.0.0.1:2")
		left.addVersions(t)
		left.hear("beginner", "127.0.0.1:1")
		left.readStreams = read
		began := time.Now()
		o, err := left.find(t)
		require.ErrorIs(t, err, origin.ErrUnreachable, "%s: found %+v", name, o)
		assert.Less(t, time.Since(began), time.Second, name)
	}
}

// Guards against a stream that a process began before its registration and that goes on at the only registered version, after the hosts
// that knew of it have ended: the store has what they wrote.
func TestStreamOfUnregisteredProcessIsNotInferredIfTheStoreHasIt(t *testing.T) {
	beginner, left := newTestHost(t, "beginner", "127.0.0.1:1"), newTestHost(t, "left", "127.0.0.1:2")
	beginner.addOnlyVersion(t, v1)
	left.addOnlyVersion(t, v1)
	left.hear("beginner", "127.0.0.1:1")
	began := origin.Origin{Upstream: "pool", Version: origin.ProcessVersion("r", 2)}
	beginner.Record(begunElsewhere, began, time.Now())
	reads := left.writtenBy(beginner)
	o, err := left.find(t)
	require.NoError(t, err)
	assert.Equal(t, began, o)
	o, err = left.Find(t.Context(), "of the only version", []string{"pool"})
	require.NoError(t, err)
	assert.Equal(t, v1, o)
	assert.EqualValues(t, 2, reads.Load())
}

// Guards against reads of the store for each stream that is taken up while all hosts live and one version serves.
func TestStreamsOfTheOnlyVersionAreNotReadFromTheStore(t *testing.T) {
	keeper, host := newTestHost(t, "keeper", "127.0.0.1:1"), newTestHost(t, "host", "127.0.0.1:2")
	host.addOnlyVersion(t, v1)
	host.hear("keeper", keeper.serve(t))
	reads := host.writtenBy(keeper)
	o, err := host.find(t)
	require.NoError(t, err)
	assert.Equal(t, v1, o)
	assert.Zero(t, reads.Load())
}

// Guards against a data race between the choice of hosts that read the store and heartbeats, and against readers that are far, silent
// or without the store.
func TestStoreReadersAreNearHostsThatReachTheStore(t *testing.T) {
	h := newTestHost(t, "h", "127.0.0.1:9")
	beat := func(host, zone string, sequence uint64, reachable bool) {
		h.recordHeartbeat(&rpc.Beat{Host: host, Incarnation: 1, Sequence: sequence, PullAddress: "127.0.0.1:" + host, AvailabilityZone: zone, StoreReachable: reachable}, time.Now())
	}
	for i, zone := range []string{"b", "a", "b", "a", "a"} {
		beat(fmt.Sprint(i+1), zone, 1, i != 1)
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		for sequence := range uint64(1000) {
			beat("1", "b", sequence+2, true)
		}
	}()
	for range 1000 {
		assert.ElementsMatch(t, []string{"127.0.0.1:4", "127.0.0.1:5"}, h.storeReaders(time.Now()))
	}
	<-done
	assert.Empty(t, h.storeReaders(time.Now().Add(silenceTimeout)), "they are silent")
}
