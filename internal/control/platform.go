package control

import (
	"context"
	"errors"
	"time"

	"heatherbarrow/internal/bus"
	"heatherbarrow/internal/platform"
	"heatherbarrow/internal/rollout"
)

const (
	hostsInterval  = time.Second
	platformRetry  = 500 * time.Millisecond
	platformSource = "platform"
)

// PlatformProvider learns the bundle and the list of hosts from the platform.
type PlatformProvider struct {
	Store *rollout.Store
	Bus   *bus.Bus
}

// Run publishes events until ctx ends.
func (p *PlatformProvider) Run(ctx context.Context) {
	go p.followHosts(ctx)
	var version uint64
	for ctx.Err() == nil {
		objects, err := p.Store.Platform.Watch(ctx, rollout.KindCurrent, version)
		if err != nil {
			_ = p.Bus.Publish(SourceFailed{Source: platformSource, Err: err})
			pause(ctx, platformRetry)
			continue
		}
		for _, o := range objects {
			if err := p.publishBundle(ctx, o); err != nil {
				_ = p.Bus.Publish(SourceFailed{Source: platformSource, Err: err})
				pause(ctx, platformRetry)
				break
			}
			version = max(version, o.Version)
		}
		if len(objects) == 0 && version == 0 {
			_ = p.Bus.Publish(SourceFailed{Source: platformSource, Err: errors.New("no bundle has been rolled out")})
		}
	}
}

func (p *PlatformProvider) publishBundle(ctx context.Context, o platform.Object) error {
	current, err := rollout.DecodeCurrent(o)
	if err != nil {
		return err
	}
	content, err := p.Store.Content(ctx, current.SHA256)
	if err != nil {
		return err
	}
	return p.Bus.Publish(BundleReceived{Record: current.ToRPC(content), Source: platformSource})
}

func (p *PlatformProvider) followHosts(ctx context.Context) {
	for ctx.Err() == nil {
		if list, err := p.Store.Platform.Hosts(ctx); err == nil {
			_ = p.Bus.Publish(HostsReceived{List: list})
		}
		pause(ctx, hostsInterval)
	}
}

func pause(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
