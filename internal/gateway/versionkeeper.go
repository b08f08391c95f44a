package gateway

import (
	"context"
	"encoding/json"
	"maps"
	"slices"
	"time"

	"heatherbarrow/internal/gateway/origin"
)

const (
	// versionSyncInterval is the interval at which the versions in use are compared with those that were
	// written to the store.
	versionSyncInterval = time.Second
	// versionCallTimeout limits each call to the store for versions.
	versionCallTimeout = 2 * time.Second
)

// versionRecord is the stored object that names the software versions of an upstream.
type versionRecord struct {
	Versions []string `json:"versions"`
}

// versionKeeper keeps in the store which software versions may have begun streams, so that it is known
// after all hosts have restarted which version a stream can only be of.
type versionKeeper struct {
	program *Program
	stored  map[string][]string // versions of the stored records, by upstream; nil if they must be read
	era     uint64              // of the store when they were read
}

// run reads the stored versions, and then writes them as they change, until ctx ends.
func (k *versionKeeper) run(ctx context.Context) {
	ticker := time.NewTicker(versionSyncInterval)
	defer ticker.Stop()
	for {
		if k.program.state.StoreEra() > k.era {
			k.stored = nil // the store may have lost what was written
		}
		var err error
		if k.stored == nil {
			err = k.load(ctx)
		} else if k.program.role.Following() {
			err = k.sync(ctx)
		}
		if err != nil && ctx.Err() == nil {
			k.program.logger.Warn().Err(err).Msg("software versions cannot be read from the store or written")
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// load adds the stored versions to those that this host knows of.
func (k *versionKeeper) load(ctx context.Context) error {
	callCtx, cancel := context.WithTimeout(ctx, versionCallTimeout)
	defer cancel()
	list, err := k.program.store.ListKind(callCtx, k.program.adapter.KindVersions)
	if err != nil {
		return err
	}
	stored := make(map[string][]string)
	var versions []origin.Origin
	complete := true
	for _, o := range list.Objects {
		var record versionRecord
		if err := json.Unmarshal(o.Value, &record); err != nil {
			k.program.logger.Warn().Err(err).Str("name", o.Name).Msg("ignoring invalid software versions in the store")
			complete = false
			continue
		}
		stored[o.Name] = record.Versions
		for _, version := range record.Versions {
			versions = append(versions, origin.Origin{Upstream: o.Name, Version: version})
		}
	}
	k.stored, k.era = stored, list.Era
	k.program.origins.AddEarlier(versions, complete && list.Unreadable == 0, time.Now())
	k.program.logger.Info().Int("versions", len(versions)).Bool("complete", complete).Msg("earlier software versions read")
	return nil
}

// sync writes the versions of the upstreams that changed since the last call.
func (k *versionKeeper) sync(ctx context.Context) error {
	callCtx, cancel := context.WithTimeout(ctx, versionCallTimeout)
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
