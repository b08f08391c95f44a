package gateway

import (
	"context"
	"encoding/json"
	"strconv"
	"time"

	"heatherbarrow/internal/scheduling/quarantine"
)

const (
	// partSyncInterval is the interval at which refused prompt parts are compared with those that were
	// written to the store.
	partSyncInterval = time.Second
	// partCallTimeout limits each call to the store for refused parts.
	partCallTimeout = 2 * time.Second
)

// partRecord is the stored object of a prompt part that requests are refused for. Its name is the ID of
// the part in hexadecimal.
type partRecord struct {
	Released      uint64        `json:"released"`
	Quarantined   bool          `json:"quarantined"`
	ExpiresUnixMs int64         `json:"expires_unix_ms"`
	Crashes       []crashRecord `json:"crashes"`
}

// crashRecord is a crash that counts against a part.
type crashRecord struct {
	Replica  uint64 `json:"replica,string"`
	AtUnixMs int64  `json:"at_unix_ms"`
}

// partKeeper keeps the prompt parts that requests are refused for in the store, so that they are known
// after all hosts have restarted. Hosts that restart alone learn them from their peers.
type partKeeper struct {
	program *Program
	stored  map[uint64]uint64 // number of releases of the stored entries, by part
}

// run reads the stored parts, and then writes and removes them as they change, until ctx ends.
func (k *partKeeper) run(ctx context.Context) {
	ticker := time.NewTicker(partSyncInterval)
	defer ticker.Stop()
	for {
		var err error
		if k.stored == nil {
			err = k.load(ctx)
		} else if k.program.role.Following() {
			err = k.sync(ctx)
		}
		if err != nil && ctx.Err() == nil {
			k.program.logger.Warn().Err(err).Msg("refused prompt parts cannot be read from the store or written")
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// load applies the stored parts.
func (k *partKeeper) load(ctx context.Context) error {
	callCtx, cancel := context.WithTimeout(ctx, partCallTimeout)
	defer cancel()
	list, err := k.program.store.ListKind(callCtx, k.program.adapter.KindParts)
	if err != nil {
		return err
	}
	k.stored = make(map[uint64]uint64)
	var entries []quarantine.PartEntry
	for _, o := range list.Objects {
		part, err := strconv.ParseUint(o.Name, 16, 64)
		var record partRecord
		if err == nil {
			err = json.Unmarshal(o.Value, &record)
		}
		if err != nil {
			k.program.logger.Warn().Err(err).Str("name", o.Name).Msg("ignoring invalid prompt part in the store")
			continue
		}
		k.stored[part] = record.Released
		entry := quarantine.PartEntry{
			Part: part, Released: record.Released, Quarantined: record.Quarantined, Expires: time.UnixMilli(record.ExpiresUnixMs),
		}
		for _, c := range record.Crashes {
			entry.Crashes = append(entry.Crashes, quarantine.PartCrash{Replica: c.Replica, At: time.UnixMilli(c.AtUnixMs)})
		}
		entries = append(entries, entry)
	}
	k.program.fleet.ApplyPartReports(entries, time.Now())
	return nil
}

// sync writes the parts that are refused since the last call, and removes those that no longer are.
func (k *partKeeper) sync(ctx context.Context) error {
	callCtx, cancel := context.WithTimeout(ctx, partCallTimeout)
	defer cancel()
	p := k.program
	refused := make(map[uint64]bool)
	for _, e := range p.fleet.RefusedParts(time.Now()) {
		refused[e.Part] = true
		if released, ok := k.stored[e.Part]; ok && released == e.Released {
			continue
		}
		if err := p.store.Replace(callCtx, p.adapter.KindParts, partName(e.Part), newPartRecord(&e)); err != nil {
			return err
		}
		k.stored[e.Part] = e.Released
	}
	for part := range k.stored {
		if refused[part] {
			continue
		}
		if err := p.store.Remove(callCtx, p.adapter.KindParts, partName(part)); err != nil {
			return err
		}
		delete(k.stored, part)
	}
	return nil
}

func partName(part uint64) string { return strconv.FormatUint(part, 16) }

func newPartRecord(e *quarantine.PartEntry) partRecord {
	record := partRecord{Released: e.Released, Quarantined: e.Quarantined, ExpiresUnixMs: e.Expires.UnixMilli()}
	for _, c := range e.Crashes {
		record.Crashes = append(record.Crashes, crashRecord{Replica: c.Replica, AtUnixMs: c.At.UnixMilli()})
	}
	return record
}
