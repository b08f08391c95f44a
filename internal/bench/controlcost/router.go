package main

import (
	"context"
	"fmt"
	"net/http"
	"sync/atomic"
	"time"

	"heatherbarrow/internal/bundle"
	"heatherbarrow/internal/rpc"
	"heatherbarrow/internal/settings"
)

const (
	reportInterval = 500 * time.Millisecond
	// busyTeams report demand above their floors on each host.
	busyTeams = 20
	// offeredModels are in demand on each host. The replicas report only the first,
	// so that the holders of the leases also send placement orders.
	offeredModels = 28
)

// router takes the place of the router on one host: it follows bundle and view
// and reports usage.
type router struct {
	feed         rpc.Feed
	zone         int // own zone, among zones
	zones        int
	operator     rpc.Operator
	generation   atomic.Uint64
	views        atomic.Uint64
	firstReplica atomic.Int64  // state of the first replica
	reportAge    atomic.Uint64 // sum over the views of the mean age of the own zone's reports, in ms
}

func newRouter(feed, operator string, zone, zones int) *router {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 2}}
	return &router{
		zone: zone, zones: zones,
		feed:     rpc.NewFeedProtobufClient("http://"+feed, client),
		operator: rpc.NewOperatorProtobufClient("http://"+operator, client),
	}
}

func (r *router) follow(ctx context.Context) {
	go r.report(ctx)
	var version uint64
	for ctx.Err() == nil {
		response, err := r.feed.Watch(ctx, &rpc.WatchRequest{Generation: r.generation.Load(), ViewVersion: version, WaitMs: 10000})
		if err != nil {
			time.Sleep(50 * time.Millisecond)
			continue
		}
		if response.Bundle != nil {
			r.generation.Store(response.Bundle.Generation)
		}
		if response.View != nil {
			version = response.View.Version
			r.take(response.View)
		}
	}
}

func (r *router) take(v *rpc.View) {
	r.views.Add(1)
	var sum, reports uint64
	for i, replica := range v.Replicas {
		if replica.HasLoad && i%r.zones == r.zone {
			sum += uint64(replica.ReportAgeMs)
			reports++
		}
	}
	if len(v.Replicas) > 0 {
		r.firstReplica.Store(int64(v.Replicas[0].State))
	}
	if reports > 0 {
		r.reportAge.Add(sum / reports)
	}
}

func (r *router) report(ctx context.Context) {
	request := &rpc.ReportRequest{}
	for i := range busyTeams {
		request.Teams = append(request.Teams, &rpc.TeamUsage{Team: teamName(i), DemandedTokens: 100_000, DemandedInProgress: 4})
	}
	for _, model := range modelNames() {
		request.Demand = append(request.Demand, &rpc.ClassDemand{Class: "quote", Model: model, Requests: 1, Tokens: 150})
	}
	for ctx.Err() == nil {
		_, _ = r.feed.Report(ctx, request)
		time.Sleep(reportInterval)
	}
}

func (c *cluster) watching(ctx context.Context) float64 {
	watching := 0.0
	for _, r := range c.routers {
		if s, err := r.operator.Status(ctx, &rpc.StatusRequest{}); err == nil && s.WatchesPlatform {
			watching++
		}
	}
	return watching
}

func replicaName(i int) string { return fmt.Sprintf("e%d", i) }
func teamName(i int) string    { return fmt.Sprintf("team%d", i) }

func modelNames() []string {
	out := []string{"m"}
	for i := range offeredModels - 1 {
		out = append(out, fmt.Sprintf("model%d", i))
	}
	return out
}

// makeBundles prepares the content that all changes have in common.
func (c *cluster) makeBundles(replicas []string) {
	b := &c.content
	b.Format = bundle.Format
	b.Classes = []bundle.Class{{Name: "quote", Tier: 1, AnswerTarget: settings.Duration(time.Second)}}
	for i := range c.size.teams {
		b.Teams = append(b.Teams, bundle.Team{
			Name: teamName(i), KeyHashes: []string{bundle.HashKey(teamName(i))}, Classes: []string{"quote"}, TokensPerSecond: 10_000, MaxInProgress: 100,
		})
	}
	u := bundle.Upstream{Name: "models", Kind: bundle.KindEngine, Classes: []string{"quote"}, Slots: 16}
	u.Models = modelNames()
	for i, address := range replicas {
		u.Replicas = append(u.Replicas, bundle.Replica{ID: replicaName(i), Address: address, AvailabilityZone: zoneName(i % c.size.zones)})
	}
	b.Upstreams = []bundle.Upstream{u}
}

// bundle returns the canonical content of the n-th change.
func (c *cluster) bundle(n int) ([]byte, error) {
	c.content.Classes[0].Deadline = settings.Duration(time.Duration(10+n) * time.Second)
	data, _, err := c.content.Canonical()
	return data, err
}
