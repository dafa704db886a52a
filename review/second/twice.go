package main

import (
	"fmt"
	"net/http"
	"time"
)

// playTwice lets one of seven model replicas work four times as long for five seconds, while streams run on all of them. Two of
// the seven replicas, this one among them, do not drop a request when its channel closes. They do stop it when a call to
// kv-move says so.
func playTwice(w *world, trouble bool) ([]string, error) {
	shared, err := startModels(w, func(i int, r *replica) { r.keepsWorking = i < 2 })
	if err != nil {
		return nil, err
	}
	if err := w.startVMs("a", "127.0.0.11", "127.0.0.12"); err != nil {
		return nil, err
	}
	time.Sleep(3 * time.Second)
	if trouble {
		time.AfterFunc(5*time.Second, func() {
			w.note("DISRUPTION model-1 works four times as long for 5 s (srv_slow)")
			shared.all[0].slowDown(4, 5*time.Second)
		})
	}
	sendStreams(w, 45, 330*time.Millisecond, "3000,600")
	time.Sleep(time.Second)
	return judgeTwice(shared.all), nil
}

// startModels starts seven model replicas and writes the configuration with a streaming route to them. change is called with
// each replica before it starts.
func startModels(w *world, change func(i int, r *replica)) (*engines, error) {
	shared := &engines{copies: make(map[string]int)}
	for i := range 7 {
		r := &replica{id: fmt.Sprintf("model-%d", i+1), service: "godwit-lm", zone: "a", slots: 24, step: 30 * time.Millisecond, events: 150, engines: shared}
		change(i, r)
		if err := w.startReplica(r); err != nil {
			return nil, err
		}
		shared.all = append(shared.all, r)
	}
	route := map[string]any{
		"name": "price-sheet", "hostname": "case.example", "path_prefix": "/price-sheet/", "service": "godwit-lm", "route_kind": "streaming",
		"timeout_ms": 39000, "slo_ms": 1800, "priority": 1, "max_attempts": 1, "session_affinity": true, "gap_target_ms": 180,
	}
	service := map[string]any{
		"name": "godwit-lm", "health_path": "/healthz", "max_connections": 252,
		"engine": map[string]any{"slots": 24, "kv_capacity": 34172, "kv_bytes": 163840.0, "link_mbps": 24000.0, "handle_ttl_s": 3, "moves": true, "backups": true},
	}
	w.store.write("config", "main", configuration(3, []map[string]any{route}, []map[string]any{service}))
	return shared, nil
}

// sendStreams sends streams to the entry VMs in turn, one each interval, and waits until all have ended.
func sendStreams(w *world, count int, interval time.Duration, tokens string) {
	clients := []*client{w.newClient(w.vms[0]), w.newClient(w.vms[1])}
	for i := range count {
		clients[i%2].send(http.MethodPost, "/price-sheet/1", 39*time.Second, map[string]string{
			"X-Model": "m", "X-Token-Usage": tokens, "X-Prefix-Hash": fmt.Sprintf("5c1e07a2:47,%08x:32", i),
		})
		time.Sleep(interval)
	}
	for _, c := range clients {
		c.wg.Wait()
	}
}

// overlapLimit is how long the replica before may still work on a request that goes on at another one (RULES.md, TWICE).
const overlapLimit = 400 * time.Millisecond

// judgeTwice returns the requests that went on at another replica while the one before still worked on them.
func judgeTwice(replicas []*replica) []string {
	type located struct {
		*run
		at *replica
	}
	byAttempt := make(map[string][]located)
	for _, r := range replicas {
		r.mu.Lock()
		for _, current := range r.runs {
			byAttempt[current.attempt] = append(byAttempt[current.attempt], located{current, r})
		}
		r.mu.Unlock()
	}
	var breaks []string
	for attempt, runs := range byAttempt {
		for _, before := range runs {
			for _, after := range runs {
				overlap := before.endedAt.Sub(after.begunAt)
				if before.at != after.at && before.begunAt.Before(after.begunAt) && overlap > overlapLimit {
					breaks = append(breaks, fmt.Sprintf("%s went on at %s while %s worked on it for %d ms more, up to event %d", attempt, after.at.id, before.at.id, overlap.Milliseconds(), before.made))
				}
			}
		}
	}
	return breaks
}
