package control

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/rs/zerolog"

	"heatherbarrow/internal/bus"
	"heatherbarrow/internal/kernel"
	"heatherbarrow/internal/objectstore"
	"heatherbarrow/internal/rollout"
	"heatherbarrow/internal/rpc"
)

const (
	platformSource = "platform"
	// hostsInterval is how often each of a zone's watchers reads the host list.
	hostsInterval = time.Second
	// wholeListInterval bounds how long a list that the platform wrongly calls
	// unchanged stays in use. A whole list has 75 KB at 400 hosts and 600
	// replicas (5 KB compressed), which makes 0.6 KB/s at most.
	wholeListInterval = 2 * time.Minute
	// hostsTimeout is how long one read may take before another host should try,
	// and slowTimeout how long it may take at all. Two errors in a row hand the
	// watch to the next host in rank as well.
	hostsTimeout  = 1500 * time.Millisecond
	slowTimeout   = 6 * time.Second
	failuresToTry = 2
	platformRetry = 500 * time.Millisecond
	readTimeout   = 3 * time.Second
	// watchTimeout is longer than the platform's own wait of 10 s.
	watchTimeout = 13 * time.Second
	// firstBackoff and lastBackoff bound how long a host that got no answer
	// leaves the watch to others before it tries again.
	firstBackoff = 10 * time.Second
	lastBackoff  = 60 * time.Second
)

// PlatformProvider learns the bundle and the list of hosts from the platform
// while this host is one of its zone's watchers.
type PlatformProvider struct {
	logger   zerolog.Logger
	store    *rollout.Store
	bus      *bus.Bus
	loop     *Loop
	list     knownList
	failures int
	backoff  time.Duration
	retryAt  time.Time
}

// Name implements kernel.Service.
func (p *PlatformProvider) Name() string { return ServicePlatformProvider }

// Dependencies implements kernel.Dependent.
func (p *PlatformProvider) Dependencies() []string {
	return []string{ServiceBus, ServiceLoop, ServiceStore}
}

// Provision implements kernel.Provisioner.
func (p *PlatformProvider) Provision(r *kernel.Registry) error {
	store, err := kernel.Lookup[*StoreService](r, ServiceStore)
	if err != nil {
		return err
	}
	p.store = store.Store
	if p.bus, err = kernel.Lookup[*bus.Bus](r, ServiceBus); err != nil {
		return err
	}
	p.loop, err = kernel.Lookup[*Loop](r, ServiceLoop)
	return err
}

// Start implements kernel.Starter.
func (p *PlatformProvider) Start(ctx context.Context) error {
	go p.whileWatching(ctx, p.followBundle)
	go p.followHosts(ctx)
	return nil
}

// whileWatching runs work with a context that ends when this host is no longer
// a watcher.
func (p *PlatformProvider) whileWatching(ctx context.Context, work func(context.Context)) {
	for ctx.Err() == nil {
		if !p.loop.State().Topology.Watching {
			p.waitForChange(ctx)
			continue
		}
		watching, stop := context.WithCancel(ctx)
		go func() {
			defer stop()
			for watching.Err() == nil && p.loop.State().Topology.Watching {
				p.waitForChange(watching)
			}
		}()
		work(watching)
		stop()
	}
}

func (p *PlatformProvider) waitForChange(ctx context.Context) {
	select {
	case <-ctx.Done():
	case <-p.loop.State().Changed():
	}
}

func (p *PlatformProvider) followBundle(ctx context.Context) {
	var version uint64
	for ctx.Err() == nil {
		next, err := p.watchOnce(ctx, version)
		if ctx.Err() != nil {
			return
		}
		if err != nil {
			_ = p.bus.Publish(SourceFailed{Err: platformError(err)})
			pause(ctx, platformRetry)
			continue
		}
		version = next
	}
}

func (p *PlatformProvider) watchOnce(ctx context.Context, version uint64) (uint64, error) {
	if version == 0 {
		return p.readCurrent(ctx)
	}
	watch, cancel := context.WithTimeout(ctx, watchTimeout)
	defer cancel()
	objects, err := p.store.Platform.Watch(watch, rollout.KindCurrent, version)
	if err != nil {
		return version, err
	}
	if len(objects) == 0 {
		// A platform that was restored to an older state has lower versions, which
		// the watch would not tell.
		return p.readCurrent(ctx)
	}
	for _, o := range objects {
		if o.Name != rollout.NameCurrent {
			continue
		}
		if o.Deleted || p.isBehind(o) {
			return p.readCurrent(ctx)
		}
		if err := p.publishBundle(ctx, o); err != nil {
			return version, err
		}
		version = max(version, o.Version)
	}
	return version, nil
}

// readCurrent reads the object directly: a watch would wait where there is none.
// A platform that is behind this host has lost the bundle and gets it back.
func (p *PlatformProvider) readCurrent(ctx context.Context) (uint64, error) {
	held := p.loop.State().Bundle
	read, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	o, err := p.store.Platform.Get(read, rollout.KindCurrent, rollout.NameCurrent)
	absent := errors.Is(err, objectstore.ErrNotFound)
	switch {
	case err != nil && !absent:
		return 0, err
	case absent && held == nil:
		return 0, ErrNoBundle
	case absent:
		return p.restore(ctx, held, 0)
	}
	if behind(o, held) {
		return p.restore(ctx, held, o.Version)
	}
	return o.Version, p.publishBundle(ctx, o)
}

func (p *PlatformProvider) isBehind(o objectstore.Object) bool {
	return behind(o, p.loop.State().Bundle)
}

// behind tells whether the current object names an earlier generation than the
// bundle held.
func behind(o objectstore.Object, held *rpc.BundleRecord) bool {
	current, err := rollout.DecodeCurrent(o)
	return err == nil && held != nil && current.Generation < held.Generation
}

// restore writes the bundle in force back to a platform that was restored to an
// older state, so that the next proposal gets a generation that hosts take. Both
// operators' signatures are written with it. The held bundle was known before the
// platform was read, so the platform did not merely move on in between; where it
// did, the conditional write fails.
func (p *PlatformProvider) restore(ctx context.Context, held *rpc.BundleRecord, version uint64) (uint64, error) {
	write, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	restored, err := p.store.Restore(write, held, version)
	if errors.Is(err, objectstore.ErrConflict) {
		return 0, nil // another host restored it, or an operator moved on; read again
	}
	if err != nil {
		return 0, err
	}
	p.logger.Warn().Uint64("generation", held.Generation).Str("sha256", held.Sha256).Msg("platform had lost the bundle in force, written back")
	return restored, p.bus.Publish(SourceAnswered{Source: platformSource, Generation: held.Generation})
}

func (p *PlatformProvider) publishBundle(ctx context.Context, o objectstore.Object) error {
	current, err := rollout.DecodeCurrent(o)
	if err != nil {
		return err
	}
	if b := p.loop.State().Bundle; b == nil || current.Generation > b.Generation {
		read, cancel := context.WithTimeout(ctx, readTimeout)
		defer cancel()
		content, err := p.store.Content(read, current.SHA256)
		if err != nil {
			return err
		}
		if err := p.loop.Offer(current.ToRPC(content), platformSource); err != nil {
			return err
		}
	}
	return p.bus.Publish(SourceAnswered{Source: platformSource, Generation: current.Generation})
}

// followHosts reads the host list while this host is a watcher, and tells when
// the platform does not answer, so that the next host in rank takes over.
func (p *PlatformProvider) followHosts(ctx context.Context) {
	for ctx.Err() == nil {
		if p.loop.State().Topology.Watching {
			p.readHosts(ctx)
		}
		if p.failures >= failuresToTry && time.Now().After(p.retryAt) {
			p.failures = failuresToTry - 1
			_ = p.bus.Publish(PlatformProbed{})
		}
		pause(ctx, hostsInterval)
	}
}

// readHosts takes over the list also when the platform is slow. A slow answer
// counts as a failure all the same, so that a host that is cut off without an
// error is replaced soon.
func (p *PlatformProvider) readHosts(ctx context.Context) {
	read, cancel := context.WithTimeout(ctx, slowTimeout)
	defer cancel()
	begin := time.Now()
	late := time.AfterFunc(hostsTimeout, func() { _ = p.bus.Publish(PlatformProbed{Failed: true}) })
	list, err := p.list.read(read, p.store.Platform, begin)
	late.Stop()
	if err == nil {
		_ = p.bus.Publish(HostsReceived{List: list})
	}
	slow := time.Since(begin) >= hostsTimeout
	if err == nil && !slow {
		p.failures, p.backoff = 0, 0
		_ = p.bus.Publish(PlatformProbed{})
		return
	}
	p.failures++
	if slow {
		// The host is marked already and must come to try again.
		p.failures = max(p.failures, failuresToTry)
	}
	if p.failures < failuresToTry {
		return
	}
	_ = p.bus.Publish(PlatformProbed{Failed: true})
	if time.Now().After(p.retryAt) {
		p.backoff = min(max(2*p.backoff, firstBackoff), lastBackoff)
		p.retryAt = time.Now().Add(p.backoff + rand.N(firstBackoff/2))
	}
}

// knownList is the host list that the platform gave last. Only followHosts uses it.
type knownList struct {
	list    objectstore.HostList
	wholeAt time.Time // when the list was last read whole
}

// read asks for the list unless it still has the known version. An unchanged
// list is returned as well: it was confirmed now, and the table counts its age.
func (k *knownList) read(ctx context.Context, client *objectstore.Client, now time.Time) (objectstore.HostList, error) {
	known := k.list.Version
	if now.Sub(k.wholeAt) >= wholeListInterval {
		known = ""
	}
	list, err := client.Hosts(ctx, known)
	if errors.Is(err, objectstore.ErrNotModified) {
		return k.list, nil
	}
	if err == nil {
		k.list, k.wholeAt = list, now
	}
	return list, err
}

func pause(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
