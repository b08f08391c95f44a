package peers

import (
	"time"

	"heatherbarrow/internal/gateway/fleet"
	"heatherbarrow/internal/rpc"
	"heatherbarrow/internal/scheduling/requestlimit"
)

// classCountsToProto encodes class counts for other hosts.
func classCountsToProto(counts []fleet.ClassCount) []*rpc.ClassCount {
	var out []*rpc.ClassCount
	for _, c := range counts {
		out = append(out, &rpc.ClassCount{Upstream: c.Upstream, Priority: uint32(c.Priority), Sent: c.Sent, Refused: c.Refused})
	}
	return out
}

// speeds encodes the engine speeds that this host has measured.
func (e *Exchange) speeds() []*rpc.EngineSpeed {
	var out []*rpc.EngineSpeed
	for _, s := range e.opts.Fleet.Speeds() {
		out = append(out, &rpc.EngineSpeed{Upstream: s.Upstream, Prompts: lineToProto(s.Prompts), Steps: lineToProto(s.Steps)})
	}
	return out
}

// lineToProto encodes the sums of a least-squares fit.
func lineToProto(l fleet.Line) *rpc.Line {
	return &rpc.Line{Weight: l.Weight, X: l.X, Y: l.Y, Xx: l.XX, Xy: l.XY}
}

// lineFromProto decodes the sums of a least-squares fit.
func lineFromProto(l *rpc.Line) fleet.Line {
	return fleet.Line{Weight: l.GetWeight(), X: l.GetX(), Y: l.GetY(), XX: l.GetXx(), XY: l.GetXy()}
}

// useToProto encodes the summary of the in-flight requests of the replica with the given key.
func useToProto(key uint64, u fleet.Use) *rpc.ReplicaUse {
	return &rpc.ReplicaUse{
		Replica: key, PrefillMs: uint32(u.Prefill.Milliseconds()), Running: uint32(u.Running), Tokens: uint32(u.Tokens),
		LongAnswers: uint32(u.LongAnswers), PrefillPermille: uint32(u.PrefillLoad * permille),
	}
}

// usesFromProto decodes the summaries of in-flight requests, by replica key, and the prompt parts
// that were sent to replicas. tokens[i] is the number of tokens of promptParts[i].
func usesFromProto(replicaUses []*rpc.ReplicaUse, promptUses []*rpc.PromptUse) (uses map[uint64]fleet.Use, promptParts []fleet.PromptUse, tokens []int) {
	uses = make(map[uint64]fleet.Use, len(replicaUses))
	for _, u := range replicaUses {
		uses[u.Replica] = fleet.Use{
			Prefill: time.Duration(u.PrefillMs) * time.Millisecond, Running: int(u.Running), Tokens: int(u.Tokens),
			LongAnswers: int(u.LongAnswers), PrefillLoad: float64(u.PrefillPermille) / permille,
		}
	}
	promptParts = make([]fleet.PromptUse, len(promptUses))
	tokens = make([]int, len(promptUses))
	for i, p := range promptUses {
		promptParts[i] = fleet.PromptUse{Replica: p.Replica, Part: p.Part}
		tokens[i] = int(p.Tokens)
	}
	return uses, promptParts, tokens
}

// limitsToProto encodes the request limits of replicas.
func limitsToProto(reports []fleet.LimitReport) []*rpc.ReplicaLimit {
	var out []*rpc.ReplicaLimit
	for _, r := range reports {
		out = append(out, &rpc.ReplicaLimit{
			Replica: r.Replica, Limited: r.Limited, PerSecond: r.PerSecond, AgeMs: uint32(r.Age.Milliseconds()), Sent: r.Sent,
		})
	}
	return out
}

// limitsFromProto decodes the request limits that another host reports. It drops those that no
// replica can state.
func limitsFromProto(messages []*rpc.ReplicaLimit) []fleet.LimitReport {
	var reports []fleet.LimitReport
	for _, m := range messages {
		if !(m.PerSecond >= 0) {
			continue
		}
		reports = append(reports, fleet.LimitReport{Replica: m.Replica, Report: requestlimit.Report{
			Statement: requestlimit.Statement{Limited: m.Limited, PerSecond: m.PerSecond},
			Age:       time.Duration(m.AgeMs) * time.Millisecond, Sent: m.Sent,
		}})
	}
	return reports
}

// crashesFromProto decodes the crashes that a datagram of another host reports, which is read after a delay.
func (e *Exchange) crashesFromProto(m *rpc.Beat, messages []*rpc.Crash, delay time.Duration, now time.Time) []fleet.Crash {
	crashes := make([]fleet.Crash, len(messages))
	for i, c := range messages {
		age := time.Duration(c.AgeMs) * time.Millisecond
		crash := fleet.Crash{Fingerprint: c.Fingerprint, Upstream: c.Upstream, Replica: c.Replica, Age: age, Delay: delay}
		if age > 0 && m.SentMs > 0 {
			monotonic := e.suspensions.MonotonicAge(age+delay, now)
			crash.Age = min(age, monotonic)
			crash.Delay = monotonic - crash.Age
		}
		crashes[i] = crash
	}
	return crashes
}

// classCountsFromProto decodes the class counts of another host.
func classCountsFromProto(messages []*rpc.ClassCount) []fleet.ClassCount {
	counts := make([]fleet.ClassCount, len(messages))
	for i, c := range messages {
		counts[i] = fleet.ClassCount{Upstream: c.Upstream, Priority: int(c.Priority), Sent: c.Sent, Refused: c.Refused}
	}
	return counts
}

// speedsFromProto decodes the engine speeds that another host has measured.
func speedsFromProto(messages []*rpc.EngineSpeed) []fleet.Speed {
	speeds := make([]fleet.Speed, len(messages))
	for i, s := range messages {
		speeds[i] = fleet.Speed{Upstream: s.Upstream, Prompts: lineFromProto(s.Prompts), Steps: lineFromProto(s.Steps)}
	}
	return speeds
}
