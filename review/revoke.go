package main

import (
	"fmt"
	"net/http"
	"syscall"
	"time"
)

func init() { cases["revoke"] = keyAfterDrill }

// keyAfterDrill restarts one machine while the store is away and comes back from a copy that is older than the
// configuration which took a key away. The other machine still knows that configuration.
func keyAfterDrill(w *world) []string {
	const revokeWithin = 5 * time.Second
	api := w.addReplica("api", "a", 6, plain(20*time.Millisecond))
	write := func(version int, keys ...string) time.Time {
		at := w.store.put("config/main", configuration(version, keys, []any{plainService("api")}, route("peek", "safe", "api", map[string]any{"max_attempts": 2})))
		w.log("operator: version %d with the keys %v is confirmed, revision %d", version, keys, w.store.currentRevision())
		return at
	}
	write(7, "key-1", "key-2")
	stays, restarts := w.addNode("a"), w.addNode("a")
	w.startAll()
	peek := func(to *node, key string) *attempt {
		return w.send(to.frontend(), request{method: http.MethodGet, path: "/peek/1", key: key, budget: 3 * time.Second})
	}
	require(peek(stays, "key-2").status == 200 && peek(restarts, "key-2").status == 200, "the key isn't accepted at first")
	from := w.store.copy()
	w.log("the copy of the store is taken at revision %d", from.revision)
	time.Sleep(300 * time.Millisecond)
	revokedAt := write(10, "key-1")
	time.Sleep(4500 * time.Millisecond)
	require(peek(stays, "key-2").status == 401 && peek(restarts, "key-2").status == 401, "the key isn't refused")
	if w.trouble {
		w.log("drill: the store is away")
		go func() {
			time.Sleep(100 * time.Millisecond)
			restarts.signal(syscall.SIGKILL)
			<-restarts.exited
			time.Sleep(200 * time.Millisecond)
			restarts.start()
		}()
		w.store.drill(time.Second, from)
		w.log("drill: the store is back at revision %d", w.store.currentRevision())
		go func() {
			time.Sleep(1500 * time.Millisecond)
			write(10, "key-1")
		}()
	}
	var sentLate []*attempt
	for time.Since(revokedAt) < 10*time.Second {
		for _, n := range []*node{stays, restarts} {
			if a := peek(n, "key-2"); a.sentAt.Sub(revokedAt) > revokeWithin {
				sentLate = append(sentLate, a)
			}
		}
		time.Sleep(50 * time.Millisecond)
	}
	var broken []string
	for _, a := range sentLate {
		if found, r := ran(a.id, api); found != nil {
			broken = append(broken, fmt.Sprintf("CONFIG: request %s with a key that was taken away was sent %d ms after the confirmation and ran at %s", a.id, a.sentAt.Sub(revokedAt).Milliseconds(), r.id))
		}
	}
	return broken
}
