package load

import (
	"context"
	"net/http"
	"sync"
	"time"

	"godwitcart/internal/pause"
)

// The interval and the timeout of the readiness checks.
const (
	readyInterval = 200 * time.Millisecond
	readyTimeout  = time.Second
)

// balancer stands in for the platform's load balancer: it chooses among the ready entry VMs round-robin.
type balancer struct {
	client    *http.Client
	urls      []string
	readyURLs []string

	mu      sync.Mutex
	ready   []bool
	current int
}

func newBalancer(client *http.Client, urls, readyURLs []string) *balancer {
	b := &balancer{client: client, urls: urls, readyURLs: readyURLs, ready: make([]bool, len(urls))}
	for i := range b.ready {
		b.ready[i] = true
	}
	return b
}

// choose returns the next ready entry VM other than previous. If there is none it returns previous, or any entry VM if
// previous is empty.
func (b *balancer) choose(previous string) string {
	b.mu.Lock()
	defer b.mu.Unlock()
	chosen := previous
	for range b.urls {
		b.current = (b.current + 1) % len(b.urls)
		if b.ready[b.current] && b.urls[b.current] != previous {
			return b.urls[b.current]
		}
	}
	if chosen == "" {
		chosen = b.urls[b.current]
	}
	return chosen
}

// watchReadiness polls the readiness of the entry VMs until ctx ends.
func (b *balancer) watchReadiness(ctx context.Context) {
	var group sync.WaitGroup
	for i, url := range b.readyURLs {
		group.Go(func() {
			for ctx.Err() == nil {
				ready := b.isReady(ctx, url)
				b.mu.Lock()
				b.ready[i] = ready
				b.mu.Unlock()
				pause.For(ctx, readyInterval)
			}
		})
	}
	group.Wait()
}

func (b *balancer) isReady(ctx context.Context, url string) bool {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return false
	}
	response, err := b.client.Do(request)
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}
