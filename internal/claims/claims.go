// Package claims grants the right to run a non-repeatable call once.
package claims

import (
	"context"
	"encoding/hex"
	"encoding/json"
	"errors"

	"heatherbarrow/internal/platform"
	"heatherbarrow/internal/rpc"
)

// kindClaim is the kind of the platform's claim objects.
const kindClaim = "claim"

// Claimer obtains claims and records outcomes.
type Claimer interface {
	// Claim returns CLAIM_RESULT_UNAVAILABLE, never an error, when no claim can
	// be obtained.
	Claim(ctx context.Context, request *rpc.ClaimRequest) *rpc.ClaimResponse
	RecordOutcome(ctx context.Context, request *rpc.OutcomeRequest) error
}

// record is the value of a claim object.
type record struct {
	BodyHash []byte `json:"body_hash"`
	Attempt  string `json:"attempt"`
	Host     string `json:"host"`
	Outcome  string `json:"outcome,omitempty"`
	Status   uint32 `json:"status,omitempty"`
}

// Direct keeps one platform object for each claim.
type Direct struct {
	Platform *platform.Client
	Host     string
}

// Claim implements Claimer.
func (d *Direct) Claim(ctx context.Context, request *rpc.ClaimRequest) *rpc.ClaimResponse {
	name := hex.EncodeToString(request.Key)
	own := record{BodyHash: request.BodyHash, Attempt: request.Attempt, Host: d.Host}
	_, err := d.Platform.Create(ctx, kindClaim, name, own)
	if err == nil {
		return &rpc.ClaimResponse{Result: rpc.ClaimResult_CLAIM_RESULT_GRANTED}
	}
	if !errors.Is(err, platform.ErrConflict) && !errors.Is(err, platform.ErrUncertain) {
		return unavailable(err)
	}
	o, err := d.Platform.Get(ctx, kindClaim, name)
	if err != nil {
		return unavailable(err)
	}
	var existing record
	if err := json.Unmarshal(o.Value, &existing); err != nil {
		return unavailable(err)
	}
	return compare(&own, &existing)
}

func unavailable(err error) *rpc.ClaimResponse {
	return &rpc.ClaimResponse{Result: rpc.ClaimResult_CLAIM_RESULT_UNAVAILABLE, Reason: err.Error()}
}

func compare(own, existing *record) *rpc.ClaimResponse {
	response := &rpc.ClaimResponse{FirstAttempt: existing.Attempt, FirstHost: existing.Host, Outcome: existing.Outcome, Status: existing.Status}
	switch {
	case existing.Attempt == own.Attempt:
		response.Result = rpc.ClaimResult_CLAIM_RESULT_GRANTED
	case string(existing.BodyHash) != string(own.BodyHash):
		response.Result = rpc.ClaimResult_CLAIM_RESULT_CONFLICT
	case existing.Outcome == "":
		response.Result = rpc.ClaimResult_CLAIM_RESULT_IN_PROGRESS
	default:
		response.Result = rpc.ClaimResult_CLAIM_RESULT_FINISHED
	}
	return response
}

// RecordOutcome implements Claimer.
func (d *Direct) RecordOutcome(ctx context.Context, request *rpc.OutcomeRequest) error {
	name := hex.EncodeToString(request.Key)
	o, err := d.Platform.Get(ctx, kindClaim, name)
	if err != nil {
		return err
	}
	var existing record
	if err := json.Unmarshal(o.Value, &existing); err != nil {
		return err
	}
	if existing.Attempt != request.Attempt {
		return platform.ErrConflict
	}
	if request.Outcome == "not-run" {
		return d.Platform.Delete(ctx, kindClaim, name, o.Version)
	}
	existing.Outcome = request.Outcome
	existing.Status = request.Status
	_, err = d.Platform.Update(ctx, kindClaim, name, o.Version, existing)
	return err
}
