package forward

import (
	"context"
	"sync"
)

// question asks one address for the process that answers there. It serves all who wait for it before it is sent.
type question struct {
	done chan struct{} // closed once the following are set
	boot string
	err  error
}

// questions asks addresses for their processes, for all answers that ended before a question is sent at once.
type questions struct {
	ask       func(ctx context.Context, address string) (string, error)
	mu        sync.Mutex
	addresses map[string]*addressQuestions
}

// addressQuestions are the questions to one address.
type addressQuestions struct {
	underWay int
	next     *question // not sent yet, as too many are under way; nil if there is none
}

// askNow returns what a question that is sent after the call of askNow tells.
func (q *questions) askNow(ctx context.Context, address string) (string, error) {
	current := q.join(address)
	select {
	case <-current.done:
		return current.boot, current.err
	case <-ctx.Done():
		return "", ctx.Err()
	}
}

// join returns a question to the address that is not sent before the call.
func (q *questions) join(address string) *question {
	q.mu.Lock()
	defer q.mu.Unlock()
	a := q.addresses[address]
	if a == nil {
		a = &addressQuestions{}
		if q.addresses == nil {
			q.addresses = make(map[string]*addressQuestions)
		}
		q.addresses[address] = a
	}
	if a.next == nil {
		a.next = &question{done: make(chan struct{})}
	}
	current := a.next
	if a.underWay < maxBootConns {
		q.send(address, a)
	}
	return current
}

// send sends the next question to the address. The caller must hold q.mu.
func (q *questions) send(address string, a *addressQuestions) {
	current := a.next
	a.next = nil
	a.underWay++
	go func() {
		// It outlives the call that began it, as others may wait for it.
		ctx, cancel := context.WithTimeout(context.Background(), bootTimeout)
		defer cancel()
		current.boot, current.err = q.ask(ctx, address)
		if current.err != nil && ctx.Err() != nil {
			current.err = errNoAnswer
		}
		close(current.done)
		q.end(address, a)
	}()
}

// end records that a question has ended, and sends the next one.
func (q *questions) end(address string, a *addressQuestions) {
	q.mu.Lock()
	defer q.mu.Unlock()
	a.underWay--
	if a.next != nil {
		q.send(address, a)
	}
	if a.underWay == 0 {
		delete(q.addresses, address)
	}
}
