package forward

import (
	"context"
	"sync"
	"time"
)

// The end of an unframed answer tells little if all other connections to its service end with their answers, too. While such an
// answer arrives from a service that states its process, the service is therefore asked for it on other connections, which are
// idle in between: what cuts the connections to it ends these, too.

const (
	// besideConns is the number of these connections. A service that does not state for how long it keeps idle ones may close one at
	// any time.
	besideConns = 2
	// besideDelay spares answers that arrive at once the questions.
	besideDelay = 50 * time.Millisecond
	// besideInterval is the time between two questions on a connection, which must stay reserved in between.
	besideInterval = reservedTime / 2
)

// besideQuestions are the questions to services from which unframed answers arrive.
type besideQuestions struct {
	ask       func(ctx context.Context, conn int, address string) (string, error) // conn is below besideConns
	mu        sync.Mutex
	addresses map[string]*askedBeside
}

// askedBeside is a service from which unframed answers arrive.
type askedBeside struct {
	answers int
	stop    context.CancelFunc
}

// begin asks the service at the address until the returned function is called.
func (b *besideQuestions) begin(address string) (end func()) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.addresses == nil {
		b.addresses = make(map[string]*askedBeside)
	}
	asked := b.addresses[address]
	if asked == nil {
		ctx, cancel := context.WithCancel(context.Background())
		asked = &askedBeside{stop: cancel}
		b.addresses[address] = asked
		go b.run(ctx, address)
	}
	asked.answers++
	return func() {
		b.mu.Lock()
		defer b.mu.Unlock()
		if asked.answers--; asked.answers == 0 {
			asked.stop()
			delete(b.addresses, address)
		}
	}
}

// run asks the service until ctx ends. Questions under way are left to end, as their connections could not serve again.
func (b *besideQuestions) run(ctx context.Context, address string) {
	for pause(ctx, besideDelay); ctx.Err() == nil; pause(ctx, besideInterval) {
		var asked sync.WaitGroup
		for conn := range besideConns {
			asked.Go(func() {
				questionCtx, cancel := context.WithTimeout(context.Background(), bootTimeout)
				defer cancel()
				_, _ = b.ask(questionCtx, conn, address) // only the connection matters
			})
		}
		asked.Wait()
	}
}
