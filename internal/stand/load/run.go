package load

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"godwitcart/internal/pause"
)

// The limits of the callers' connections.
const (
	dialTimeout    = time.Second
	idlePerEntry   = 1024
	idleConnection = 30 * time.Second
)

// Run sends the planned requests and returns what the callers received, in the order of the
// plan. It returns early when ctx ends; callers that wait then have no answer.
func Run(ctx context.Context, options Options) []Record {
	client := newClient()
	defer client.CloseIdleConnections()
	entries := newEntryList(client, options.Entries, options.Ready)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go entries.watch(ctx)

	requests := plan(options)
	records := make([]Record, len(requests))
	started := time.Now()
	var group sync.WaitGroup
	for i, request := range requests {
		pause.For(ctx, time.Until(started.Add(request.After)))
		group.Go(func() { records[i] = send(ctx, options, client, entries, request) })
	}
	group.Wait()
	return records
}

func newClient() *http.Client {
	return &http.Client{Transport: &http.Transport{
		DialContext:         (&net.Dialer{Timeout: dialTimeout}).DialContext,
		MaxIdleConnsPerHost: idlePerEntry,
		IdleConnTimeout:     idleConnection,
	}}
}

// send runs the request's callers, one for each copy.
func send(ctx context.Context, options Options, client *http.Client, entries *entryList, request Request) Record {
	record := Record{Request: request, Started: time.Now(), Answers: make([]Answer, request.Copies)}
	var group sync.WaitGroup
	for i := range record.Answers {
		group.Go(func() {
			pause.For(ctx, time.Duration(i)*request.Stagger)
			c := &caller{options: options, client: client, entries: entries, request: request}
			record.Answers[i] = c.run(ctx)
		})
	}
	group.Wait()
	return record
}
