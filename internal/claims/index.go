package claims

import "heatherbarrow/internal/rpc"

// Outcomes are kept in the index as their position in this list.
var outcomeNames = [...]string{"", "completed", "failed", "unknown"}

const outcomeNotRun = "not-run"

func outcomeCode(name string) uint8 {
	for i, n := range outcomeNames {
		if n == name {
			return uint8(i)
		}
	}
	return uint8(len(outcomeNames) - 1) // a word of a later version counts as unknown
}

// entry is the latest claim of a key.
type entry struct {
	claim    string
	body     bodyHash
	segment  uint32
	host     uint16 // position in index.hosts
	status   uint16
	outcome  uint8 // position in outcomeNames, 0 while none is known
	released bool  // in an overlay: the key is free although the base holds it
}

// holds tells whether an outcome that names claim is about the entry. An outcome
// from a router names the attempt; a release after a refusal names one claim.
func (e *entry) holds(claim string) bool {
	if isClaimID(claim) {
		return e.claim == claim
	}
	return attemptOf(e.claim) == claim
}

// index holds the retained keys of a shard. An index with a base is an overlay
// that leaves the base unchanged.
type index struct {
	base    *index
	entries map[key]entry
	voids   map[string]uint32 // claims released and attempts given back, to the segment of the record
	hosts   *hostNames
}

// hostNames numbers the host names that occur in a shard.
type hostNames struct {
	names   []string
	numbers map[string]uint16
}

func (h *hostNames) number(name string) uint16 {
	if n, ok := h.numbers[name]; ok {
		return n
	}
	n := uint16(len(h.names))
	h.names = append(h.names, name)
	h.numbers[name] = n
	return n
}

func newIndex() *index {
	return &index{
		entries: make(map[key]entry), voids: make(map[string]uint32),
		hosts: &hostNames{numbers: make(map[string]uint16)},
	}
}

func (x *index) overlay() *index {
	return &index{base: x, entries: make(map[key]entry), voids: make(map[string]uint32), hosts: x.hosts}
}

func (x *index) get(k key) (entry, bool) {
	e, ok := x.entries[k]
	if !ok && x.base != nil {
		return x.base.get(k)
	}
	return e, ok && !e.released
}

// void tells whether a claim was released or its attempt given back. Neither is
// ever appended after that.
func (x *index) void(claim string) bool {
	_, claimed := x.voids[claim]
	_, given := x.voids[attemptOf(claim)]
	return claimed || given || x.base != nil && x.base.void(claim)
}

// apply adds a record of the log. A claim in the log always holds its key: a
// writer appends none for a key that it knows to be held, and what it knew was
// complete or its conditional update would have failed.
func (x *index) apply(r *record, segment uint32) {
	if r.Outcome == "" {
		x.entries[r.Key] = entry{claim: r.Claim, body: r.Body, segment: segment, host: x.hosts.number(r.Host)}
		return
	}
	e, ok := x.get(r.Key)
	held := ok && e.holds(r.Claim)
	switch {
	case r.Outcome == outcomeNotRun && held && e.outcome == 0:
		x.voids[r.Claim] = segment
		x.release(r.Key)
	case r.Outcome == outcomeNotRun && !held:
		x.voids[r.Claim] = segment
	case held && e.outcome == 0:
		e.outcome, e.status = outcomeCode(r.Outcome), uint16(r.Status)
		x.entries[r.Key] = e
	}
}

func (x *index) release(k key) {
	if x.base == nil {
		delete(x.entries, k)
		return
	}
	x.entries[k] = entry{released: true}
}

// outcomeMatters tells whether an outcome record would change the index. A claim
// that is not in the log may still be on its way there, so giving it back matters.
func (x *index) outcomeMatters(r *record) bool {
	e, ok := x.get(r.Key)
	if ok && e.holds(r.Claim) {
		return e.outcome == 0
	}
	return r.Outcome == outcomeNotRun && !x.void(r.Claim)
}

// decide answers a claim from the index. It returns nil when the key is free and
// the claim may be appended.
func (x *index) decide(r *record) *rpc.ClaimResponse {
	if x.void(r.Claim) {
		return unavailable(errUnavailable)
	}
	e, ok := x.get(r.Key)
	if !ok {
		return nil
	}
	response := &rpc.ClaimResponse{
		FirstAttempt: attemptOf(e.claim), FirstHost: x.hosts.names[e.host],
		Outcome: outcomeNames[e.outcome], Status: uint32(e.status),
	}
	switch {
	case e.claim == r.Claim:
		response.Result = rpc.ClaimResult_CLAIM_RESULT_GRANTED
	case e.body != r.Body:
		response.Result = rpc.ClaimResult_CLAIM_RESULT_CONFLICT
	case e.outcome == 0:
		response.Result = rpc.ClaimResult_CLAIM_RESULT_IN_PROGRESS
	default:
		response.Result = rpc.ClaimResult_CLAIM_RESULT_FINISHED
	}
	return response
}

// sweep removes what segments below first hold.
func (x *index) sweep(first uint32) {
	for k, e := range x.entries {
		if e.segment < first {
			delete(x.entries, k)
		}
	}
	for claim, segment := range x.voids {
		if segment < first {
			delete(x.voids, claim)
		}
	}
}
