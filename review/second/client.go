package main

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"
)

func decode(text []byte, into any) bool { return json.Unmarshal(text, into) == nil }

// outcome is what a client saw of one attempt.
type outcome struct {
	attempt string
	sentAt  time.Time
	endedAt time.Time
	status  int
	events  int
	err     error
}

// client sends requests to one entry VM on kept channels.
type client struct {
	w  *world
	to *vm
	hc *http.Client
	wg sync.WaitGroup
	// bodyBytes is the size of the bodies; zero stands for short ones.
	bodyBytes int

	mu       sync.Mutex
	sent     int
	outcomes []outcome
}

func (w *world) newClient(to *vm) *client {
	return &client{w: w, to: to, hc: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64, IdleConnTimeout: 20 * time.Second, DisableCompression: true}}}
}

// send sends one request in the background. A header of the case's own, X-Entry, names the VM.
func (c *client) send(method, path string, budget time.Duration, headers map[string]string) {
	c.mu.Lock()
	c.sent++
	attempt := fmt.Sprintf("%s-%04d", c.to.name, c.sent)
	c.mu.Unlock()
	c.wg.Go(func() {
		result := outcome{attempt: attempt, sentAt: time.Now()}
		c.w.note("client sends %s to %s", attempt, c.to.name)
		result.status, result.events, result.err = c.exchange(attempt, method, path, budget, headers)
		result.endedAt = time.Now()
		c.w.note("client of %s: status %d, %d events, %v", attempt, result.status, result.events, result.err)
		c.mu.Lock()
		c.outcomes = append(c.outcomes, result)
		c.mu.Unlock()
	})
}

func (c *client) exchange(attempt, method, path string, budget time.Duration, headers map[string]string) (status, events int, err error) {
	ctx, cancel := context.WithTimeout(context.Background(), budget)
	defer cancel()
	var body io.Reader
	if method == http.MethodPost {
		body = strings.NewReader("request " + attempt + strings.Repeat("x", c.bodyBytes))
	}
	request, err := http.NewRequestWithContext(ctx, method, "http://"+c.to.callers+path, body)
	if err != nil {
		return 0, 0, err
	}
	request.GetBody = nil // net/http must not send it again
	request.Host = "case.example"
	request.Header.Set("X-Attempt-Id", attempt)
	request.Header.Set("X-Entry", c.to.name)
	request.Header.Set("X-Deadline-Ms", fmt.Sprint(budget.Milliseconds()))
	for name, value := range headers {
		request.Header.Set(name, value)
	}
	response, err := c.hc.Do(request)
	if err != nil {
		return 0, 0, err
	}
	defer response.Body.Close()
	lines := bufio.NewScanner(response.Body)
	lines.Buffer(nil, 1<<20)
	for lines.Scan() {
		if strings.HasPrefix(lines.Text(), "id:") {
			events++
		}
	}
	return response.StatusCode, events, lines.Err()
}

// configuration is config/main of a case.
func configuration(version int, routes, services []map[string]any) map[string]any {
	return map[string]any{
		"version": version, "routes": routes, "services": services,
		"limits": map[string]any{"max_header_bytes": 32768, "max_body_bytes": 4194304, "header_timeout_ms": 10000, "idle_timeout_ms": 30000},
	}
}

// plainRoute returns a route to a plain service.
func plainRoute(name, kind string, timeoutMillis int) map[string]any {
	return map[string]any{
		"name": name, "hostname": "case.example", "path_prefix": "/" + name + "/", "service": "counter-api", "route_kind": kind,
		"timeout_ms": timeoutMillis, "slo_ms": 300, "priority": 2, "max_attempts": map[string]int{"safe": 2, "unsafe": 1}[kind],
	}
}
