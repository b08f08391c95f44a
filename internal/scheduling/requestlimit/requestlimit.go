// Package requestlimit tracks the request limits that replicas state in their answers: the
// requests per second that a replica takes from all hosts together. It performs no I/O and
// takes the time as an argument.
package requestlimit

import "time"

// Statement is what a replica's answer says of its request limit.
type Statement struct {
	Limited   bool    // false if the replica states no limit
	PerSecond float64 // valid if Limited
}

// Limit is a host's state of the request limit of one replica. The zero value is a replica that
// has not stated a limit.
type Limit struct {
	statement Statement
	at        time.Time // when the statement was made
}

// Current returns the statement in force.
func (l *Limit) Current() Statement { return l.statement }

// Observe applies a statement and reports whether it changed the one in force. A statement that
// is older than the one in force is ignored.
func (l *Limit) Observe(s Statement, at time.Time) (changed bool) {
	if at.Before(l.at) || !s.Limited && !l.statement.Limited {
		return false
	}
	changed = s != l.statement
	l.statement, l.at = s, at
	return changed
}
