package load

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"godwitcart/internal/pause"
)

// The settings of the callers' connections; the limit on idle connections applies to each entry VM.
const (
	dialTimeout           = time.Second
	maxIdleConnections    = 1024
	idleConnectionTimeout = 30 * time.Second
)

// Run sends the planned requests and returns what the callers received, in the order of the plan. When ctx ends it
// stops waiting, and requests without a final answer end with OutcomeNone.
func Run(ctx context.Context, options Options) []Record {
	client := newClient()
	defer client.CloseIdleConnections()
	balancer := newBalancer(client, options.EntryURLs, options.ReadyURLs)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go balancer.watchReadiness(ctx)

	requests := planRequests(options)
	records := make([]Record, len(requests))
	started := time.Now()
	var group sync.WaitGroup
	for i, request := range requests {
		pause.For(ctx, time.Until(started.Add(request.After)))
		group.Go(func() { records[i] = send(ctx, options, client, balancer, request) })
	}
	group.Wait()
	return records
}

func newClient() *http.Client {
	return &http.Client{Transport: &http.Transport{
		DialContext:         (&net.Dialer{Timeout: dialTimeout}).DialContext,
		MaxIdleConnsPerHost: maxIdleConnections,
		IdleConnTimeout:     idleConnectionTimeout,
	}}
}

// send runs the request's callers, one for each copy.
func send(ctx context.Context, options Options, client *http.Client, balancer *balancer, request Request) Record {
	record := Record{Request: request, Started: time.Now(), Answers: make([]Answer, request.Copies)}
	var group sync.WaitGroup
	for i := range record.Answers {
		group.Go(func() {
			pause.For(ctx, time.Duration(i)*request.Stagger)
			c := &caller{options: options, client: client, balancer: balancer, request: request}
			record.Answers[i] = c.run(ctx)
		})
	}
	group.Wait()
	return record
}
