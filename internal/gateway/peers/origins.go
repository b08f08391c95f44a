package peers

import (
	"context"
	"errors"
	"maps"
	"net"
	"slices"
	"strconv"
	"time"

	"google.golang.org/protobuf/proto"

	"heatherbarrow/internal/gateway/origin"
	"heatherbarrow/internal/objectstore"
	"heatherbarrow/internal/rendezvous"
	"heatherbarrow/internal/rpc"
)

// A stream may be taken up at a host that never saw its beginning, after the host that did has died. While
// an upstream has replicas of several software versions, or the store is away, which shows whether it has, each host
// therefore reports the streams that it begins to a few hosts, the stream's keepers, in datagrams of their own. All
// hosts compute the same keepers, and a host that does not know a stream asks them.

const (
	// keepersPerZone is the number of keepers of a stream in each availability zone: one may have died
	// together with the host that began the stream.
	keepersPerZone = 2
	// originsInterval is the time in which streams are collected for a report. Each is reported twice, as a
	// datagram may be lost.
	originsInterval = 50 * time.Millisecond
	// keeperTimeout bounds the wait for keepers, which are some milliseconds away, and maxKeeperDelay that while this host knows
	// of one version only: a keeper that has died would delay the stream by the time of a dial.
	keeperTimeout  = 250 * time.Millisecond
	maxKeeperDelay = 150 * time.Millisecond
	// maxOriginsPerDatagram keeps a report within a datagram.
	maxOriginsPerDatagram = 120
)

// keeper is a host that may be a keeper of a stream.
type keeper struct {
	address string // of its pull service
	udpAddr *net.UDPAddr
	zone    string
}

// keepers returns the keepers of a stream among the other hosts.
func keepers(hosts map[string]keeper, stream uint64) (out []keeper) {
	inZone := make(map[string]int)
	for _, address := range rendezvous.Rank(strconv.FormatUint(stream, 16), slices.Collect(maps.Keys(hosts))) {
		k := hosts[address]
		if inZone[k.zone]++; inZone[k.zone] <= keepersPerZone {
			out = append(out, k)
		}
	}
	return out
}

// keeperHosts returns the other hosts that are not silent, by address.
func (e *Exchange) keeperHosts(now time.Time) map[string]keeper {
	e.mu.Lock()
	defer e.mu.Unlock()
	hosts := make(map[string]keeper, len(e.peers))
	for address, p := range e.peers {
		if now.Sub(later(later(p.lastHeartbeat, p.lastInDigest), p.addedAt)) < silenceTimeout {
			hosts[address] = keeper{address: address, udpAddr: p.udpAddr, zone: p.zone}
		}
	}
	return hosts
}

// originLoop reports the streams that this host began until ctx ends.
func (e *Exchange) originLoop(ctx context.Context) {
	var sentOnce []origin.Entry
	for {
		if len(sentOnce) == 0 {
			select {
			case <-ctx.Done():
				return
			case <-e.opts.Origins.Pending():
			}
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(originsInterval):
		}
		fresh := e.opts.Origins.TakePending()
		if len(fresh)+len(sentOnce) > 0 {
			e.reportOrigins(append(sentOnce, fresh...), time.Now())
		}
		sentOnce = fresh
	}
}

// reportOrigins sends streams to their keepers.
func (e *Exchange) reportOrigins(entries []origin.Entry, now time.Time) {
	hosts := e.keeperHosts(now)
	byKeeper := make(map[string][]origin.Entry)
	addresses := make(map[string]*net.UDPAddr)
	for _, entry := range entries {
		for _, k := range keepers(hosts, entry.Stream) {
			byKeeper[k.address] = append(byKeeper[k.address], entry)
			addresses[k.address] = k.udpAddr
		}
	}
	for address, entries := range byKeeper {
		for part := range slices.Chunk(entries, maxOriginsPerDatagram) {
			e.sendOrigins(part, addresses[address])
		}
	}
}

// sendOrigins sends streams to a keeper, in several datagrams if they have too many different origins for one.
func (e *Exchange) sendOrigins(entries []origin.Entry, to *net.UDPAddr) {
	// Sequence 0 makes hosts that do not know this kind of datagram ignore it as an old heartbeat.
	message := &rpc.Beat{Host: e.opts.Host, Incarnation: e.incarnation, PullAddress: e.opts.Listen, StreamOrigins: originsToProto(entries)}
	if half := len(entries) / 2; half > 0 && proto.Size(message) > maxDatagramBytes {
		e.sendOrigins(entries[:half], to)
		e.sendOrigins(entries[half:], to)
		return
	}
	data, err := proto.Marshal(message)
	if err != nil {
		e.opts.Logger.Error().Err(err).Msg("cannot encode origins of streams")
		return
	}
	if _, err := e.socket.WriteToUDP(data, to); err != nil {
		e.opts.Logger.Debug().Err(err).Stringer("to", to).Msg("cannot send origins of streams")
	}
}

// Record implements proxy.Origins.
func (e *Exchange) Record(attemptID string, o origin.Origin, now time.Time) {
	e.opts.Origins.Record(attemptID, o, now)
}

// Complete implements proxy.Origins.
func (e *Exchange) Complete(attemptID string) { e.opts.Origins.Complete(attemptID) }

// Find implements proxy.Origins.
func (e *Exchange) Find(ctx context.Context, attemptID string, upstreams []string) (origin.Origin, error) {
	o, source, err := e.find(ctx, origin.StreamID(attemptID), upstreams)
	if err == nil && !slices.Contains(upstreams, o.Upstream) {
		err = origin.ErrUnknown
	}
	s := e.opts.State
	e.opts.Logger.Info().Str("resumes", attemptID).Str("upstream", o.Upstream).Str("software", o.Version).Str("source", source).
		Uint64("era", s.MembersEra()).Uint64("as_of", s.MembersAsOf()).Dur("store_answered_ms_ago", s.StoreAnswerAge()).Err(err).Msg("origin of stream looked up")
	return o, err
}

// Sources of the origin of a stream, as logged.
const (
	sourceRecord   = "record"   // of this host, which began the stream or was told of it
	sourceKeeper   = "keeper"   // a keeper of the stream has a record
	sourceStore    = "store"    // the host that began it has written it to the store
	sourceInferred = "inferred" // the upstreams have one version only
)

// find returns the origin of a stream as this host or the stream's keepers have recorded it, or else as it follows
// from the versions of the upstreams. The keepers come first, as a process may begin streams before it is registered. All of them may
// have ended together with the host that began the stream: what that host wrote to the store comes next. A host that has just started
// waits until it has read what the store keeps.
func (e *Exchange) find(ctx context.Context, stream uint64, upstreams []string) (o origin.Origin, source string, err error) {
	if o, ok := e.opts.Origins.Recorded(stream); ok {
		return o, sourceRecord, nil
	}
	wait := keeperTimeout
	if _, ok := e.onlyOrigin(upstreams); ok {
		wait = maxKeeperDelay
	}
	keepersCtx, cancel := context.WithTimeout(ctx, wait)
	o, err = e.askKeepers(keepersCtx, stream, upstreams)
	cancel()
	if err == nil {
		return o, sourceKeeper, nil
	}
	select {
	case <-e.opts.Origins.Loaded():
	case <-ctx.Done():
		return origin.Origin{}, "", origin.ErrUnreachable
	}
	if o, ok := e.opts.Origins.Recorded(stream); ok {
		return o, sourceRecord, nil
	}
	if _, only := e.onlyOrigin(upstreams); !only || errors.Is(err, origin.ErrUnreachable) {
		readErr := e.readStored(ctx, stream)
		if o, ok := e.opts.Origins.Recorded(stream); ok {
			return o, sourceStore, nil
		}
		if readErr != nil && !errors.Is(readErr, errStoreLost) {
			err = origin.ErrUnreachable // a later read may tell what the keepers do not know
		}
	}
	o, inferErr := e.inferOrigin(ctx, upstreams)
	switch {
	case inferErr == nil:
		return o, sourceInferred, nil
	case errors.Is(inferErr, origin.ErrUnreachable):
		err = inferErr // a later read may tell what the keepers do not know
	}
	return origin.Origin{}, "", err
}

// readStored reads the streams that hosts have written to the store until they include the given one, or a read that began after the
// call has not brought it. A store that refuses reads because of their rate is asked again until ctx ends.
func (e *Exchange) readStored(ctx context.Context, stream uint64) error {
	e.streamReads.join(ctx)
	for {
		if _, ok := e.opts.Origins.Recorded(stream); ok {
			return nil
		}
		err := e.streamReads.do(ctx)
		if err == nil || ctx.Err() != nil || !errors.Is(err, objectstore.ErrRateLimited) {
			return err
		}
	}
}

// inferOrigin returns the origin of all streams of the upstreams that have begun so far, if there is just one version. What this
// host knew before cannot exclude another one, as a replica gets requests within milliseconds of its registration. The store
// shows, when it is read now, the versions of all registered processes that any host could have sent the stream to. The errors
// are those of Find.
func (e *Exchange) inferOrigin(ctx context.Context, upstreams []string) (origin.Origin, error) {
	if _, ok := e.onlyOrigin(upstreams); !ok {
		return origin.Origin{}, origin.ErrUnknown
	}
	if err := e.Refresh(ctx); err != nil {
		e.opts.Logger.Info().Err(err).Msg("origin of a stream cannot be inferred, as the store cannot be read")
		return origin.Origin{}, origin.ErrUnreachable
	}
	if o, ok := e.onlyOrigin(upstreams); ok {
		return o, nil
	}
	return origin.Origin{}, origin.ErrUnknown
}

// onlyOrigin returns the origin of all streams of the upstreams if this host knows of just one version.
func (e *Exchange) onlyOrigin(upstreams []string) (origin.Origin, bool) {
	if e.opts.State.MembersAsOf() == 0 {
		return origin.Origin{}, false
	}
	return e.opts.Origins.Only(upstreams, time.Now())
}

// RegistrationsCurrent reports whether this host's registrations are those of the store, as far as it can tell.
func (e *Exchange) RegistrationsCurrent() bool {
	s := e.opts.State
	return e.opts.Role.Following() && s.StoreReachable() && s.StoreAnsweredRecently() || e.upToDateWithPeers()
}

// upToDateWithPeers reports whether other hosts that reach the store send heartbeats and none announces newer state. A
// heartbeat from before a suspension of this host does not count.
func (e *Exchange) upToDateWithPeers() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	heard := false
	for _, p := range e.peers {
		if !p.heard.Within(maxHeartbeatInterval) {
			continue
		}
		if !p.aheadSince.IsZero() {
			return false
		}
		heard = heard || p.storeReachable
	}
	return heard
}

// askKeepers asks the keepers of a stream for its origin, all at the same time.
func (e *Exchange) askKeepers(ctx context.Context, stream uint64, upstreams []string) (origin.Origin, error) {
	asked := keepers(e.keeperHosts(time.Now()), stream)
	answers := make(chan *rpc.FindOriginResponse, len(asked)) // nil for none
	for _, k := range asked {
		go func() {
			client := rpc.NewGatewayProtobufClient("http://"+k.address, e.client)
			answer, err := client.FindOrigin(ctx, &rpc.FindOriginRequest{Stream: stream, Upstreams: upstreams})
			if err != nil {
				e.opts.Logger.Debug().Err(err).Str("address", k.address).Msg("cannot ask for the origin of a stream")
			}
			answers <- answer
		}()
	}
	notFound := origin.ErrUnknown
	for range asked {
		select {
		case answer := <-answers:
			switch {
			case answer == nil:
				notFound = origin.ErrUnreachable
			case answer.Known:
				return origin.Origin{Upstream: answer.Upstream, Version: answer.SoftwareVersion}, nil
			}
		case <-ctx.Done():
			return origin.Origin{}, origin.ErrUnreachable
		}
	}
	return origin.Origin{}, notFound
}

// FindOrigin implements rpc.Gateway. It answers only what this host has recorded: what follows from its replica list
// may be out of date, and would hide what another keeper has recorded.
func (e *Exchange) FindOrigin(_ context.Context, request *rpc.FindOriginRequest) (*rpc.FindOriginResponse, error) {
	o, known := e.opts.Origins.Recorded(request.Stream)
	return &rpc.FindOriginResponse{Known: known, Upstream: o.Upstream, SoftwareVersion: o.Version}, nil
}

// originsToProto encodes the origins of streams.
func originsToProto(entries []origin.Entry) (out []*rpc.StreamOrigins) {
	byOrigin := make(map[origin.Origin]*rpc.StreamOrigins)
	for _, e := range entries {
		group, ok := byOrigin[e.Origin]
		if !ok {
			group = &rpc.StreamOrigins{Upstream: e.Upstream, SoftwareVersion: e.Version}
			byOrigin[e.Origin] = group
			out = append(out, group)
		}
		group.Streams = append(group.Streams, e.Stream)
	}
	return out
}

// originsFromProto decodes the origins of streams.
func originsFromProto(messages []*rpc.StreamOrigins) (out []origin.Entry) {
	for _, m := range messages {
		for _, stream := range m.Streams {
			out = append(out, origin.Entry{Stream: stream, Origin: origin.Origin{Upstream: m.Upstream, Version: m.SoftwareVersion}})
		}
	}
	return out
}
