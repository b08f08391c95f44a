package outcome

import (
	"sync"
	"time"

	"github.com/hashicorp/golang-lru/v2/expirable"
	"github.com/hashicorp/golang-lru/v2/simplelru"
)

// maxBodyBytes bounds all answers kept in a Store.
const maxBodyBytes = 64 << 20

// Record is what a host knows of a request.
type Record struct {
	RequestID   string
	Team        string
	Class       string
	Outcome     Outcome
	Done        bool // false while the request is in progress
	Status      int  // HTTP status of the answer
	ContentType string
	Body        []byte // kept for non-repeatable calls only
	HasBody     bool   // the whole answer is in Body
	Started     time.Time
}

// Store keeps the records of a host's latest requests in memory. Answers are
// kept apart from the records, within a bound on their bytes.
type Store struct {
	mu        sync.Mutex
	records   *expirable.LRU[string, Record]
	bodies    *simplelru.LRU[string, []byte]
	bodyBytes int
}

// NewStore returns a store for at most size records, each kept for ttl.
func NewStore(size int, ttl time.Duration) *Store {
	s := &Store{}
	s.records = expirable.NewLRU[string, Record](size, nil, ttl)
	// The only error is a size that is not positive.
	s.bodies, _ = simplelru.NewLRU[string, []byte](max(size, 1), s.bodyEvicted)
	return s
}

// bodyEvicted is called by the LRU with mu held.
func (s *Store) bodyEvicted(_ string, body []byte) { s.bodyBytes -= len(body) }

// Begin adds the record of a request that nothing has been sent for yet.
func (s *Store) Begin(r Record) {
	r.Outcome = NotRun
	s.records.Add(r.RequestID, r)
}

// Sent marks a request as unknown. It is called before the first byte is sent
// upstream, so that the record is true wherever the process stops.
func (s *Store) Sent(requestID string) {
	s.update(requestID, func(r *Record) { r.Outcome = Unknown })
}

// Received keeps the answer of a non-repeatable call before it is passed on, so
// that a repeated key gets it although the caller has gone. The outcome is set
// by Finish.
func (s *Store) Received(requestID string, status int, contentType string, body []byte) {
	s.update(requestID, func(r *Record) {
		r.Status = status
		r.ContentType = contentType
		r.HasBody = true
		s.keepBody(requestID, body)
	})
}

func (s *Store) keepBody(requestID string, body []byte) {
	s.bodies.Remove(requestID)
	s.bodies.Add(requestID, body)
	s.bodyBytes += len(body)
	for s.bodyBytes > maxBodyBytes {
		s.bodies.RemoveOldest()
	}
}

// Finish sets the final outcome.
func (s *Store) Finish(requestID string, o Outcome, status int) {
	s.update(requestID, func(r *Record) {
		r.Outcome = o
		r.Done = true
		if !r.HasBody {
			r.Status = status
		}
	})
}

func (s *Store) update(requestID string, change func(*Record)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	r, ok := s.records.Peek(requestID)
	if !ok {
		return
	}
	change(&r)
	s.records.Add(requestID, r)
}

// Get returns the record of a request.
func (s *Store) Get(requestID string) (Record, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	r, ok := s.records.Get(requestID)
	if !ok || !r.HasBody {
		return r, ok
	}
	r.Body, r.HasBody = s.bodies.Get(requestID)
	return r, true
}
