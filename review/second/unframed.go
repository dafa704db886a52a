package main

import (
	"fmt"
	"net/http"
	"syscall"
	"time"
)

// playTerm stops one of two entry VMs by SIGTERM while clients use both. With trouble the platform sends SIGTERM once more a
// second later, as when two stops of the machine overlap; SIGKILL would be due only after grace_s.
func playTerm(w *world, trouble bool) ([]string, error) {
	shared := &engines{copies: make(map[string]int)}
	for i := range 4 {
		model := &replica{id: fmt.Sprintf("model-%d", i+1), service: "godwit-lm", zone: "a", slots: 24, step: 20 * time.Millisecond, events: 150, engines: shared}
		if err := w.startReplica(model); err != nil {
			return nil, err
		}
		shared.all = append(shared.all, model)
	}
	for i := range 3 {
		plain := &replica{id: fmt.Sprintf("plain-%d", i+1), service: "counter-api", zone: "a", slots: 6, work: 60 * time.Millisecond, engines: shared}
		if err := w.startReplica(plain); err != nil {
			return nil, err
		}
		shared.all = append(shared.all, plain)
	}
	stream := map[string]any{
		"name": "price-sheet", "hostname": "case.example", "path_prefix": "/price-sheet/", "service": "godwit-lm", "route_kind": "streaming",
		"timeout_ms": 39000, "slo_ms": 1800, "priority": 1, "max_attempts": 1, "session_affinity": true, "gap_target_ms": 180,
	}
	services := []map[string]any{
		{"name": "counter-api", "health_path": "/healthz", "max_connections": 110},
		{
			"name": "godwit-lm", "health_path": "/healthz", "max_connections": 252,
			"engine": map[string]any{"slots": 24, "kv_capacity": 34172, "kv_bytes": 163840.0, "link_mbps": 24000.0, "handle_ttl_s": 3, "moves": true, "backups": true},
		},
	}
	w.store.write("config", "main", configuration(3, []map[string]any{stream, plainRoute("sku-lookup", "unsafe", 1500)}, services))
	if err := w.startVMs("a", "127.0.0.21", "127.0.0.22"); err != nil {
		return nil, err
	}
	time.Sleep(2 * time.Second)
	clients := []*client{w.newClient(w.vms[0]), w.newClient(w.vms[1])}
	stopped := w.vms[0]
	var termAt, outAt time.Time
	startedAt := time.Now()
	for i := 0; time.Since(startedAt) < 12*time.Second; i++ {
		if since := time.Since(startedAt); since > 5*time.Second && termAt.IsZero() {
			termAt = time.Now()
			outAt = termAt.Add(2 * time.Second) // the platform's second missed question
			w.note("PLANNED WORK SIGTERM; SIGKILL follows after 8 s")
			stopped.signal(syscall.SIGTERM)
			if trouble {
				time.AfterFunc(time.Second, func() {
					w.note("DISRUPTION SIGTERM once more")
					stopped.signal(syscall.SIGTERM)
				})
			}
			time.AfterFunc(8*time.Second, func() { stopped.signal(syscall.SIGKILL) })
		}
		c := clients[i%2]
		if !termAt.IsZero() && time.Now().After(outAt) {
			c = clients[1]
		}
		c.send(http.MethodPost, "/sku-lookup/1", 3*time.Second, nil)
		if i%8 < 2 {
			c.send(http.MethodPost, "/price-sheet/1", 39*time.Second, map[string]string{"X-Model": "m", "X-Token-Usage": "3000,600", "X-Prefix-Hash": fmt.Sprintf("5c1e07a2:47,%08x:32", i)})
		}
		time.Sleep(35 * time.Millisecond)
	}
	for _, c := range clients {
		c.wg.Wait()
	}
	return judgeLost(clients[0], shared.all, termAt), nil
}

// judgeLost returns the requests to the stopped VM that a replica ran and whose channel ended without a complete answer until
// a second after grace_s (RULES.md, LOST).
func judgeLost(c *client, replicas []*replica, termAt time.Time) []string {
	const grace = 8 * time.Second
	ran := make(map[string]string)
	for _, r := range replicas {
		r.mu.Lock()
		for _, current := range r.runs {
			// Not counted: the replica was still at work in the last sixth of grace_s.
			if current.endedAt.Before(termAt.Add(grace * 5 / 6)) {
				ran[current.attempt] = fmt.Sprintf("%s (event %d, %s)", r.id, current.made, current.end)
			}
		}
		r.mu.Unlock()
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	var breaks []string
	for _, o := range c.outcomes {
		if at, found := ran[o.attempt]; found && o.err != nil && o.endedAt.After(termAt) && o.endedAt.Before(termAt.Add(grace+time.Second)) {
			breaks = append(breaks, fmt.Sprintf("%s was passed on to %s, and its channel ended %d ms after the first SIGTERM with status %d after %d events: %v", o.attempt, at, o.endedAt.Sub(termAt).Milliseconds(), o.status, o.events, o.err))
		}
	}
	return breaks
}
