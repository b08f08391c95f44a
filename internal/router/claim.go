package router

import (
	"context"
	"crypto/sha256"
	"encoding/binary"
	"net/http"
	"time"

	"heatherbarrow/internal/outcome"
	"heatherbarrow/internal/rpc"
)

const (
	// maxKeyLength bounds an idempotency key.
	maxKeyLength = 256
	// claimMargin is how much longer than the claim itself the call to control may take.
	claimMargin = 500 * time.Millisecond
	// freshAnswerTimeout bounds the search for the answer of a call that the log has in
	// progress. It is short, because most such calls have no answer yet.
	freshAnswerTimeout = 300 * time.Millisecond
	// headerFirstRequestID names the request that first used an idempotency key.
	headerFirstRequestID = "Heatherbarrow-First-Request-Id"
)

// claim obtains the right to run the call once. It answers and returns false
// when there is none.
func (c *serviceCall) claim(ctx context.Context) bool {
	key := c.r.Header.Get(outcome.HeaderKey)
	if key == "" || len(key) > maxKeyLength {
		c.refuse(http.StatusBadRequest, "missing_idempotency_key", "this route needs an Idempotency-Key of 1 to 256 bytes", 0)
		return false
	}
	c.claimKey = digest(c.team.Name, c.route.Upstream, c.route.Method, c.path, key)
	response, err := c.requestClaim(ctx)
	if err != nil {
		// Control may hold a claim whose answer was lost. It is given back, because
		// the call is not run under it.
		c.claimed = true
		c.record(outcome.NotRun, 0)
		if cause := ended(ctx); cause != nil {
			c.answerError(cause, retrySoon)
			return false
		}
		c.refuse(http.StatusServiceUnavailable, "claim_unavailable", "no claim could be obtained, the call was not run", retrySoon)
		return false
	}
	switch response.Result {
	case rpc.ClaimResult_CLAIM_RESULT_GRANTED:
		c.claimed = true
		return true
	case rpc.ClaimResult_CLAIM_RESULT_CONFLICT:
		c.refuse(http.StatusConflict, "key_conflict", "the Idempotency-Key was used with a different request", 0)
	case rpc.ClaimResult_CLAIM_RESULT_IN_PROGRESS:
		c.w.Header().Set(headerFirstRequestID, response.FirstAttempt)
		// The log may lag behind the host that has the whole answer already.
		if stored := c.storedAnswer(ctx, response.FirstAttempt, freshAnswerTimeout); stored != nil {
			c.passStored(stored)
			return false
		}
		c.fail(http.StatusConflict, outcome.Unknown, "in_progress", "request "+response.FirstAttempt+" holds this Idempotency-Key and its outcome is not known")
	case rpc.ClaimResult_CLAIM_RESULT_FINISHED:
		c.repeatAnswer(ctx, response)
	default:
		c.refuse(http.StatusServiceUnavailable, "claim_unavailable", "no claim could be obtained: "+response.Reason, retrySoon)
	}
	return false
}

func (c *serviceCall) requestClaim(ctx context.Context) (*rpc.ClaimResponse, error) {
	wait := c.snapshot.Bundle.Limits.ClaimWait.Std()
	ctx, cancel := context.WithTimeout(ctx, wait+claimMargin)
	defer cancel()
	return c.server.Feed.Claim(ctx, &rpc.ClaimRequest{
		Key:      c.claimKey,
		BodyHash: digest(c.r.Method, c.r.URL.RequestURI(), string(c.body)),
		Attempt:  c.id,
		WaitMs:   uint32(wait.Milliseconds()),
	})
}

// repeatAnswer answers a repeated key with the first outcome, and with the
// first answer where the host that ran the call still has it.
func (c *serviceCall) repeatAnswer(ctx context.Context, first *rpc.ClaimResponse) {
	o := outcome.Outcome(first.Outcome)
	c.w.Header().Set(headerFirstRequestID, first.FirstAttempt)
	stored := c.storedAnswer(ctx, first.FirstAttempt, lookupTimeout)
	if stored == nil {
		status := http.StatusOK
		if o != outcome.Completed {
			status = http.StatusBadGateway
		}
		c.fail(status, o, "answer_not_kept", "request "+first.FirstAttempt+" used this key; its answer is not kept")
		return
	}
	c.passStored(stored)
}

// storedAnswer asks the hosts for the answer of an earlier request. It returns nil
// when none that can be reached keeps it whole.
func (c *serviceCall) storedAnswer(ctx context.Context, id string, timeout time.Duration) *rpc.StoredAnswer {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	stored, err := c.server.Feed.Lookup(ctx, &rpc.LookupRequest{RequestId: id, Team: c.team.Name})
	if err != nil || !stored.Found || stored.Status == 0 {
		return nil
	}
	return stored
}

// passStored answers with a kept answer. It is whole, so a first outcome of
// unknown, which means that the first caller did not receive it or that the log does
// not have it yet, is settled by passing it on now.
func (c *serviceCall) passStored(stored *rpc.StoredAnswer) {
	status := int(stored.Status)
	o := answeredOutcome(status)
	c.w.Header().Set(outcome.HeaderOutcome, string(o))
	if err := c.writeWhole(status, stored.ContentType, stored.Body); err != nil {
		c.abandon(outcome.Unknown)
	}
	c.finish(o, status, "repeated_key")
}

// digest hashes the parts so that no two lists of parts have the same input.
func digest(parts ...string) []byte {
	h := sha256.New()
	for _, part := range parts {
		var length [8]byte
		binary.LittleEndian.PutUint64(length[:], uint64(len(part)))
		_, _ = h.Write(length[:])
		_, _ = h.Write([]byte(part))
	}
	return h.Sum(nil)
}

// record hands the outcome of a claimed call to control, behind the answer.
func (c *serviceCall) record(o outcome.Outcome, status int) {
	if !c.claimed {
		return
	}
	c.server.recorder.add(&rpc.OutcomeRequest{
		Key: c.claimKey, Attempt: c.id, Outcome: string(o), Status: uint32(status),
	})
}
