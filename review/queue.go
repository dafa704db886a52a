package main

import (
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"time"
)

func init() { cases["queue"] = waitingAtShutdown }

// waitingAtShutdown stops an entry machine while requests wait there for room at engines that are full.
func waitingAtShutdown(w *world) []string {
	const events, gap = 420, 36 * time.Millisecond // a long answer of about 15 s
	serve := generation(300*time.Millisecond, gap)
	engines := []*replica{w.addReplica("lm", "a", 24, serve), w.addReplica("lm", "a", 24, serve)}
	w.store.put("config/main", configuration(7, []string{"key-1"}, []any{engineService("lm", 26911)},
		route("label", "streaming", "lm", map[string]any{"timeout_ms": 6000, "slo_ms": 1500, "priority": 0, "session_affinity": true, "gap_target_ms": 180}),
		route("triage", "streaming", "lm", map[string]any{"timeout_ms": 39000, "slo_ms": 4000, "priority": 2, "session_affinity": true, "gap_target_ms": 180}),
	))
	n := w.addNode("a")
	w.startAll()
	var waiting sync.WaitGroup
	var mu sync.Mutex
	var attempts []*attempt
	send := func(count int) {
		waiting.Go(func() {
			a := w.send(n.frontend(), request{method: http.MethodPost, path: "/triage/1", key: "key-1", budget: 39 * time.Second, body: make([]byte, 1300), header: map[string]string{
				"X-Model": "m", "X-Token-Usage": "3079,1760", "X-Prefix-Hash": fmt.Sprintf("5c1e07a2:47,91bd3f06:32,%s:3000", newID()[:8]), "Test-Events": fmt.Sprint(count),
			}})
			mu.Lock()
			defer mu.Unlock()
			attempts = append(attempts, a)
		})
	}
	// The engines become full.
	for range 16 {
		send(events)
		time.Sleep(350 * time.Millisecond)
	}
	var termAt time.Time
	if w.trouble {
		termAt = time.Now()
		n.signal(syscall.SIGTERM)
	}
	// The balancer needs two missed checks, a second apart, to take the machine out: clients still come.
	for range 6 {
		send(events)
		time.Sleep(300 * time.Millisecond)
	}
	waiting.Wait()
	var broken []string
	for _, a := range attempts {
		if a.complete || a.unread {
			continue
		}
		run, _ := ran(a.id, engines...)
		switch {
		case run != nil && (run.endAt.IsZero() || run.endAt.Sub(termAt) > 8*time.Second*5/6) && a.sentAt.Sub(termAt) <= 3*time.Second:
			w.log("%s was at work in the last sixth of the grace period: not counted", a.id)
		case run == nil && a.endAt.Sub(a.sentAt) < 200*time.Millisecond:
			w.log("%s ended within the slack: not counted", a.id)
		default:
			broken = append(broken, fmt.Sprintf("LOST: request %s was read, waited %d ms, was passed on: %t, and its channel ended without an answer %d ms after SIGTERM (%v)",
				a.id, a.endAt.Sub(a.sentAt).Milliseconds(), run != nil, a.endAt.Sub(termAt).Milliseconds(), a.err))
		}
	}
	return broken
}
