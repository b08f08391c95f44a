package gateway

import (
	"bytes"
	"context"
	"encoding/json"
	"time"

	"heatherbarrow/internal/scheduling/poisonpart"
)

const (
	// partSyncInterval is the interval at which refused prompt parts and requests are compared with those that
	// were written to the store.
	partSyncInterval = 200 * time.Millisecond
	// partRetryInterval is the time after a failed call to the store until the next one.
	partRetryInterval = time.Second
	// partCallTimeout limits each call to the store for refused parts and requests.
	partCallTimeout = 2 * time.Second
	// suspectsName is the name of the object that holds the suspects which are not refused.
	suspectsName = "suspects"
	// maxKeptSuspects bounds these.
	maxKeptSuspects = 24
)

// partKeeper keeps the refused prompt parts, or the refused requests, and suspects with several crashes in the
// store, so that they are known after all hosts have restarted. Hosts that restart alone learn them from their peers.
type partKeeper struct {
	program  *Program
	kind     string // of the objects in the store
	refused  func(now time.Time) []poisonpart.Entry
	suspects func(limit int, now time.Time) []poisonpart.Entry
	apply    func(entries []poisonpart.Entry, now time.Time)
	kept     []byte            // the suspects as last read or written
	stored   map[uint64]uint64 // number of releases of the stored entries, by part; nil if they must be read
	era      uint64            // of the store when they were read
}

// newPartKeeper returns a keeper of the refused prompt parts.
func newPartKeeper(p *Program) *partKeeper {
	return &partKeeper{program: p, kind: p.adapter.KindParts, refused: p.fleet.RefusedParts, suspects: p.fleet.SuspectParts, apply: p.fleet.ApplyPartReports}
}

// newRequestKeeper returns a keeper of the refused requests. They have a kind of their own, as hosts of earlier
// builds take all objects of the other one for prompt parts.
func newRequestKeeper(p *Program) *partKeeper {
	return &partKeeper{program: p, kind: p.adapter.KindRequests, refused: p.fleet.RefusedRequests, suspects: p.fleet.SuspectRequests, apply: p.fleet.ApplyRequestReports}
}

// run reads the stored entries, and then writes and removes them as they change, until ctx ends.
func (k *partKeeper) run(ctx context.Context) {
	ticker := time.NewTicker(partSyncInterval)
	defer ticker.Stop()
	var retryAt time.Time
	for {
		if k.program.state.StoreEra() > k.era {
			k.stored = nil // the store may have lost what was written
		}
		var err error
		switch {
		case time.Now().Before(retryAt): // the store has just failed
		case k.stored == nil:
			err = k.load(ctx)
		case k.program.role.Following():
			err = k.sync(ctx)
		}
		if err != nil && ctx.Err() == nil {
			retryAt = time.Now().Add(partRetryInterval)
			k.program.logger.Warn().Err(err).Str("kind", k.kind).Msg("refused prompt parts or requests cannot be read from the store or written")
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// load applies the stored entries.
func (k *partKeeper) load(ctx context.Context) error {
	callCtx, cancel := context.WithTimeout(ctx, partCallTimeout)
	defer cancel()
	list, err := k.program.store.ListKind(callCtx, k.kind)
	if err != nil {
		return err
	}
	k.stored, k.era, k.kept = make(map[uint64]uint64), list.Era, nil
	var entries []poisonpart.Entry
	for _, o := range list.Objects {
		if o.Name == suspectsName {
			entries = append(entries, k.loadSuspects(o.Value)...)
			continue
		}
		var record poisonpart.Record
		var entry poisonpart.Entry
		err := json.Unmarshal(o.Value, &record)
		if err == nil {
			entry, err = record.Entry()
		}
		if err != nil {
			k.program.logger.Warn().Err(err).Str("kind", k.kind).Str("name", o.Name).Msg("ignoring invalid prompt part or request in the store")
			continue
		}
		k.stored[entry.Part] = entry.Released
		entries = append(entries, entry)
	}
	k.apply(entries, time.Now())
	return nil
}

// loadSuspects decodes the stored suspects.
func (k *partKeeper) loadSuspects(value []byte) (entries []poisonpart.Entry) {
	var record poisonpart.SuspectsRecord
	err := json.Unmarshal(value, &record)
	for i := range record.Suspects {
		entry, invalid := record.Suspects[i].Entry()
		if invalid != nil {
			err = invalid
			continue
		}
		entries = append(entries, entry)
	}
	if err != nil {
		k.program.logger.Warn().Err(err).Str("kind", k.kind).Msg("ignoring invalid suspects in the store")
	}
	k.kept = value
	return entries
}

// syncSuspects writes the suspects if they have changed since the last call.
func (k *partKeeper) syncSuspects(ctx context.Context) error {
	record := poisonpart.NewSuspectsRecord(k.suspects(maxKeptSuspects, time.Now()))
	if len(record.Suspects) == 0 && k.kept == nil {
		return nil
	}
	data, err := json.Marshal(record)
	if err != nil || bytes.Equal(data, k.kept) {
		return err
	}
	if err := k.program.store.Replace(ctx, k.kind, suspectsName, record); err != nil {
		return err
	}
	k.kept = data
	return nil
}

// sync writes what is refused since the last call, and removes what no longer is.
func (k *partKeeper) sync(ctx context.Context) error {
	callCtx, cancel := context.WithTimeout(ctx, partCallTimeout)
	defer cancel()
	p := k.program
	refused := make(map[uint64]bool)
	for _, e := range k.refused(time.Now()) {
		refused[e.Part] = true
		if released, ok := k.stored[e.Part]; ok && released == e.Released {
			continue
		}
		if err := p.store.Replace(callCtx, k.kind, poisonpart.Name(e.Part), poisonpart.NewRecord(&e)); err != nil {
			return err
		}
		k.stored[e.Part] = e.Released
	}
	for part := range k.stored {
		if refused[part] {
			continue
		}
		if err := p.store.Remove(callCtx, k.kind, poisonpart.Name(part)); err != nil {
			return err
		}
		delete(k.stored, part)
	}
	return k.syncSuspects(callCtx)
}
