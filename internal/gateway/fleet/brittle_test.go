package fleet

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"heatherbarrow/internal/gateway/routing"
	"heatherbarrow/internal/scheduling/requestlimit"
)

// Guards against replicas that say how few rejections they bear and fall over all the same, because the hosts
// of a deployment fill their queues, or each host causes as many rejections as all may. Hosts hear of each
// other's requests late, and twice as many come as the replicas serve.
func TestBrittleReplicasAreNotOverrun(t *testing.T) {
	const (
		replicas  = 6
		slots     = 6
		serviceMs = 60
		perSecond = 2 * replicas * slots * 1000 / serviceMs
	)
	for _, hosts := range []int{1, 4, 30} {
		for _, bears := range []float64{2, 10} {
			random := rand.New(rand.NewPCG(uint64(hosts), uint64(bears)))
			now := time.Unix(0, 0)
			fleets := make([]*Fleet, hosts)
			names := make([]string, hosts)
			for i := range names {
				names[i] = fmt.Sprint("h", i)
			}
			for i := range fleets {
				fleets[i] = New(Options{Zone: "a", Seed: uint64(i)})
				fleets[i].SetUpstreams([]routing.Upstream{{Name: "app"}})
				fleets[i].SetHosts(requestlimit.Hosts{Host: names[i], Zone: "a", Neighbors: slices.Delete(slices.Clone(names), i, i+1), Reachable: 1})
				for j := range replicas {
					fleets[i].Update([]Member{{ID: string(rune('a' + j)), Upstream: "app", Zone: "a", Slots: slots}}, nil)
				}
			}
			type running struct {
				lease *Lease
				ends  time.Time
			}
			var inService []running
			busy := map[string]int{}
			rejected := map[string][]time.Time{}
			falls, served := 0, 0
			for ms := range 12_000 {
				now = now.Add(time.Millisecond)
				kept := inService[:0]
				for _, r := range inService {
					if now.Before(r.ends) {
						kept = append(kept, r)
						continue
					}
					busy[r.lease.Member.ID]--
					r.lease.RecordBrittle(true, bears)
					r.lease.End(Served, now)
					served++
				}
				inService = kept
				if ms%150 == 0 {
					for i, from := range fleets {
						uses, _, _ := from.Digest(now)
						for j, to := range fleets {
							if i != j {
								to.ApplyDigest(string(rune('A'+i)), uses, nil, nil, now)
							}
						}
					}
				}
				for range perSecond / 1000 {
					f := fleets[random.IntN(hosts)]
					lease, refusal := f.Pick(&Request{Upstream: "app", Target: 300 * time.Millisecond, TimeLeft: time.Second, Urgent: true}, now)
					if refusal != nil {
						continue
					}
					id := lease.Member.ID
					if busy[id] < slots {
						busy[id]++
						inService = append(inService, running{lease, now.Add(time.Duration(serviceMs/2+random.IntN(serviceMs)) * time.Millisecond)})
						continue
					}
					lease.RecordBrittle(true, bears)
					lease.End(Rejected, now)
					if ms < 3000 {
						continue // the hosts have just been told
					}
					recent := rejected[id][:0]
					for _, at := range rejected[id] {
						if now.Sub(at) < time.Second {
							recent = append(recent, at)
						}
					}
					rejected[id] = append(recent, now)
					if float64(len(rejected[id])) > bears {
						falls++
						rejected[id] = nil
					}
				}
			}
			t.Logf("%d hosts, %g rejections: %d falls, %d served", hosts, bears, falls, served)
			assert.LessOrEqual(t, falls, 2+replicas/10, "%d hosts, %g rejections", hosts, bears)
			assert.Greater(t, served, 12*replicas*slots*1000/serviceMs/3, "the replicas are still used")
		}
	}
}
