package control

import (
	"heatherbarrow/internal/rollout"
	"heatherbarrow/internal/rpc"
)

// Names under which the services of heatherbarrow-control find each other.
const (
	ServiceBus              = "bus"
	ServiceLoop             = "loop"
	ServiceStore            = "store"
	ServiceAnswers          = "answers"
	ServiceClaimer          = "claimer"
	ServiceLease            = "lease" // optional, a LeaseReporter
	ServicePlatformProvider = "platform provider"
	ServicePeerProvider     = "peer provider"
	ServicePeerServer       = "peer server"
	ServiceLoadObserver     = "load observer"
	ServiceQuarantine       = "quarantine keeper"
	ServiceShares           = "share client"
	ServiceLookup           = "lookup"
	ServiceFeed             = "feed"
	ServiceOperator         = "operator"
	ServiceMetrics          = "metrics"
)

// StoreService offers the platform's objects.
type StoreService struct{ Store *rollout.Store }

// Name implements kernel.Service.
func (s *StoreService) Name() string { return ServiceStore }

// AnswersService offers the router on this host.
type AnswersService struct{ Answers rpc.Answers }

// Name implements kernel.Service.
func (a *AnswersService) Name() string { return ServiceAnswers }
