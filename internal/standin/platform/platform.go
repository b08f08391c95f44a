// Package platform is a stand-in for the platform's object API, for tests and
// the demo. It has switches for outages, slowness and lost answers, and counts
// its calls.
package platform

import (
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/go-chi/chi/v5"
	"github.com/go-chi/chi/v5/middleware"
	"golang.org/x/time/rate"

	client "heatherbarrow/internal/objectstore"
	"heatherbarrow/internal/standin/admin"
)

const (
	// watchWait is how long a watch waits before it returns without events.
	watchWait = 10 * time.Second

	gzipLevel = 5

	defaultReadsPerSecond  = 2000
	defaultWritesPerSecond = 300
)

// Faults are the switches of the stand-in.
type Faults struct {
	Down             bool `json:"down"`                // refuse every call with status 503
	DelayMS          int  `json:"delay_ms"`            // delay of every call
	LoseWriteAnswers int  `json:"lose_write_answers"`  // number of writes that take effect without an answer
	LoseEveryNthRead int  `json:"lose_every_nth_read"` // 0 loses none
}

// Counts are the calls answered, by kind of call.
type Counts struct {
	Reads     uint64 `json:"reads"`
	Writes    uint64 `json:"writes"`
	Watches   uint64 `json:"watches"`
	Conflicts uint64 `json:"conflicts"`
	Bytes     uint64 `json:"bytes"`   // of values written
	Limited   uint64 `json:"limited"` // refused because a rate was exceeded
}

// Server is the stand-in.
type Server struct {
	mu      sync.Mutex
	objects map[string]client.Object // by kind and name
	version uint64
	changed chan struct{} // closed at each change
	hosts   hostsAnswer
	faults  Faults
	counts  Counts
	reads   *rate.Limiter
	writes  *rate.Limiter
}

// hostsAnswer is the list of hosts as it is sent, with its entity tag.
type hostsAnswer struct {
	body []byte
	tag  string
}

// New returns an empty platform.
func New() *Server {
	s := &Server{objects: make(map[string]client.Object), changed: make(chan struct{})}
	s.SetRates(0, 0)
	s.SetHosts(client.HostList{})
	return s
}

// SetRates sets the calls allowed per second for everyone together; 0 takes the
// documented rate. A watch counts as a read.
func (s *Server) SetRates(reads, writes int) {
	if reads == 0 {
		reads = defaultReadsPerSecond
	}
	if writes == 0 {
		writes = defaultWritesPerSecond
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reads = rate.NewLimiter(rate.Limit(reads), reads)
	s.writes = rate.NewLimiter(rate.Limit(writes), writes)
}

// Handler returns the HTTP handler of the API and of the switches under /admin.
func (s *Server) Handler() http.Handler {
	r := chi.NewRouter()
	r.Route("/v1", func(r chi.Router) {
		r.Use(s.applyFaults)
		r.Get("/objects/{kind}", s.list)
		r.Get("/objects/{kind}/{name}", s.get)
		r.Put("/objects/{kind}/{name}", s.put)
		r.Delete("/objects/{kind}/{name}", s.delete)
		r.Get("/watch/{kind}", s.watch)
		r.With(middleware.Compress(gzipLevel, "application/json")).Get("/hosts", s.getHosts)
	})
	r.Put("/admin/faults", admin.Put(s.SetFaults))
	r.Put("/admin/hosts", admin.Put(s.SetHosts))
	r.Get("/admin/counts", admin.Get(s.Counts))
	return r
}

// SetFaults sets the switches.
func (s *Server) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
	s.notify()
}

// SetHosts sets the list of hosts.
func (s *Server) SetHosts(hosts client.HostList) {
	body, err := json.Marshal(hosts)
	if err != nil {
		panic(err) // strings alone always encode
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	// A tag made from the content also differs after a restart of the stand-in.
	// It is weak, because it stands for the list with and without compression.
	s.hosts = hostsAnswer{body: body, tag: fmt.Sprintf(`W/"%016x"`, xxhash.Sum64(body))}
}

// Counts returns the calls so far.
func (s *Server) Counts() Counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counts
}

func (s *Server) applyFaults(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		faults := s.faults
		allowed := s.countCall(r)
		lost := s.loseAnswer(r)
		s.mu.Unlock()
		if faults.DelayMS > 0 {
			select {
			case <-time.After(time.Duration(faults.DelayMS) * time.Millisecond):
			case <-r.Context().Done():
				return
			}
		}
		if faults.Down {
			http.Error(w, "outage", http.StatusServiceUnavailable)
			return
		}
		if !allowed {
			http.Error(w, "rate exceeded", http.StatusTooManyRequests)
			return
		}
		if lost {
			next.ServeHTTP(&discardWriter{header: make(http.Header)}, r)
			panic(http.ErrAbortHandler)
		}
		next.ServeHTTP(w, r)
	})
}

// countCall counts a call and tells whether the rate allows it.
func (s *Server) countCall(r *http.Request) bool {
	limiter := s.reads
	switch {
	case r.Method != http.MethodGet:
		s.counts.Writes++
		limiter = s.writes
	case strings.HasPrefix(r.URL.Path, "/v1/watch/"):
		s.counts.Watches++
	default:
		s.counts.Reads++
	}
	s.counts.Bytes += uint64(max(r.ContentLength, 0))
	if limiter.Allow() {
		return true
	}
	s.counts.Limited++
	return false
}

func (s *Server) loseAnswer(r *http.Request) bool {
	if r.Method != http.MethodGet && s.faults.LoseWriteAnswers > 0 {
		s.faults.LoseWriteAnswers--
		return true
	}
	n := s.faults.LoseEveryNthRead
	return r.Method == http.MethodGet && n > 0 && s.counts.Reads%uint64(n) == 0
}

type discardWriter struct{ header http.Header }

func (d *discardWriter) Header() http.Header         { return d.header }
func (d *discardWriter) Write(p []byte) (int, error) { return len(p), nil }
func (d *discardWriter) WriteHeader(int)             {}

func objectKey(r *http.Request) string {
	return chi.URLParam(r, "kind") + "\x00" + chi.URLParam(r, "name")
}

func (s *Server) get(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	o, ok := s.objects[objectKey(r)]
	s.mu.Unlock()
	if !ok || o.Deleted {
		http.Error(w, "not found", http.StatusNotFound)
		return
	}
	admin.WriteJSON(w, o)
}

type objectList struct {
	Objects []client.Object `json:"objects"`
}

func (s *Server) list(w http.ResponseWriter, r *http.Request) {
	prefix := r.URL.Query().Get("prefix")
	out := s.selectObjects(func(o *client.Object) bool {
		return o.Kind == chi.URLParam(r, "kind") && strings.HasPrefix(o.Name, prefix) && !o.Deleted
	})
	slices.SortFunc(out, func(a, b client.Object) int { return cmp.Compare(a.Name, b.Name) })
	admin.WriteJSON(w, objectList{Objects: out})
}

func (s *Server) selectObjects(match func(*client.Object) bool) []client.Object {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := []client.Object{}
	for _, o := range s.objects {
		if match(&o) {
			out = append(out, o)
		}
	}
	return out
}

func (s *Server) put(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, client.MaxValueBytes))
	if err != nil || !json.Valid(body) {
		http.Error(w, "value is too large or not JSON", http.StatusBadRequest)
		return
	}
	o := client.Object{Kind: chi.URLParam(r, "kind"), Name: chi.URLParam(r, "name"), Value: body}
	s.apply(w, r, o)
}

func (s *Server) delete(w http.ResponseWriter, r *http.Request) {
	o := client.Object{Kind: chi.URLParam(r, "kind"), Name: chi.URLParam(r, "name"), Deleted: true}
	s.apply(w, r, o)
}

func (s *Server) apply(w http.ResponseWriter, r *http.Request, o client.Object) {
	s.mu.Lock()
	defer s.mu.Unlock()
	old, exists := s.objects[objectKey(r)]
	exists = exists && !old.Deleted
	if !conditionHolds(r, old, exists) {
		s.counts.Conflicts++
		http.Error(w, "condition does not hold", http.StatusPreconditionFailed)
		return
	}
	if o.Deleted && !exists {
		http.Error(w, "not found", http.StatusNotFound)
		return
	}
	s.version++
	o.Version = s.version
	s.objects[objectKey(r)] = o
	s.notify()
	o.Value = nil
	admin.WriteJSON(w, o)
}

func conditionHolds(r *http.Request, old client.Object, exists bool) bool {
	if r.Header.Get("If-None-Match") == "*" {
		return !exists
	}
	want, err := strconv.ParseUint(r.Header.Get("If-Match"), 10, 64)
	return err == nil && exists && old.Version == want
}

// notify wakes all watches. s.mu must be held.
func (s *Server) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *Server) watch(w http.ResponseWriter, r *http.Request) {
	after, err := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	if err != nil {
		http.Error(w, "after must be a version", http.StatusBadRequest)
		return
	}
	deadline := time.NewTimer(watchWait)
	defer deadline.Stop()
	for {
		s.mu.Lock()
		changed := s.changed
		down := s.faults.Down
		s.mu.Unlock()
		if down {
			http.Error(w, "outage", http.StatusServiceUnavailable)
			return
		}
		out := s.selectObjects(func(o *client.Object) bool {
			return o.Kind == chi.URLParam(r, "kind") && o.Version > after
		})
		if len(out) > 0 {
			slices.SortFunc(out, func(a, b client.Object) int { return cmp.Compare(a.Version, b.Version) })
			admin.WriteJSON(w, objectList{Objects: out})
			return
		}
		select {
		case <-changed:
		case <-deadline.C:
			admin.WriteJSON(w, objectList{Objects: []client.Object{}})
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (s *Server) getHosts(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	hosts := s.hosts
	s.mu.Unlock()
	w.Header().Set("ETag", hosts.tag)
	if r.Header.Get("If-None-Match") == hosts.tag {
		w.WriteHeader(http.StatusNotModified)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(hosts.body)
}
