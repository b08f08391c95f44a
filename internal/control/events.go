package control

import (
	"time"

	"heatherbarrow/internal/membership"
	"heatherbarrow/internal/objectstore"
	"heatherbarrow/internal/rpc"
	"heatherbarrow/internal/scheduling/poisonpart"
)

// Events that providers publish. Those with results are published by pointer;
// the results may be read once Publish has returned.

// BundleReceived is a bundle learned from some source, with content.
type BundleReceived struct {
	Record  *rpc.BundleRecord
	Source  string
	checked *accepted // set when it was checked before it was published
}

// HostsReceived is a new list from the platform.
type HostsReceived struct{ List objectstore.HostList }

// SourceAnswered tells that a source that could have a bundle has answered.
type SourceAnswered struct {
	Source     string
	Generation uint64 // highest generation that the source has; 0 for none
}

// SourceFailed tells that a source could not give a bundle.
type SourceFailed struct{ Err *SourceError }

// PlatformProbed tells whether the platform answers this host.
type PlatformProbed struct{ Failed bool }

// Tick drives everything that depends on time alone.
type Tick struct{}

// HeartbeatDue asks for the next heartbeat.
type HeartbeatDue struct{}

// MessageDue asks for a message to open an exchange.
type MessageDue struct {
	Remote  bool // for a host of another zone
	Names   bool // with the names of the platform's list
	Message *rpc.ExchangeMessage
}

// MessageReceived is a message of a peer. With Answer set, the message opened an
// exchange and Reply is the answer to it.
type MessageReceived struct {
	Message  *rpc.ExchangeMessage
	Answer   bool
	Reply    *rpc.ExchangeMessage
	WantList bool
}

// Observed holds what the load observer learned.
type Observed struct{ Observations []membership.Observation }

// CrashReported is a crash of a replica that the router saw, or the completion of
// a suspect.
type CrashReported struct {
	Request *rpc.CrashRequest
	Entries []*rpc.QuarantineEntry // result
	Parts   []*rpc.SuspectPart     // result
}

// ReleaseRequested is an operator's release of a fingerprint or a part of prompts.
type ReleaseRequested struct {
	Fingerprint uint64
	Found       bool // result
}

// QuarantineLoaded holds entries of the platform's object.
type QuarantineLoaded struct {
	Entries []*rpc.QuarantineEntry
	Parts   []poisonpart.Entry
}

// LeaveRequested marks this host as leaving.
type LeaveRequested struct{}

// UsageReported is the router's report.
type UsageReported struct{ Report *rpc.ReportRequest }

// SharesDue asks for the teams that need more than their floors, by the host
// that coordinates them.
type SharesDue struct {
	ByCoordinator map[string][]*rpc.TeamDemand // result
	Addresses     map[string]string            // result, without the own host
}

// SharesRequested asks this host as coordinator.
type SharesRequested struct {
	Request *rpc.ShareRequest
	Shares  []*rpc.TeamShare // result
	Err     error            // result
}

// SharesGranted holds shares for this host.
type SharesGranted struct {
	Shares  []*rpc.TeamShare
	AskedAt time.Time // the shares' times count from here
}

// QuarantineDue asks for all quarantine entries and the refused parts.
type QuarantineDue struct {
	Entries []*rpc.QuarantineEntry // result
	Parts   []poisonpart.Entry     // result
}

// DemandDue asks for the demand of the own zone.
type DemandDue struct {
	Demand membership.ZoneDemand // result
}

// StatusDue asks for everything that an operator may see.
type StatusDue struct {
	Classes    []*rpc.ClassStatus // result
	Self       *rpc.HostState
	Hosts      []*rpc.HostState
	Replicas   []*rpc.ReplicaState
	Quarantine []*rpc.QuarantineEntry
	Parts      []*rpc.SuspectPart // that requests are refused for
	Zones      []*rpc.ZoneStatus
}
