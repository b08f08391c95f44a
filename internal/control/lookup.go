package control

import (
	"context"
	"time"

	"golang.org/x/sync/errgroup"

	"heatherbarrow/internal/kernel"
	"heatherbarrow/internal/membership"
	"heatherbarrow/internal/rpc"
)

const (
	lookupTimeout  = time.Second
	lookupParallel = 8
)

// Lookup finds the outcome of a request on whichever host ran it.
type Lookup struct {
	loop    *Loop
	peers   *PeerProvider
	answers rpc.Answers
}

// Name implements kernel.Service.
func (l *Lookup) Name() string { return ServiceLookup }

// Dependencies implements kernel.Dependent.
func (l *Lookup) Dependencies() []string {
	return []string{ServiceLoop, ServicePeerProvider, ServiceAnswers}
}

// Provision implements kernel.Provisioner.
func (l *Lookup) Provision(r *kernel.Registry) (err error) {
	if l.loop, err = kernel.Lookup[*Loop](r, ServiceLoop); err != nil {
		return err
	}
	if l.peers, err = kernel.Lookup[*PeerProvider](r, ServicePeerProvider); err != nil {
		return err
	}
	answers, err := kernel.Lookup[*AnswersService](r, ServiceAnswers)
	if err != nil {
		return err
	}
	l.answers = answers.Answers
	return nil
}

// Find asks the own router, then the live hosts that this host knows.
func (l *Lookup) Find(ctx context.Context, request *rpc.LookupRequest) (*rpc.StoredAnswer, error) {
	own, err := l.answers.Lookup(ctx, request)
	if err == nil && own.Found || request.Forwarded {
		return own, err
	}
	ctx, cancel := context.WithTimeout(ctx, lookupTimeout)
	defer cancel()
	found := make(chan *rpc.StoredAnswer, 1)
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(lookupParallel)
	forwarded := &rpc.LookupRequest{RequestId: request.RequestId, Team: request.Team, Forwarded: true}
	for _, peer := range l.contacts() {
		group.Go(func() error {
			answer, err := l.peers.Client(peer.Address).Lookup(ctx, forwarded)
			if err != nil || !answer.Found {
				return nil
			}
			select {
			case found <- answer:
			default:
			}
			return errFound
		})
	}
	_ = group.Wait()
	select {
	case answer := <-found:
		return answer, nil
	default:
		return &rpc.StoredAnswer{}, nil
	}
}

// errFound ends the other calls of a lookup.
var errFound = &SourceError{Source: "lookup", Reason: "found"}

func (l *Lookup) contacts() []membership.Peer {
	s := l.loop.State()
	var out []membership.Peer
	for _, h := range s.View.Hosts {
		live := h.State == rpc.State_STATE_LIVE || h.State == rpc.State_STATE_LEAVING
		if live && h.PeerAddress != "" && h.Host != l.loop.opts.Member.Host {
			out = append(out, membership.Peer{Host: h.Host, Zone: h.AvailabilityZone, Address: h.PeerAddress})
		}
	}
	return out
}
