package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

func init() { cases["lapse"] = leavingAfterLapse }

// leavingAfterLapse takes the store away, so that the entries of sound replicas lapse and come back, and replaces these replicas
// one after the other when all has been calm for long.
func leavingAfterLapse(w *world) []string {
	const drainWithin = 2 * time.Second
	serve := plain(20 * time.Millisecond)
	var replicas []*replica
	for _, zone := range []string{"a", "a", "a", "b", "b", "b"} {
		replicas = append(replicas, w.addReplica("api", zone, 6, serve))
	}
	w.store.put("config/main", configuration(7, []string{"key-1"}, []any{plainService("api"), plainService("lm")}, route("peek", "safe", "api", map[string]any{"max_attempts": 2})))
	var nodes []*node
	for _, zone := range []string{"a", "a", "a", "a", "b", "b", "b", "b"} {
		nodes = append(nodes, w.addNode(zone))
	}
	w.startAll()
	var mu sync.Mutex
	var attempts []*attempt
	traffic := func(length time.Duration) {
		var clients sync.WaitGroup
		for _, n := range nodes {
			clients.Go(func() {
				for end := time.Now().Add(length); time.Now().Before(end); time.Sleep(60 * time.Millisecond) {
					a := w.send(n.frontend(), request{method: http.MethodGet, path: "/peek/1", key: "key-1", budget: 3 * time.Second})
					mu.Lock()
					attempts = append(attempts, a)
					mu.Unlock()
				}
			})
		}
		clients.Wait()
	}
	traffic(3 * time.Second)
	if w.trouble {
		w.log("store: down, answers 503")
		w.store.setBusy(true)
		traffic(3600 * time.Millisecond)
		for _, r := range replicas {
			w.log("store: the entry of %s lapses after three intervals of silence", r.id)
			w.store.delete("servers/" + r.id)
		}
		traffic(900 * time.Millisecond)
		w.log("store: back")
		w.store.setBusy(false)
		for _, r := range replicas {
			wait := 1200*time.Millisecond + time.Duration(rand.Int64N(int64(700*time.Millisecond)))
			time.AfterFunc(wait, func() { r.register("ready") })
		}
	}
	traffic(5 * time.Second)
	w.addReplica("lm", "b", 24, serve) // a replica of another service
	traffic(2 * time.Second)
	calm := len(attempts)
	traffic(10 * time.Second)
	refused := 0
	for _, a := range attempts[calm:] {
		if a.status == http.StatusServiceUnavailable {
			refused++
		}
	}
	w.log("%d of %d requests were refused with 503 while all replicas were sound and the store calm", refused, len(attempts)-calm)
	fmt.Println(refused, "of", len(attempts)-calm, "refused in calm")
	drainingSince := make(map[*replica]time.Time)
	for _, old := range replicas {
		w.addReplica("api", old.zone, 6, serve)
		traffic(300 * time.Millisecond)
		drainingSince[old] = old.register("draining")
		traffic(700 * time.Millisecond)
	}
	traffic(6 * time.Second)
	for _, old := range replicas {
		w.store.delete("servers/" + old.id)
		old.exit()
	}
	var broken []string
	for _, a := range attempts {
		if found, at := ran(a.id, replicas...); found != nil && !drainingSince[at].IsZero() && a.sentAt.Sub(drainingSince[at]) > drainWithin {
			broken = append(broken, fmt.Sprintf("DRAIN: request %s was sent %d ms after the store had confirmed that %s is draining, and ran there",
				a.id, a.sentAt.Sub(drainingSince[at]).Milliseconds(), at.id))
		}
	}
	w.log("%d requests reached a draining replica later than the bound", len(broken))
	return broken
}
