package control

import (
	"context"
	"encoding/json"
	"errors"
	"reflect"
	"slices"
	"time"

	"github.com/rotisserie/eris"

	"heatherbarrow/internal/bus"
	"heatherbarrow/internal/kernel"
	"heatherbarrow/internal/membership"
	"heatherbarrow/internal/objectstore"
	"heatherbarrow/internal/rpc"
	"heatherbarrow/internal/scheduling/poisonpart"
)

const (
	kindQuarantine  = "quarantine"
	quarantineRetry = 2 * time.Second
	// maxKept bounds the object's size; the entries that last longest are kept.
	maxKept = 2000
)

// ErrQuarantine means that the zone's quarantine object could not be read or written.
var ErrQuarantine = errors.New("quarantine object")

// keptEntry is one entry of the platform's object.
type keptEntry struct {
	Fingerprint     uint64   `json:"fingerprint,string"`
	Model           string   `json:"model,omitempty"`
	CrashedReplicas []string `json:"crashed_replicas,omitempty"`
	ExpiresUnixMS   int64    `json:"expires_unix_ms"`
	Released        uint64   `json:"released,omitempty"`
}

type keptQuarantine struct {
	Entries []keptEntry         `json:"entries"`
	Parts   []poisonpart.Record `json:"parts,omitempty"` // parts of prompts that requests are refused for
}

// QuarantineKeeper keeps the zone's quarantine in the platform: it reads the
// object when the host starts and writes changes made on this host behind.
type QuarantineKeeper struct {
	Zone string

	bus    *bus.Bus
	loop   *Loop
	client *objectstore.Client
}

// Name implements kernel.Service.
func (q *QuarantineKeeper) Name() string { return ServiceQuarantine }

// Dependencies implements kernel.Dependent.
func (q *QuarantineKeeper) Dependencies() []string {
	return []string{ServiceBus, ServiceLoop, ServiceStore}
}

// Provision implements kernel.Provisioner.
func (q *QuarantineKeeper) Provision(r *kernel.Registry) error {
	store, err := kernel.Lookup[*StoreService](r, ServiceStore)
	if err != nil {
		return err
	}
	q.client = store.Store.Platform
	if q.bus, err = kernel.Lookup[*bus.Bus](r, ServiceBus); err != nil {
		return err
	}
	q.loop, err = kernel.Lookup[*Loop](r, ServiceLoop)
	return err
}

// Start implements kernel.Starter.
func (q *QuarantineKeeper) Start(ctx context.Context) error {
	go q.run(ctx)
	return nil
}

func (q *QuarantineKeeper) run(ctx context.Context) {
	loaded := false
	written := uint64(0)
	for ctx.Err() == nil {
		s := q.loop.State()
		if loaded && s.QuarantineN == written {
			select {
			case <-ctx.Done():
			case <-s.Changed():
			}
			continue
		}
		if err := q.synchronize(ctx, s.QuarantineN != written); err != nil {
			pause(ctx, quarantineRetry)
			continue
		}
		loaded, written = true, s.QuarantineN
	}
}

// synchronize reads the object, merges both ways and writes when this host has
// something new. A lost answer needs no special care: the next round reads the
// object again, and merging twice changes nothing.
func (q *QuarantineKeeper) synchronize(ctx context.Context, write bool) error {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	kept, version, err := q.read(ctx)
	if err != nil {
		return eris.Wrap(ErrQuarantine, err.Error())
	}
	loaded, err := kept.loaded()
	if err != nil {
		return eris.Wrap(ErrQuarantine, err.Error())
	}
	if err := q.bus.Publish(loaded); err != nil || !write {
		return err
	}
	due := &QuarantineDue{}
	if err := q.bus.Publish(due); err != nil {
		return err
	}
	value := toKept(due)
	if value.equivalent(&kept) {
		return nil // another host of the zone has written the same
	}
	if version == 0 {
		_, err = q.client.Create(ctx, kindQuarantine, q.Zone, value)
	} else {
		_, err = q.client.Update(ctx, kindQuarantine, q.Zone, version, value)
	}
	if err != nil {
		return eris.Wrap(ErrQuarantine, err.Error())
	}
	return nil
}

// read returns the object and its version, which is 0 if there is none.
func (q *QuarantineKeeper) read(ctx context.Context) (kept keptQuarantine, version uint64, err error) {
	o, err := q.client.Get(ctx, kindQuarantine, q.Zone)
	if errors.Is(err, objectstore.ErrNotFound) {
		return keptQuarantine{}, 0, nil
	}
	if err != nil {
		return keptQuarantine{}, 0, err
	}
	if err := json.Unmarshal(o.Value, &kept); err != nil {
		return keptQuarantine{}, 0, err
	}
	return kept, o.Version, nil
}

// loaded returns the event that holds the entries of the object.
func (k *keptQuarantine) loaded() (QuarantineLoaded, error) {
	var out QuarantineLoaded
	for _, e := range k.Entries {
		out.Entries = append(out.Entries, &rpc.QuarantineEntry{
			Fingerprint: e.Fingerprint, Model: e.Model, CrashedReplicas: e.CrashedReplicas,
			ExpiresUnixMs: e.ExpiresUnixMS, Released: e.Released,
		})
	}
	for i := range k.Parts {
		entry, err := k.Parts[i].Entry()
		if err != nil {
			return QuarantineLoaded{}, err
		}
		out.Parts = append(out.Parts, entry)
	}
	return out, nil
}

// equivalent reports whether both hold the same entries and refuse the same parts. The times of a part
// differ a little from host to host.
func (k *keptQuarantine) equivalent(other *keptQuarantine) bool {
	samePart := func(a, b poisonpart.Record) bool {
		return a.Part == b.Part && a.Released == b.Released && a.Quarantined == b.Quarantined
	}
	return reflect.DeepEqual(k.Entries, other.Entries) && slices.EqualFunc(k.Parts, other.Parts, samePart)
}

func toKept(due *QuarantineDue) keptQuarantine {
	entries := membership.LatestExpiring(due.Entries, maxKept)
	kept := keptQuarantine{Entries: make([]keptEntry, 0, len(entries))}
	for i := range due.Parts {
		kept.Parts = append(kept.Parts, poisonpart.NewRecord(&due.Parts[i]))
	}
	for _, e := range entries {
		kept.Entries = append(kept.Entries, keptEntry{
			Fingerprint: e.Fingerprint, Model: e.Model, CrashedReplicas: e.CrashedReplicas,
			ExpiresUnixMS: e.ExpiresUnixMs, Released: e.Released,
		})
	}
	return kept
}
