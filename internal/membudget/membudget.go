// Package membudget bounds the memory of a process that data of others occupies together while it is buffered: answers
// that have a bound each still exhaust the memory if many grow at once.
package membudget

import (
	"errors"
	"fmt"
	"io"
	"sync"
)

// AllowanceBytes is what each account may hold without asking the budget. It is far more than the head or an event of
// most answers has, so that these are served however much others hold.
const AllowanceBytes = 8 << 10

// minBufferBytes is the smallest buffer that Append allocates.
const minBufferBytes = 512

// ErrExhausted means that data does not fit into the memory set aside for it.
var ErrExhausted = errors.New("memory for buffered data is exhausted")

// Budget is memory that sources of data share. A source may hold a multiple of what remains free. With a multiple of 1 a
// source alone gets half of the budget, and n that want all of it leave 1/(n+1) to others. Whatever exceeds that does not
// grow further, and its owner gives it up, so that those that hold most give way first. A Budget is safe for concurrent
// use.
type Budget struct {
	limit    int
	multiple int

	mu       sync.Mutex
	held     int
	bySource map[string]int // bytes held by those that hold any
}

// New returns a budget of the given bytes, of which a source may hold the given multiple of what remains free.
func New(limit, multiple int) *Budget {
	return &Budget{limit: limit, multiple: multiple, bySource: make(map[string]int)}
}

// Held returns the bytes that all accounts hold above their allowances; 0 for a nil Budget.
func (b *Budget) Held() int {
	if b == nil {
		return 0
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.held
}

// Open returns an account of data from a source. An account of a nil Budget has no bound.
func (b *Budget) Open(source string) *Account { return &Account{budget: b, source: source} }

func (b *Budget) take(source string, bytes int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.bySource[source]+bytes > b.multiple*(b.limit-b.held-bytes) {
		return false
	}
	b.held += bytes
	b.bySource[source] += bytes
	return true
}

func (b *Budget) giveBack(source string, bytes int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.held -= bytes
	if b.bySource[source] -= bytes; b.bySource[source] == 0 {
		delete(b.bySource, source)
	}
}

// Account is what one answer or request holds. Its owner must call Close when nothing is held any more. An Account is not
// safe for concurrent use; a nil one has no bound.
type Account struct {
	budget *Budget
	source string
	held   int
}

// Held returns the bytes that the account holds.
func (a *Account) Held() int {
	if a == nil {
		return 0
	}
	return a.held
}

// Grow adds bytes to what the account holds. If they don't fit, it changes nothing and returns an error that wraps
// ErrExhausted.
func (a *Account) Grow(bytes int) error {
	if a == nil {
		return nil
	}
	if shared := sharedPart(a.held+bytes) - sharedPart(a.held); a.budget != nil && shared > 0 && !a.budget.take(a.source, shared) {
		return fmt.Errorf("%w: %d bytes held, %d more wanted", ErrExhausted, a.held, bytes)
	}
	a.held += bytes
	return nil
}

// Shrink subtracts bytes from what the account holds.
func (a *Account) Shrink(bytes int) {
	if a == nil {
		return
	}
	if shared := sharedPart(a.held) - sharedPart(a.held-bytes); a.budget != nil && shared > 0 {
		a.budget.giveBack(a.source, shared)
	}
	a.held -= bytes
}

// Close gives back all that the account holds.
func (a *Account) Close() { a.Shrink(a.Held()) }

// sharedPart returns the part of an account's bytes that is taken from the budget.
func sharedPart(held int) int { return max(held-AllowanceBytes, 0) }

// Append appends data to buf as the built-in function does. It grows the account by the capacity that it adds, which it
// doubles up to limit and beyond that by what is needed. If the account can't grow, it returns buf unchanged and the error.
func (a *Account) Append(buf, data []byte, limit int) ([]byte, error) {
	if need := len(buf) + len(data); need > cap(buf) {
		var err error
		if buf, err = a.setCapacity(buf, nextCapacity(cap(buf), need, limit)); err != nil {
			return buf, err
		}
	}
	return append(buf, data...), nil
}

// ReadAll reads data of at most limit bytes into a buffer whose capacity the account holds. The size that is expected may
// be 0. If there is more data, it returns the first limit+1 bytes and false; the rest can still be read from r. So can it if
// the error wraps ErrExhausted.
func (a *Account) ReadAll(r io.Reader, expected, limit int) (data []byte, complete bool, err error) {
	most := limit + 1
	need := min(expected+1, AllowanceBytes, most)
	for err == nil && len(data) <= limit {
		if len(data) == cap(data) {
			if data, err = a.setCapacity(data, nextCapacity(cap(data), max(need, cap(data)+1), most)); err != nil {
				return data, false, err
			}
		}
		var n int
		n, err = r.Read(data[len(data):cap(data)])
		data = data[:len(data)+n]
	}
	if err == io.EOF {
		err = nil
	}
	return data, len(data) <= limit, err
}

// nextCapacity doubles a capacity up to limit until it is at least need, which may be above limit.
func nextCapacity(capacity, need, limit int) int {
	capacity = max(capacity, minBufferBytes/2)
	for capacity < need {
		capacity *= 2
	}
	return max(min(capacity, limit), need)
}

func (a *Account) setCapacity(buf []byte, capacity int) ([]byte, error) {
	if err := a.Grow(capacity - cap(buf)); err != nil {
		return buf, err
	}
	return append(make([]byte, 0, capacity), buf...), nil
}
