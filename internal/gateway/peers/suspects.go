package peers

import (
	"net"
	"time"

	"google.golang.org/protobuf/proto"

	"heatherbarrow/internal/rpc"
)

// Hosts report what they know of prompt parts and requests that crash replicas, from their own requests and from
// other hosts, in datagrams of their own beside the heartbeats and digests. Each host merges the
// reports into its own, so that they reach all hosts without being relayed.

// refusedPartsInterval is the interval at which parts and requests that are refused are reported
// although nothing changed, for hosts that started or were cut off since.
const refusedPartsInterval = time.Second

// sendSuspectParts reports suspect parts and requests to the recipients. lastRefused is when they were last
// told of all that are refused.
func (e *Exchange) sendSuspectParts(recipients []*net.UDPAddr, lastRefused *time.Time, now time.Time) {
	if len(recipients) == 0 {
		return
	}
	refusedToo := now.Sub(*lastRefused) >= refusedPartsInterval
	if refusedToo {
		*lastRefused = now
	}
	message := e.suspectReport(refusedToo, now)
	if message == nil {
		return
	}
	data, err := proto.Marshal(message)
	if err != nil {
		e.opts.Logger.Error().Err(err).Msg("cannot encode suspect parts")
		return
	}
	for _, to := range recipients {
		// No retry: the same is sent again with the next heartbeats.
		if _, err := e.socket.WriteToUDP(data, to); err != nil {
			e.opts.Logger.Debug().Err(err).Stringer("to", to).Msg("cannot send suspect parts")
		}
	}
}

// suspectReport returns the report of suspect parts and requests, with refusedToo also of all that are refused, or nil
// if there is nothing to report.
func (e *Exchange) suspectReport(refusedToo bool, now time.Time) *rpc.Beat {
	parts, requests := e.opts.Fleet.PartReports(refusedToo, now), e.opts.Fleet.RequestReports(refusedToo, now)
	if len(parts)+len(requests) == 0 {
		return nil
	}
	// Sequence 0 makes hosts that do not know this kind of datagram ignore it as an old heartbeat.
	message := &rpc.Beat{
		Host: e.opts.Host, Incarnation: e.incarnation, PullAddress: e.opts.Listen, SentMs: sentMs(),
		SuspectParts: rpc.SuspectParts(e.trueAges(parts, now), now), SuspectRequests: rpc.SuspectParts(e.trueAges(requests, now), now),
	}
	for proto.Size(message) > maxDatagramBytes {
		if len(message.SuspectRequests) > len(message.SuspectParts) {
			message.SuspectRequests = message.SuspectRequests[:len(message.SuspectRequests)-1]
			continue
		}
		message.SuspectParts = message.SuspectParts[:len(message.SuspectParts)-1]
	}
	return message
}
