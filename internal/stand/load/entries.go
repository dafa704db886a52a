package load

import (
	"context"
	"net/http"
	"sync"
	"time"

	"godwitcart/internal/pause"
)

// The times of the readiness checks, which stand for the platform's balancer.
const (
	readyInterval = 200 * time.Millisecond
	readyTimeout  = time.Second
)

// entryList chooses entry VMs as the platform's balancer does: in turn among the ready ones.
type entryList struct {
	client *http.Client
	urls   []string
	checks []string

	mu    sync.Mutex
	ready []bool
	turn  int
}

func newEntryList(client *http.Client, urls, checks []string) *entryList {
	list := &entryList{client: client, urls: urls, checks: checks, ready: make([]bool, len(urls))}
	for i := range list.ready {
		list.ready[i] = true
	}
	return list
}

// choose returns the next entry VM, another one than last where there is one.
func (l *entryList) choose(last string) string {
	l.mu.Lock()
	defer l.mu.Unlock()
	chosen := last
	for range l.urls {
		l.turn = (l.turn + 1) % len(l.urls)
		if l.ready[l.turn] && l.urls[l.turn] != last {
			return l.urls[l.turn]
		}
	}
	if chosen == "" {
		chosen = l.urls[l.turn]
	}
	return chosen
}

// watch checks readiness until ctx ends.
func (l *entryList) watch(ctx context.Context) {
	var group sync.WaitGroup
	for i, url := range l.checks {
		group.Go(func() {
			for ctx.Err() == nil {
				ready := l.check(ctx, url)
				l.mu.Lock()
				l.ready[i] = ready
				l.mu.Unlock()
				pause.For(ctx, readyInterval)
			}
		})
	}
	group.Wait()
}

func (l *entryList) check(ctx context.Context, url string) bool {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return false
	}
	response, err := l.client.Do(request)
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}
