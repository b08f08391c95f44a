// Package bus carries typed in-process events to the control goroutine over
// watermill.
package bus

import (
	"context"
	"errors"
	"sync/atomic"

	"github.com/ThreeDotsLabs/watermill"
	"github.com/ThreeDotsLabs/watermill/message"
	"github.com/ThreeDotsLabs/watermill/pubsub/gochannel"
	"github.com/rotisserie/eris"
)

const topic = "control"

// Errors of the bus.
var (
	// ErrPublish means that an event was not handed over.
	ErrPublish = errors.New("event could not be published")
	// ErrSubscribe means that no subscription was made.
	ErrSubscribe = errors.New("events could not be subscribed to")
)

type eventKey struct{}

// envelope carries an event and tells whether it was handled: a stopping
// subscriber ends Publish early while the handler may still run.
type envelope struct {
	event   any
	handled atomic.Bool
}

// Bus delivers events one at a time.
type Bus struct {
	channel *gochannel.GoChannel
}

// New returns an empty bus.
func New() *Bus {
	// Publish waits for the handler: without that, watermill delivers each event
	// from a goroutine of its own and the order of a publisher's events is lost.
	return &Bus{channel: gochannel.NewGoChannel(gochannel.Config{
		BlockPublishUntilSubscriberAck: true,
		PreserveContext:                true,
	}, watermill.NopLogger{})}
}

// Name implements kernel.Service.
func (b *Bus) Name() string { return "bus" }

// Stop implements kernel.Stopper.
func (b *Bus) Stop(context.Context) error { return b.channel.Close() }

// Publish hands an event to the subscriber and returns once it was handled, so
// that results which the handler stores in the event can be read. The handler
// itself must not publish. With ErrPublish the event was not handled, or not
// yet, and its results must not be read.
func (b *Bus) Publish(event any) error {
	e := &envelope{event: event}
	m := message.NewMessage("", nil)
	m.SetContext(context.WithValue(context.Background(), eventKey{}, e))
	if err := b.channel.Publish(topic, m); err != nil {
		return eris.Wrap(ErrPublish, err.Error())
	}
	if !e.handled.Load() {
		return ErrPublish
	}
	return nil
}

// Subscribe calls handle for each event until ctx ends. It returns once the
// subscription is in place; handle is called from one goroutine.
func (b *Bus) Subscribe(ctx context.Context, handle func(event any)) error {
	messages, err := b.channel.Subscribe(ctx, topic)
	if err != nil {
		return eris.Wrap(ErrSubscribe, err.Error())
	}
	go func() {
		for m := range messages {
			e := m.Context().Value(eventKey{}).(*envelope)
			handle(e.event)
			e.handled.Store(true)
			m.Ack()
		}
	}()
	return nil
}

// Close ends all subscriptions.
func (b *Bus) Close() error { return b.channel.Close() }
