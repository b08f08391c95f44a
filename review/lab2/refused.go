package main

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"time"
)

var errNotReady = errors.New("the gateways are not ready")

func init() { cases["refused"] = playRefused }

// playRefused lets one of three replicas of an order service fail a part of the orders that it has begun to run, with status 503 and
// without Heatherbarrow-Not-Executed. A client that is answered 503 places its order once more, as a new attempt at another gateway.
func playRefused(l *lab) (broken bool, err error) {
	const (
		orders    = 60
		failing   = 0.45 // share of the orders at the failing replica
		deadline  = 3 * time.Second
		workTime  = 20 * time.Millisecond
		orderPath = "/order/place"
	)
	l.startStore()
	var replicas []*replica
	for i := range 3 {
		random := rand.New(rand.NewPCG(uint64(i), 1))
		fails := l.trouble && i == 0
		r := l.startReplica(fmt.Sprintf("i-%d", i), func(conn net.Conn, r *http.Request, id string, body []byte) bool {
			time.Sleep(workTime)
			l.note("order %s is recorded", body)
			text := plain(http.StatusOK, id, "recorded "+string(body)+"\n")
			if fails && random.Float64() < failing {
				text = plain(http.StatusServiceUnavailable, id, "printer is away\n")
			}
			_, err := fmt.Fprint(conn, text)
			return err == nil
		})
		l.register(r.id, pool, zoneName(i), r.address(), "ready", nil)
		replicas = append(replicas, r)
	}
	l.configure([]map[string]any{route("order", "non_idempotent", 1, map[string]any{"timeoutMs": 1500, "goalMs": 300, "priority": 2})})
	for i := range 3 {
		l.startGate(zoneName(i), nil)
	}
	if !l.awaitReady() {
		return false, errNotReady
	}
	served, refused, twice := 0, 0, 0
	for i := range orders {
		order := fmt.Sprintf("order-%d", i)
		runs := 0
		for try := range 2 {
			id := newID()
			a := send(l.gates[(i+try)%len(l.gates)].caller(), http.MethodPost, orderPath, id, deadline, []byte(order), "")
			ran := 0
			for _, r := range replicas {
				ran += r.ran(id)
			}
			runs += ran
			l.note("client: %s, attempt %s: %s; it ran %d times", order, id, a, ran)
			if a.status == http.StatusServiceUnavailable && ran > 0 {
				refused++
				l.note("REFUSED: attempt %s is answered 503 and has run", id)
			}
			if a.status == http.StatusOK {
				served++
			}
			if a.status != http.StatusServiceUnavailable {
				break // only a promise lets the client place the order again
			}
		}
		if runs > 1 {
			twice++
		}
	}
	l.note("%d orders, %d answered with success, %d attempts refused that had run, %d orders recorded more than once", orders, served, refused, twice)
	fmt.Printf("%d orders, %d answered with success, %d attempts answered 503 that had run, %d orders recorded more than once\n", orders, served, refused, twice)
	if !l.trouble && served < orders {
		return false, fmt.Errorf("only %d of %d orders were served without a disruption", served, orders)
	}
	return refused > 0, nil
}

func zoneName(i int) string { return []string{"sapporo", "asahikawa", "hakodate"}[i%3] }
