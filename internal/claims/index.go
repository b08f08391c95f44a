package claims

import "heatherbarrow/internal/rpc"

// outcomeNames lists the outcomes that an entry can have, with "" for none yet. The
// index stores an outcome as its position here.
var outcomeNames = [...]string{"", "completed", "failed", "unknown"}

// outcomeNotRun is not stored in an entry: it releases the key.
const outcomeNotRun = "not-run"

// outcomeCode returns the position of an outcome in outcomeNames.
func outcomeCode(name string) uint8 {
	for i, n := range outcomeNames {
		if n == name {
			return uint8(i)
		}
	}
	return uint8(len(outcomeNames) - 1) // outcomes added by later versions count as unknown
}

// entry is the latest claim on a key.
type entry struct {
	claim    string
	body     bodyHash
	segment  uint32 // number of the segment that holds the claim
	host     uint16 // position in index.hosts.names
	status   uint16
	outcome  uint8 // position in outcomeNames, 0 until an outcome is recorded
	released bool  // set only in an overlay: the key is free although the base has an entry for it
}

// matches reports whether an outcome that names claim belongs to the entry. An
// outcome from a router names the attempt; the release of a refused claim names that
// claim.
func (e *entry) matches(claim string) bool {
	if isClaimID(claim) {
		return e.claim == claim
	}
	return attemptOf(e.claim) == claim
}

// index holds the retained keys of a shard in memory. An index with a base is an
// overlay: its changes leave the base as it is.
type index struct {
	base    *index
	entries map[key]entry
	revoked map[string]uint32 // released claims and revoked attempts, each with the segment of its record
	hosts   *hostTable
}

// hostTable assigns a number to each host name in a shard, so that entries need not
// hold the name.
type hostTable struct {
	names   []string
	numbers map[string]uint16
}

// number returns the number of a host name and assigns one if the name is new.
func (h *hostTable) number(name string) uint16 {
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
		entries: make(map[key]entry), revoked: make(map[string]uint32),
		hosts: &hostTable{numbers: make(map[string]uint16)},
	}
}

// overlay returns an index on top of x in which a batch can be tried out.
func (x *index) overlay() *index {
	return &index{base: x, entries: make(map[key]entry), revoked: make(map[string]uint32), hosts: x.hosts}
}

// get returns the claim that holds a key, if any.
func (x *index) get(k key) (entry, bool) {
	e, ok := x.entries[k]
	if !ok && x.base != nil {
		return x.base.get(k)
	}
	return e, ok && !e.released
}

// isRevoked reports whether a claim was released or its attempt was recorded as not
// run. After that, decide no longer grants the claim.
func (x *index) isRevoked(claim string) bool {
	_, claimRevoked := x.revoked[claim]
	_, attemptRevoked := x.revoked[attemptOf(claim)]
	return claimRevoked || attemptRevoked || x.base != nil && x.base.isRevoked(claim)
}

// apply adds a record of the log to the index. A claim in the log always holds its
// key: a writer appends a claim only when its index shows the key as free, and if
// that index had been incomplete, the conditional update would have failed.
func (x *index) apply(r *record, segment uint32) {
	if r.Outcome == "" {
		x.entries[r.Key] = entry{claim: r.Claim, body: r.Body, segment: segment, host: x.hosts.number(r.Host)}
		return
	}
	e, ok := x.get(r.Key)
	isMatch := ok && e.matches(r.Claim)
	switch {
	case r.Outcome == outcomeNotRun && isMatch && e.outcome == 0:
		x.revoked[r.Claim] = segment
		x.release(r.Key)
	case r.Outcome == outcomeNotRun && !isMatch:
		x.revoked[r.Claim] = segment
	case isMatch && e.outcome == 0:
		e.outcome, e.status = outcomeCode(r.Outcome), uint16(r.Status)
		x.entries[r.Key] = e
	}
}

// release frees a key.
func (x *index) release(k key) {
	if x.base == nil {
		delete(x.entries, k)
		return
	}
	x.entries[k] = entry{released: true}
}

// outcomeHasEffect reports whether an outcome record would change the index. The
// outcome not-run has an effect also without a claim in the log, because the claim
// may be written later and must not be granted then.
func (x *index) outcomeHasEffect(r *record) bool {
	e, ok := x.get(r.Key)
	if ok && e.matches(r.Claim) {
		return e.outcome == 0
	}
	return r.Outcome == outcomeNotRun && !x.isRevoked(r.Claim)
}

// decide returns the response to a claim, or nil when the key is free and the claim
// may be appended to the log.
func (x *index) decide(r *record) *rpc.ClaimResponse {
	if x.isRevoked(r.Claim) {
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

// removeBelow removes what was read from segments with numbers below minSegment.
func (x *index) removeBelow(minSegment uint32) {
	for k, e := range x.entries {
		if e.segment < minSegment {
			delete(x.entries, k)
		}
	}
	for claim, segment := range x.revoked {
		if segment < minSegment {
			delete(x.revoked, claim)
		}
	}
}
