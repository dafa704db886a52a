package main

import (
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// loadsCase: three VMs share two engines. Two VMs, whose streams hold the slots of the engines, are lost at once and do not
// return. Without trouble the clients of these streams leave instead. Then the third VM gets the work of two kinds of request.
func loadsCase() {
	const (
		slots      = 8
		replicas   = 2
		settleTime = 5 * time.Second // contact_ms, and more
		playTime   = 40 * time.Second
	)
	w := newWorld("a", "b", "c")
	letter := routeSpec("letter", "/letter/", "streaming", "lm", 39000, 1800, 1)
	letter["session_affinity"] = true
	model := plainService("lm")
	model["engine"] = map[string]any{"slots": slots, "kv_capacity": 34172, "kv_bytes": 163840, "link_mbps": 24000, "moves": false, "backups": false}
	w.store.put("config", "main", configSpec(3, []map[string]any{letter, routeSpec("lookup", "/lookup/", "unsafe", "counter", 3000, 300, 1)},
		[]map[string]any{model, plainService("counter")}, map[string][]string{"t1": {"key-1"}}))
	var active atomic.Int64
	work := &streamWork{events: 150, gap: 200 * time.Millisecond,
		begun: func() { active.Add(1) }, ended: func() { active.Add(-1) }}
	for i := range replicas {
		r := w.newReplica("lm", fmt.Sprintf("i-lm-%d", i), "a")
		r.slots = slots
		r.work = work.serve
		r.register("ready")
		w.newReplica("counter", fmt.Sprintf("i-counter-%d", i), "a").register("ready")
	}
	w.start()
	survivor, lost := w.vms[0], w.vms[1:]
	generation := request{
		method: http.MethodPost, path: "/letter/x", key: "key-1", body: "prompt", deadlineMS: 39000,
		header: map[string]string{"X-Model": "m", "X-Token-Usage": "1000,1200", "X-Prefix-Hash": "5c1e07a2:400,e4402b7d:600"},
	}
	lookup := request{method: http.MethodPost, path: "/lookup/x", key: "key-1", body: "sku", deadlineMS: 3000}

	leave := make(chan struct{})
	var streams sync.WaitGroup
	for i := range replicas * slots {
		streams.Go(func() { w.holdStream(lost[i%len(lost)], generation, leave) })
		time.Sleep(150 * time.Millisecond)
	}
	time.Sleep(time.Second)
	w.log("%d streams run at the engines, which have %d slots", active.Load(), replicas*slots)
	if active.Load() < replicas*slots*3/4 {
		fatal("only %d streams run", active.Load())
	}
	if hasTrouble() {
		for _, v := range lost {
			v.signal(syscall.SIGKILL)
			w.log("%s is killed and does not return", v.name)
		}
	} else {
		w.log("the clients of the streams leave")
	}
	close(leave)
	streams.Wait()
	time.Sleep(settleTime)
	w.log("%d streams run at the engines", active.Load())

	var served, asked [2]atomic.Int64
	var clients sync.WaitGroup
	for end := time.Now().Add(playTime); time.Now().Before(end); time.Sleep(time.Second) {
		clients.Go(func() {
			asked[0].Add(1)
			if w.askGeneration(survivor, generation, &active) {
				served[0].Add(1)
			}
		})
		clients.Go(func() {
			asked[1].Add(1)
			if got := sendOnce(survivor, lookup, newAttempt()); got.status == http.StatusOK && got.isWhole {
				served[1].Add(1)
			}
		})
	}
	clients.Wait()
	w.finishStarved(served[0].Load(), asked[0].Load(), served[1].Load(), asked[1].Load())
}

// finishStarved ends a case by the rule that a kind of request is served at least a quarter as often as all requests.
func (w *world) finishStarved(generations, askedGenerations, lookups, askedLookups int64) {
	kind := float64(generations) / float64(askedGenerations)
	all := float64(generations+lookups) / float64(askedGenerations+askedLookups)
	w.finish(kind < all/4, "%d of %d generations and %d of %d lookups were served: %.2f of the kind, %.2f of all requests",
		generations, askedGenerations, lookups, askedLookups, kind, all)
}

// holdStream reads a stream until the client leaves or the channel ends.
func (w *world) holdStream(v *vm, q request, leave <-chan struct{}) {
	c, err := openChannel(v.frontend)
	if err != nil {
		w.log("stream at %s: %v", v.name, err)
		return
	}
	stop := make(chan struct{})
	go func() {
		select {
		case <-leave:
		case <-stop:
		}
		c.close()
	}()
	attempt := newAttempt()
	got := c.send(q, attempt)
	close(stop)
	w.log("stream %s at %s: status %d, %d bytes, whole %v", attempt, v.name, got.status, len(got.body), got.isWhole)
}

// askGeneration sends a generation and, where it is refused, once more after the time that the refusal names. It reports whether
// events came; the client leaves after the third.
func (w *world) askGeneration(v *vm, q request, active *atomic.Int64) bool {
	for range 2 {
		attempt := newAttempt()
		running := active.Load()
		status, retryAfter, err := firstEvents(v, q, attempt, 3)
		w.log("generation %s at %s while %d run at the engines: status %d, error %v", attempt, v.name, running, status, err)
		if status == http.StatusOK && err == nil {
			return true
		}
		if status != http.StatusServiceUnavailable {
			return false
		}
		time.Sleep(retryAfter)
	}
	return false
}
