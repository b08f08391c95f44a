package gateway

import (
	"context"
	"encoding/binary"
	"encoding/json"
	"maps"
	"slices"
	"time"

	"golang.org/x/time/rate"

	"heatherbarrow/internal/gateway/origin"
	"heatherbarrow/internal/objectstore"
)

const (
	// versionSyncInterval is the interval at which the versions in use are compared with those that were
	// written to the store.
	versionSyncInterval = time.Second
	// originCallTimeout limits each call to the store for versions and streams.
	originCallTimeout = 2 * time.Second
	// minStreamsInterval is the shortest interval between two writes of this host's streams. Streams last
	// seconds, so that most of those that a power loss breaks off have been written by then.
	minStreamsInterval = 100 * time.Millisecond
	// maxStreamWritesPerSecond bounds the writes of all hosts together. The store takes several hundred a
	// second from everyone.
	maxStreamWritesPerSecond = 100
)

// versionRecord is the stored object that names the software versions of an upstream.
type versionRecord struct {
	Versions []string `json:"versions"`
}

// streamsRecord is the stored object that names the streams that a host has begun and not completed.
type streamsRecord struct {
	Origins []streamsOfOrigin `json:"origins"`
}

// streamsOfOrigin are the streams that a version of an upstream began.
type streamsOfOrigin struct {
	Upstream string `json:"upstream"`
	Version  string `json:"version"`
	Streams  []byte `json:"streams"` // origin.StreamID of each, 8 bytes in big-endian order
}

// originKeeper keeps in the store which software versions may have begun streams, and while there are
// several, which of them began the streams of this host. Hosts read it when they start, so that callers can
// take up their streams after all hosts have restarted.
type originKeeper struct {
	program *Program
	stored  map[string][]string // versions of the stored records, by upstream; nil if they must be read
	era     uint64              // of the store when they were read
	// unsettled means that the last write has left out streams that may have to be written later.
	unsettled bool
}

// run reads what is stored, and then writes versions and streams as they change, until ctx ends.
func (k *originKeeper) run(ctx context.Context) {
	ticker := time.NewTicker(versionSyncInterval)
	defer ticker.Stop()
	opened := k.program.origins.Opened()
	_, missed := k.program.origins.Missed()
	var pause <-chan time.Time // between two writes of streams
	// A host that starts may find a gap right after its first read. Gaps that others tell of come in series.
	reads := rate.NewLimiter(rate.Every(versionSyncInterval), 2)
	reads.Allow()
	k.sync(ctx)
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			k.sync(ctx)
		case <-missed:
			k.stored = nil // it holds what this host has missed
			if reads.Allow() {
				k.sync(ctx)
			}
		case <-opened:
			opened, pause = nil, k.storeStreams(ctx)
		case <-pause:
			if opened, pause = k.program.origins.Opened(), nil; k.unsettled {
				opened, pause = nil, k.storeStreams(ctx)
			}
		}
	}
}

// sync reads what is stored, or writes the versions that have changed.
func (k *originKeeper) sync(ctx context.Context) {
	if k.program.state.StoreEra() > k.era {
		k.stored = nil // the store may have lost what was written
	}
	var err error
	if k.stored == nil {
		err = k.load(ctx)
	} else if k.program.role.Following() {
		err = k.syncVersions(ctx)
	}
	k.logError(ctx, err)
}

func (k *originKeeper) logError(ctx context.Context, err error) {
	if err != nil && ctx.Err() == nil {
		k.program.logger.Warn().Err(err).Msg("origins of streams cannot be read from the store or written")
	}
}

// streamsInterval returns the interval between two writes of a host's streams.
func streamsInterval(hosts int) time.Duration {
	return max(minStreamsInterval, time.Duration(hosts)*time.Second/maxStreamWritesPerSecond)
}

// load adds the stored versions and streams to those that this host knows of.
func (k *originKeeper) load(ctx context.Context) error {
	callCtx, cancel := context.WithTimeout(ctx, originCallTimeout)
	defer cancel()
	p := k.program
	missedBefore, _ := p.origins.Missed()
	streams, err := p.store.ListKind(callCtx, p.adapter.KindStreams)
	if err != nil {
		return err
	}
	list, err := p.store.ListKind(callCtx, p.adapter.KindVersions)
	if err != nil {
		return err
	}
	stored := make(map[string][]string)
	var versions []origin.Origin
	unreadable := list.Unreadable
	for _, o := range list.Objects {
		var record versionRecord
		if err := json.Unmarshal(o.Value, &record); err != nil {
			p.logger.Warn().Err(err).Str("name", o.Name).Msg("ignoring invalid software versions in the store")
			unreadable++
			continue
		}
		stored[o.Name] = record.Versions
		for _, version := range record.Versions {
			versions = append(versions, origin.Origin{Upstream: o.Name, Version: version})
		}
	}
	k.stored, k.era = stored, list.Era
	count, own := p.applyStreams(streams)
	p.origins.AddOpen(own, time.Now())
	missed, _ := p.origins.Missed()
	p.origins.AddEarlier(versions, unreadable == 0 && missed == missedBefore, time.Now())
	p.logger.Info().Int("versions", len(versions)).Int("streams", count).Int("unreadable", unreadable).Msg("origins of earlier streams read")
	return nil
}

// applyStreams notes the stored streams of all hosts. It returns their number and those of this host.
func (p *Program) applyStreams(list objectstore.Revisions) (count int, own []origin.Entry) {
	for _, o := range list.Objects {
		var record streamsRecord
		if err := json.Unmarshal(o.Value, &record); err != nil {
			p.logger.Warn().Err(err).Str("name", o.Name).Msg("ignoring invalid streams in the store")
			continue
		}
		entries := record.entries()
		count += len(entries)
		p.origins.Apply(entries, time.Now())
		if o.Name == p.settings.Host {
			own = entries
		}
	}
	return count, own
}

// readStreams adds the stored streams of all hosts to those that this host knows of.
func (p *Program) readStreams(ctx context.Context) error {
	list, err := p.store.ListKind(ctx, p.adapter.KindStreams)
	if err != nil {
		return err
	}
	count, _ := p.applyStreams(list)
	p.logger.Info().Int("streams", count).Msg("streams of all hosts read for one that is taken up")
	return nil
}

// syncVersions writes the versions of the upstreams that changed since the last call.
func (k *originKeeper) syncVersions(ctx context.Context) error {
	callCtx, cancel := context.WithTimeout(ctx, originCallTimeout)
	defer cancel()
	p := k.program
	versions := make(map[string][]string)
	for o := range p.origins.Versions(time.Now()) {
		versions[o.Upstream] = append(versions[o.Upstream], o.Version)
	}
	for _, upstream := range slices.Sorted(maps.Keys(versions)) {
		slices.Sort(versions[upstream])
		if slices.Equal(versions[upstream], k.stored[upstream]) {
			continue
		}
		if err := p.store.Replace(callCtx, p.adapter.KindVersions, upstream, versionRecord{Versions: versions[upstream]}); err != nil {
			return err
		}
		k.stored[upstream] = versions[upstream]
	}
	return nil
}

// storeStreams writes the streams of this host and returns what tells when the next write is due.
func (k *originKeeper) storeStreams(ctx context.Context) (due <-chan time.Time) {
	k.logError(ctx, k.writeStreams(ctx))
	return time.After(streamsInterval(k.program.fleet.Hosts()))
}

// writeStreams writes the streams of this host that have not been completed. A record names all that are open, so that it
// is written only if it names one that the others cannot infer.
func (k *originKeeper) writeStreams(ctx context.Context) error {
	entries, unsettled := k.program.origins.OpenSettled(time.Now())
	k.unsettled = len(unsettled) > 0
	if len(entries) == 0 {
		return nil
	}
	entries = append(entries, unsettled...)
	callCtx, cancel := context.WithTimeout(ctx, originCallTimeout)
	defer cancel()
	err := k.program.store.Replace(callCtx, k.program.adapter.KindStreams, k.program.settings.Host, newStreamsRecord(entries))
	if err == nil {
		k.program.streamsStored.Store(true)
	}
	return err
}

// newStreamsRecord encodes streams.
func newStreamsRecord(entries []origin.Entry) (r streamsRecord) {
	index := make(map[origin.Origin]int)
	for _, e := range entries {
		i, ok := index[e.Origin]
		if !ok {
			i = len(r.Origins)
			index[e.Origin] = i
			r.Origins = append(r.Origins, streamsOfOrigin{Upstream: e.Upstream, Version: e.Version})
		}
		r.Origins[i].Streams = binary.BigEndian.AppendUint64(r.Origins[i].Streams, e.Stream)
	}
	return r
}

// entries decodes the streams.
func (r *streamsRecord) entries() (out []origin.Entry) {
	for _, o := range r.Origins {
		for id := o.Streams; len(id) >= 8; id = id[8:] {
			out = append(out, origin.Entry{Stream: binary.BigEndian.Uint64(id), Origin: origin.Origin{Upstream: o.Upstream, Version: o.Version}})
		}
	}
	return out
}
