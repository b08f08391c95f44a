package engine

import (
	"encoding/json"
	"net/http"
	"slices"
	"time"
)

// Order is a placement order.
type Order struct {
	Order        string `json:"order"` // "load", "unload" or "role"
	Model        string `json:"model,omitempty"`
	Role         string `json:"role,omitempty"`
	FencingToken uint64 `json:"fencing_token"`
}

// TakenOrder is an order that the engine was sent.
type TakenOrder struct {
	Order
	Status int `json:"status"`
}

// orderBook holds the models and role that orders set.
type orderBook struct {
	ready   map[string]time.Time // model to when it is loaded
	role    string
	fencing uint64 // highest token seen
	taken   []TakenOrder
	loads   []time.Time // load orders of the last second
}

func newOrderBook(models []string) orderBook {
	b := orderBook{ready: make(map[string]time.Time), role: "mixed"}
	for _, m := range models {
		b.ready[m] = time.Time{}
	}
	return b
}

func (b *orderBook) isLoaded(model string, now time.Time) bool {
	ready, ok := b.ready[model]
	return ok && !now.Before(ready)
}

func (b *orderBook) loaded(now time.Time) []string {
	out := []string{}
	for model := range b.ready {
		if b.isLoaded(model, now) {
			out = append(out, model)
		}
	}
	slices.Sort(out)
	return out
}

// take applies an order and returns its status.
func (b *orderBook) take(o Order, checks bool, loadTime time.Duration, loadsPerSecond int) int {
	if checks && o.FencingToken < b.fencing {
		return http.StatusConflict
	}
	b.fencing = max(b.fencing, o.FencingToken)
	now := time.Now()
	switch o.Order {
	case "load":
		if _, ok := b.ready[o.Model]; ok {
			return http.StatusOK
		}
		if !b.mayLoad(now, loadsPerSecond) {
			return http.StatusTooManyRequests
		}
		b.ready[o.Model] = now.Add(loadTime)
		return http.StatusAccepted
	case "unload":
		delete(b.ready, o.Model)
	case "role":
		b.role = o.Role
	default:
		return http.StatusBadRequest
	}
	return http.StatusOK
}

func (b *orderBook) mayLoad(now time.Time, perSecond int) bool {
	if perSecond == 0 {
		return true
	}
	b.loads = slices.DeleteFunc(b.loads, func(t time.Time) bool { return now.Sub(t) > time.Second })
	if len(b.loads) >= perSecond {
		return false
	}
	b.loads = append(b.loads, now)
	return true
}

func (s *Server) serveOrder(w http.ResponseWriter, r *http.Request) {
	var o Order
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	status := s.orders.take(o, s.opts.ChecksFencing, s.opts.LoadTime, s.faults.WeightStoreRPS)
	s.orders.taken = append(s.orders.taken, TakenOrder{Order: o, Status: status})
	s.mu.Unlock()
	w.WriteHeader(status)
}

// Orders returns the orders that the engine was sent, oldest first.
func (s *Server) Orders() []TakenOrder {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.orders.taken)
}
