package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

const (
	// copyAge is how old the copy is from which the store comes back, and awayTime how long the store is away ("some seconds",
	// "a moment": letter 5).
	copyAge  = 6 * time.Second
	awayTime = 500 * time.Millisecond
	// contact, drainBound are contact_ms and drain_ms of the installation.
	contact    = 3 * time.Second
	drainBound = 2 * time.Second
	// exitDelay is how much longer than drain_ms the replica serves ("a little longer").
	exitDelay = 400 * time.Millisecond
)

// watchLog holds when each entry VM has watched the list of replicas.
type watchLog struct {
	mu sync.Mutex
	at map[string][]time.Time
}

func (l *watchLog) add(vm string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.at[vm] = append(l.at[vm], time.Now())
}

func (l *watchLog) countSince(vm string, since time.Time) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	count := 0
	for _, at := range l.at[vm] {
		if at.After(since) {
			count++
		}
	}
	return count
}

// playRestore removes the entry of a replica more than contact_ms after a drill, in which the store was away for a moment and came
// back from a copy that is some seconds old. The drill begins soon after an entry VM that learns of changes from another one has
// looked at the list itself, as it does every eight seconds.
func playRestore(w *world, trouble bool) ([]string, error) {
	shared := &engines{copies: make(map[string]int)}
	watches := &watchLog{at: make(map[string][]time.Time)}
	w.store.onWatch = watches.add
	var replicas []*replica
	for i := range 12 {
		r := &replica{id: fmt.Sprintf("plain-%d", i+1), service: "counter-api", zone: "a", slots: 6, work: 150 * time.Millisecond, engines: shared}
		if i >= 6 {
			r.service = "other-api"
		}
		if err := w.startReplica(r); err != nil {
			return nil, err
		}
		replicas = append(replicas, r)
		time.Sleep(heartbeat / 12)
	}
	services := []map[string]any{{"name": "counter-api", "health_path": "/healthz", "max_connections": 110}, {"name": "other-api", "health_path": "/healthz", "max_connections": 110}}
	w.store.write("config", "main", configuration(3, []map[string]any{plainRoute("sku-lookup", "unsafe", 1500)}, services))
	if err := w.startVMs("a", "127.0.0.31", "127.0.0.32", "127.0.0.33"); err != nil {
		return nil, err
	}
	clients := make(map[string]*client)
	for _, v := range w.vms {
		clients[v.name] = w.newClient(v)
	}
	burst := func() {
		for range 18 {
			for _, c := range clients {
				c.send(http.MethodPost, "/sku-lookup/1", 3*time.Second, nil)
			}
		}
	}
	burst()
	time.Sleep(20 * time.Second) // the rhythm of the watches is steady then
	var breaks []string
	for round := range 2 {
		removedAt, err := playDrill(w, trouble, watches, replicas[round], burst)
		if err != nil {
			return nil, err
		}
		for _, c := range clients {
			c.wg.Wait()
		}
		breaks = append(breaks, judgeDrained(replicas[round], removedAt)...)
	}
	return breaks, nil
}

// awaitMember waits until the entry VM that looks at the list least often has just done so, and returns its name.
func awaitMember(w *world, watches *watchLog) (string, error) {
	for begun := time.Now(); time.Since(begun) < 20*time.Second; time.Sleep(10 * time.Millisecond) {
		for _, v := range w.vms {
			if watches.countSince(v.name, time.Now().Add(-15*time.Second)) <= 2 && watches.countSince(v.name, time.Now().Add(-50*time.Millisecond)) > 0 {
				return v.name, nil
			}
		}
	}
	return "", fmt.Errorf("no entry VM leaves the list to another one")
}

// playDrill plays one drill and the removal after it, and returns when the entry was removed.
func playDrill(w *world, trouble bool, watches *watchLog, gone *replica, burst func()) (time.Time, error) {
	member, err := awaitMember(w, watches)
	if err != nil {
		return time.Time{}, err
	}
	w.note("%s has looked at the list; store at revision %d", member, w.store.current())
	time.Sleep(300 * time.Millisecond)
	if trouble {
		copiedAt := time.Now().Add(-copyAge)
		w.store.goAway()
		w.note("DISRUPTION the store is away")
		time.Sleep(awayTime)
		lost, revision := w.store.comeBack(copiedAt)
		w.note("DISRUPTION the store is back from a copy %v old: revision %d becomes %d, and the era rises", copyAge, lost, revision)
	} else {
		time.Sleep(awayTime)
	}
	time.Sleep(contact)
	burst()
	time.Sleep(300 * time.Millisecond)
	revision := gone.leave()
	removedAt := time.Now()
	w.note("PLANNED WORK the entry of %s is removed at revision %d; it serves on for drain_ms and a little longer, and says Server-Leaving in its answers", gone.id, revision)
	time.AfterFunc(drainBound+exitDelay, gone.exit)
	time.Sleep(drainBound + 300*time.Millisecond)
	for range 3 {
		burst()
		time.Sleep(time.Second)
	}
	return removedAt, nil
}

// judgeDrained returns the requests that reached a replica later than drain_ms after its entry was removed (RULES.md, DRAIN).
func judgeDrained(gone *replica, removedAt time.Time) []string {
	gone.mu.Lock()
	defer gone.mu.Unlock()
	var breaks []string
	for _, current := range gone.runs {
		if late := current.begunAt.Sub(removedAt); late > drainBound {
			breaks = append(breaks, fmt.Sprintf("%s reached %s through %s %d ms after the removal of its entry (%s)", current.attempt, gone.id, current.entry, late.Milliseconds(), current.end))
		}
	}
	return breaks
}
