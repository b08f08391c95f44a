// Package gateway assembles heatherbarrow-gateway, the process that runs on each host of
// the operators' platform and serves callers. Its services find each other by name.
package gateway

import (
	"cmp"
	"net"
	"reflect"
	"slices"
	"strconv"
	"time"

	"heatherbarrow/internal/duty"
	"heatherbarrow/internal/membudget"
	"heatherbarrow/internal/settings"
)

// Settings are the static settings of heatherbarrow-gateway.
type Settings struct {
	Host             string `json:"host"`
	AvailabilityZone string `json:"availability_zone"`
	LogLevel         string `json:"log_level"`
	Listen           string `json:"listen"`       // requests from callers
	ReadyListen      string `json:"ready_listen"` // readiness check of the balancer
	PeerListen       string `json:"peer_listen"`  // requests from other hosts, and /metrics
	BeatPort         int    `json:"beat_port"`    // UDP port of the heartbeats between hosts; the same on all hosts
	// Seeds are the peer_listen addresses of some hosts. They may be out of date.
	Seeds []string `json:"seeds"`
	Store string   `json:"store"` // IP:port of the platform's store
	// MemoryLimitMB is the memory usage, in MiB, at which the host kills the process.
	MemoryLimitMB int `json:"memory_limit_mb"`
	// BufferShare is the share of the memory limit that buffered answers may occupy together, and the same for the heads
	// and bodies of requests. Zero means 0.2.
	BufferShare float64 `json:"buffer_share,omitempty"`
	// RetryShare and RetrySlack limit the retries that an upstream receives from all
	// hosts within 10 s to RetryShare of its requests plus RetrySlack.
	RetryShare float64 `json:"retry_share"`
	RetrySlack float64 `json:"retry_slack"`
	// GraceSeconds is the time from SIGTERM to SIGKILL.
	GraceSeconds float64 `json:"grace_seconds"`
	// WithdrawWithin is the time within which a removed replica must stop receiving
	// requests.
	WithdrawWithin settings.Duration `json:"withdraw_within"`
	// ConfigWithin is the time within which a change of the configuration must be in force. Zero means 2 s.
	ConfigWithin settings.Duration `json:"config_within,omitzero"`
	// ReplicaHeartbeat is the interval at which replicas renew their registrations. Zero means 1 s.
	ReplicaHeartbeat settings.Duration `json:"replica_heartbeat,omitzero"`
	// BalancerLag is how long the balancer may still send connections to a host that
	// is no longer ready. Zero means 2.5 s.
	BalancerLag settings.Duration `json:"balancer_lag,omitzero"`
	Engines     Engines           `json:"engines,omitzero"`
	// ZoneOverflow lets the cost of replicas in other zones follow the load of the zones. Without it the cost is constant.
	ZoneOverflow *ZoneOverflow `json:"zone_overflow,omitempty"`
	// Duties are the calls to the platform that one host makes for all; nil if there are none.
	Duties *Duties `json:"duties,omitempty"`
}

// Duties describes the calls to the platform that one host at a time makes for all hosts.
type Duties struct {
	Platform string      `json:"platform"` // IP:port of the platform's interface for duties
	Names    []duty.Name `json:"names"`    // duties of this deployment; unknown ones are ignored
	// CallsPerSecond is the number of calls that the platform takes from all hosts together.
	CallsPerSecond float64 `json:"calls_per_second"`
	// Lease is the time for which a holder of the duties may act without a renewal.
	Lease settings.Duration `json:"lease"`
	// Thaw is the time before the end of the lease in which the holder begins no call, as a call may be held up.
	Thaw        settings.Duration `json:"thaw"`
	UsageWindow settings.Duration `json:"usage_window"` // length of the windows for which usage is reported
	UsageLate   settings.Duration `json:"usage_late"`   // time after a window's end within which its report must arrive
}

// has reports whether the deployment has a duty.
func (d *Duties) has(name duty.Name) bool { return d != nil && slices.Contains(d.Names, name) }

// validate checks the settings.
func (d *Duties) validate() error {
	if d == nil {
		return nil
	}
	if err := checkAddress("duties.platform", d.Platform); err != nil {
		return err
	}
	switch {
	case !(d.CallsPerSecond > 0):
		return settings.Errorf("duties.calls_per_second", "value must be positive")
	case d.Lease < minLease:
		return settings.Errorf("duties.lease", "value must be at least %v", minLease.Std())
	case d.Thaw < 0 || d.Thaw > d.Lease/2:
		return settings.Errorf("duties.thaw", "value must be from 0 to half of duties.lease")
	case d.has(duty.Usage) && d.UsageWindow < minUsageWindow:
		return settings.Errorf("duties.usage_window", "value must be at least %v", minUsageWindow.Std())
	case d.has(duty.Usage) && d.UsageLate < minUsageLate:
		return settings.Errorf("duties.usage_late", "value must be at least %v", minUsageLate.Std())
	}
	return nil
}

const (
	// minLease leaves time for renewals: three within a lease, each with an answer of the store.
	minLease = settings.Duration(time.Second)
	// minUsageWindow bounds the calls that reports cost.
	minUsageWindow = settings.Duration(time.Second)
	// minUsageLate leaves time for the counts of all hosts to arrive, which takes about two seconds.
	minUsageLate = settings.Duration(4 * time.Second)
)

// Engines describes the speed of the model engines. Fields that are zero take the
// defaults from the data sheet.
type Engines struct {
	PrefillTokensPerMs float64           `json:"prefill_tokens_per_ms,omitempty"`
	Step               settings.Duration `json:"step,omitzero"`             // time of one decode step, which generates one token for each running request
	StepPerRequest     settings.Duration `json:"step_per_request,omitzero"` // added to a step by each running request
	First              settings.Duration `json:"first,omitzero"`            // from the start of a request on an idle engine to its first token, excluding prefill
	Chunk              int               `json:"chunk_tokens,omitempty"`    // prompt tokens processed between two decode steps
}

// Validate implements settings.Validator.
func (s *Settings) Validate() error {
	for _, f := range []struct{ path, value string }{
		{"host", s.Host}, {"availability_zone", s.AvailabilityZone}, {"log_level", s.LogLevel},
	} {
		if f.value == "" {
			return settings.Errorf(f.path, "value is missing")
		}
	}
	for _, f := range []struct{ path, value string }{
		{"listen", s.Listen}, {"ready_listen", s.ReadyListen}, {"peer_listen", s.PeerListen}, {"store", s.Store},
	} {
		if err := checkAddress(f.path, f.value); err != nil {
			return err
		}
	}
	for i, seed := range s.Seeds {
		if err := checkAddress("seeds["+strconv.Itoa(i)+"]", seed); err != nil {
			return err
		}
	}
	switch {
	case s.BeatPort < 1 || s.BeatPort > 65535:
		return settings.Errorf("beat_port", "%d is not a port", s.BeatPort)
	case s.MemoryLimitMB < 1:
		return settings.Errorf("memory_limit_mb", "value must be at least 1")
	case s.BufferShare < 0 || s.BufferShare > maxBufferShare:
		return settings.Errorf("buffer_share", "value must be from 0 to %v", maxBufferShare)
	case s.RetryShare < 0 || s.RetryShare > 1:
		return settings.Errorf("retry_share", "value must be from 0 to 1")
	case s.RetrySlack < 0:
		return settings.Errorf("retry_slack", "value must not be negative")
	case s.GraceSeconds <= 0:
		return settings.Errorf("grace_seconds", "value must be positive")
	case s.BalancerLag < 0:
		return settings.Errorf("balancer_lag", "value must not be negative")
	case s.ConfigWithin < 0:
		return settings.Errorf("config_within", "value must not be negative")
	case s.ReplicaHeartbeat < 0:
		return settings.Errorf("replica_heartbeat", "value must not be negative")
	case s.WithdrawWithin <= 0:
		return settings.Errorf("withdraw_within", "value must be positive")
	case s.Engines.PrefillTokensPerMs < 0 || s.Engines.Step < 0 || s.Engines.StepPerRequest < 0 || s.Engines.First < 0, s.Engines.Chunk < 0:
		return settings.Errorf("engines", "values must not be negative")
	}
	if err := validateZoneOverflow(s.ZoneOverflow); err != nil {
		return err
	}
	return s.Duties.validate()
}

// Constants of registrationLapse. The store removes a registration after three heartbeats that did not
// come, and may do so up to one later.
const (
	defaultReplicaHeartbeat = time.Second
	lapseHeartbeats         = 4
)

// registrationLapse returns the time in which the store removes the registration of a replica that is
// gone.
func (s *Settings) registrationLapse() time.Duration {
	return lapseHeartbeats * cmp.Or(s.ReplicaHeartbeat.Std(), defaultReplicaHeartbeat)
}

// Constants of bufferBudget. Both budgets and the garbage that the collector leaves beside them must fit into the limit.
const (
	defaultBufferShare = 0.2
	maxBufferShare     = 0.3
	// answerMultiple and requestMultiple are how much of the memory that remains free one replica, or one team, may hold. Teams
	// may be few, and bodies are complete before they are of use.
	answerMultiple  = 1
	requestMultiple = 4
)

// bufferBudget returns a budget of the memory for buffered answers, or for heads and bodies of requests.
func (s *Settings) bufferBudget(multiple int) *membudget.Budget {
	return membudget.New(s.bufferBytes(), multiple)
}

// bufferBytes returns the size of each of these budgets, and of the memory that the kernel may use for answers while the
// host stops: they leave the buffers.
func (s *Settings) bufferBytes() int {
	return int(cmp.Or(s.BufferShare, defaultBufferShare) * float64(s.MemoryLimitMB) * (1 << 20))
}

// defaultConfigWithin is the value of ConfigWithin when it is not set.
const defaultConfigWithin = 2 * time.Second

// configDelay returns the time within which a change of the configuration must be in force.
func (s *Settings) configDelay() time.Duration {
	return cmp.Or(s.ConfigWithin.Std(), defaultConfigWithin)
}

// checkAddress returns an error for the setting at path if value is not IP:port.
func checkAddress(path, value string) error {
	host, port, err := net.SplitHostPort(value)
	if err != nil || net.ParseIP(host) == nil {
		return settings.Errorf(path, "%q is not IP:port", value)
	}
	if n, err := strconv.Atoi(port); err != nil || n < 1 || n > 65535 {
		return settings.Errorf(path, "%q has no valid port", value)
	}
	return nil
}

// sameRestartSettings reports whether all settings that need a restart to take effect
// are equal.
func (s *Settings) sameRestartSettings(other *Settings) bool {
	return s.Host == other.Host && s.AvailabilityZone == other.AvailabilityZone && s.Listen == other.Listen &&
		s.ReadyListen == other.ReadyListen && s.PeerListen == other.PeerListen && s.BeatPort == other.BeatPort &&
		s.Store == other.Store && s.MemoryLimitMB == other.MemoryLimitMB && s.BufferShare == other.BufferShare && s.GraceSeconds == other.GraceSeconds &&
		s.WithdrawWithin == other.WithdrawWithin && s.ConfigWithin == other.ConfigWithin && s.ReplicaHeartbeat == other.ReplicaHeartbeat && s.BalancerLag == other.BalancerLag && s.Engines == other.Engines &&
		sameZoneOverflow(s.ZoneOverflow, other.ZoneOverflow) && reflect.DeepEqual(s.Duties, other.Duties)
}
