package main

import (
	"fmt"
	"net/http"
	"time"
)

func init() { cases["evacuation"] = evacuationAfterDrill }

// evacuationAfterDrill lets the store come back from a copy some seconds old while a zone is evacuated, and evacuates the
// other zone once all is calm again.
func evacuationAfterDrill(w *world) []string {
	const evacuateWithin = 5 * time.Second
	w.bounds["bounds.evacuate_ms"], w.bounds["bounds.cold_overage"], w.bounds["bounds.cold_slack"] = "5000", "1.5", "5"
	replicas := map[string]*replica{"a": w.addReplica("queue", "a", 6, plain(20*time.Millisecond)), "b": w.addReplica("queue", "b", 6, plain(20*time.Millisecond))}
	version := 7
	configure := func() {
		w.store.put("config/main", configuration(version, []string{"key-1"}, []any{plainService("queue")}, route("status", "safe", "queue", map[string]any{"max_attempts": 2})))
	}
	configure()
	nodes := []*node{w.addNode("a"), w.addNode("b")}
	w.startAll()
	traffic := func(length time.Duration) (served map[string]int) {
		served = make(map[string]int)
		for end, i := time.Now().Add(length), 0; time.Now().Before(end); i++ {
			a := w.send(nodes[i%2].frontend(), request{method: http.MethodGet, path: "/status/1", key: "key-1", budget: 3 * time.Second})
			for zone, r := range replicas {
				if found, _ := ran(a.id, r); found != nil {
					served[zone]++
				}
			}
			time.Sleep(25 * time.Millisecond)
		}
		return served
	}
	from := w.store.copy()
	w.log("the copy of the store is taken at revision %d", from.revision)
	for range 12 { // configurations in quick succession
		version += 3
		configure()
		traffic(330 * time.Millisecond)
	}
	w.store.put("evacuations/b", map[string]any{})
	w.log("operator: zone b is evacuated, revision %d", w.store.currentRevision())
	traffic(time.Second)
	if w.trouble {
		w.log("drill: the store is away")
		w.store.drill(700*time.Millisecond, from)
		w.log("drill: the store is back at revision %d", w.store.currentRevision())
		time.Sleep(300 * time.Millisecond)
		configure()
		w.store.put("evacuations/b", map[string]any{})
		w.log("what the operator wrote is written again, revision %d", w.store.currentRevision())
	}
	w.log("served by zone: %v", traffic(8*time.Second)) // the core is stable again
	w.store.delete("evacuations/b")
	w.log("operator: zone b is taken back, revision %d", w.store.currentRevision())
	w.log("served by zone: %v", traffic(6*time.Second))
	confirmedAt := w.store.put("evacuations/a", map[string]any{})
	w.log("operator: zone a is evacuated, revision %d", w.store.currentRevision())
	w.log("served by zone: %v", traffic(evacuateWithin+200*time.Millisecond))
	served := traffic(5 * time.Second)
	w.log("served by zone later than the bound: %v", served)
	if served["a"] > 0 {
		return []string{fmt.Sprintf("EVAC: %d requests reached the replica of zone a, and %d that of zone b, later than %v after the store confirmed the evacuation of a (observed for %v)",
			served["a"], served["b"], evacuateWithin, time.Since(confirmedAt).Round(time.Second))}
	}
	return nil
}
