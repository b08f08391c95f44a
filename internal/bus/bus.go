// Package bus carries typed in-process events to the control goroutine over
// watermill.
package bus

import (
	"context"

	"github.com/ThreeDotsLabs/watermill"
	"github.com/ThreeDotsLabs/watermill/message"
	"github.com/ThreeDotsLabs/watermill/pubsub/gochannel"
	"github.com/rotisserie/eris"
)

const (
	topic      = "control"
	bufferSize = 1024
)

type eventKey struct{}

// Bus delivers events in the order of their publication.
type Bus struct {
	channel *gochannel.GoChannel
}

// New returns an empty bus.
func New() *Bus {
	return &Bus{channel: gochannel.NewGoChannel(gochannel.Config{
		OutputChannelBuffer: bufferSize,
		PreserveContext:     true,
	}, watermill.NopLogger{})}
}

// Publish hands an event to the subscriber. Events are passed by reference and
// must not be changed afterwards.
func (b *Bus) Publish(event any) error {
	m := message.NewMessage(watermill.NewULID(), nil)
	m.SetContext(context.WithValue(context.Background(), eventKey{}, event))
	return eris.Wrap(b.channel.Publish(topic, m), "publish event")
}

// Subscribe calls handle for each event until ctx ends. It returns once the
// subscription is in place; handle is called from one goroutine.
func (b *Bus) Subscribe(ctx context.Context, handle func(event any)) error {
	messages, err := b.channel.Subscribe(ctx, topic)
	if err != nil {
		return eris.Wrap(err, "subscribe to events")
	}
	go func() {
		for m := range messages {
			handle(m.Context().Value(eventKey{}))
			m.Ack()
		}
	}()
	return nil
}

// Close ends all subscriptions.
func (b *Bus) Close() error { return b.channel.Close() }
