package main

import (
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// leavingCase: four engines run streams, and have no room for copies of them. One engine begins to leave and goes on with what it runs. The
// others take refuseTime to refuse a stream of which they have no copy.
func leavingCase() {
	const (
		clients    = 32
		events     = 120
		gap        = 30 * time.Millisecond
		refuseTime = 200 * time.Millisecond
	)
	w := newWorld("a", "b", "c")
	letter := routeSpec("letter", "/letter/", "streaming", "lm", 39000, 1800, 1)
	letter["session_affinity"] = true
	model := plainService("lm")
	model["engine"] = map[string]any{"slots": 24, "kv_capacity": 34172, "kv_bytes": 163840, "link_mbps": 24000, "moves": true, "backups": true}
	w.store.put("config", "main", configSpec(3, []map[string]any{letter, routeSpec("lookup", "/lookup/", "safe", "counter", 3000, 300, 2)},
		[]map[string]any{model, plainService("counter")}, map[string][]string{"t1": {"key-1"}}))
	var engines []*engine
	for i, zone := range []string{"a", "b", "c", "a"} {
		e := w.newEngine("i-lm-"+string(rune('0'+i)), zone, &streamWork{events: events, gap: gap}, 0)
		e.refuseTime = refuseTime
		e.replica.register("ready")
		engines = append(engines, e)
	}
	w.newReplica("counter", "i-counter-0", "a").register("ready")
	w.start()
	var whole, lost, other atomic.Int64
	var open sync.WaitGroup
	for i := range clients {
		open.Go(func() {
			v := w.vms[i%len(w.vms)]
			c, err := openChannel(v.frontend)
			if err != nil {
				w.log("channel to %s: %v", v.name, err)
				return
			}
			defer c.close()
			if first := c.send(request{method: http.MethodGet, path: "/lookup/x", key: "key-1", deadlineMS: 3000}, newAttempt()); !first.isWhole {
				w.log("first answer of a channel to %s: status %d, error %v", v.name, first.status, first.err)
				return
			}
			attempt := newAttempt()
			got := c.send(request{method: http.MethodPost, path: "/letter/x", key: "key-1", body: "prompt", deadlineMS: 39000,
				header: map[string]string{"X-Model": "m", "X-Token-Usage": "600,480", "X-Prefix-Hash": "5c1e07a2:400,e4402b7d:200"}}, attempt)
			count := strings.Count(got.body, "\n\n")
			w.log("stream %s at %s: status %d, %d events of %d, whole %v, error %v", attempt, v.name, got.status, count, events, got.isWhole, got.err)
			switch {
			case got.isWhole && got.status == http.StatusOK && count == events:
				whole.Add(1)
			case got.status == http.StatusOK && !got.isWhole:
				lost.Add(1)
			default:
				other.Add(1)
			}
		})
	}
	time.Sleep(1200 * time.Millisecond)
	if hasTrouble() {
		engines[0].replica.register("draining")
		w.log("%s begins to leave; it goes on with what it runs", engines[0].replica.id)
	}
	open.Wait()
	w.finish(lost.Load() > 3, "of %d streams on kept channels, %d reached their clients whole; the channels of %d were closed in the middle, though no engine had broken off; %d ended otherwise", clients, whole.Load(), lost.Load(), other.Load())
}
