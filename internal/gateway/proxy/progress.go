package proxy

import "heatherbarrow/internal/gateway/origin"

// progress is the state of a request between two attempts.
type progress struct {
	sentAttempts    int               // attempts in which the request was sent to a replica
	triedReplicas   int               // one for each attempt, including replicas that were unreachable
	paidAttempts    int               // of sentAttempts, those up to which the retry budget was asked
	possibleRuns    int               // attempts in which a replica may have run the request
	unreachable     bool              // replicas could not be connected to, or one did not answer at all when a connection was opened
	noHelper        bool              // no other host runs the request
	originElsewhere bool              // only other hosts may find the origin of the stream
	delegated       bool              // another host has run the request
	counted         bool              // the request counts for the retry budget
	headerSent      bool              // the response header has been sent to the caller
	lastEventID     string            // of the last event with an ID that the caller has
	unidentified    bool              // the caller has events without an ID after that one
	origin          *origin.Origin    // of the stream; nil until its first event
	assumed         *assumption       // what origin rests on if it is assumed; nil otherwise
	events          int               // events forwarded
	exclude         []string          // IDs of the replicas tried
	ran             []string          // IDs of the replicas that may have run the request
	unconnected     int               // replicas that no connection could be opened to
	helpers         []string          // hosts that the request was offered to
	ranAt           []string          // of these, hosts that may run it on another replica
	stopping        []string          // of these, hosts that stop and take it only as a last resort
	replicaFailure  *bufferedResponse // a replica's 5xx or 421 response, forwarded if no attempt succeeds
	refusalUnproven bool              // a replica refused the request without saying that it has not run
	emptyBefore     bool              // an unframed continuation had no events, see emptyMayBePart
	doubted         *doubtedEnd       // of the answer, which may have been cut; nil if none
	next            *handover         // attempt that has begun while the one before it still ran; nil if none
	gaveUp          bool              // this host has ended the latest run of the request, which might have gone on
	givenUp         []string          // IDs of the replicas of such runs, as far as they have not been tried again
}

// noteEvent records an event that is forwarded to the caller.
func (p *progress) noteEvent(id string) {
	p.events++
	p.gaveUp, p.emptyBefore = false, false
	p.unidentified = id == ""
	if id != "" {
		p.lastEventID = id
	}
}

// mayContinue reports whether another replica may go on with the stream whose beginning the caller has. Without the ID
// of its last event or its version, none can go on where the stream broke off.
func (p *progress) mayContinue() bool {
	return p.lastEventID != "" && !p.unidentified && (p.origin == nil || p.origin.Version != origin.UnknownVersion)
}

// dropNext ends the attempt that has begun, as nobody goes on with it.
func (p *progress) dropNext() {
	if p.next != nil {
		p.next.drop()
		p.next = nil
	}
}
