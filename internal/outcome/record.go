package outcome

import (
	"sync"
	"time"

	"github.com/hashicorp/golang-lru/v2/expirable"
)

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
	Started     time.Time
}

// Store keeps the records of a host's latest requests in memory.
type Store struct {
	mu      sync.Mutex
	records *expirable.LRU[string, Record]
}

// NewStore returns a store for at most size records, each kept for ttl.
func NewStore(size int, ttl time.Duration) *Store {
	return &Store{records: expirable.NewLRU[string, Record](size, nil, ttl)}
}

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

// Finish sets the final outcome and answer.
func (s *Store) Finish(requestID string, o Outcome, status int, contentType string, body []byte) {
	s.update(requestID, func(r *Record) {
		r.Outcome = o
		r.Done = true
		r.Status = status
		r.ContentType = contentType
		r.Body = body
	})
}

func (s *Store) update(requestID string, change func(*Record)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	r, ok := s.records.Get(requestID)
	if !ok {
		return
	}
	change(&r)
	s.records.Add(requestID, r)
}

// Get returns the record of a request.
func (s *Store) Get(requestID string) (Record, bool) {
	return s.records.Get(requestID)
}
