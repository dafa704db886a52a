package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// unframedCase: for 5.5 s, half of the replicas of a service send one in twenty of their answers without a length and chunks; each
// of these streams is whole and ends with its channel, in order. Clients ask on channels that are kept.
func unframedCase() {
	const (
		replicas = 4
		events   = 4
		clients  = 24
		everyNth = 20 // x = 0.05
		playTime = 5500 * time.Millisecond
	)
	w := newWorld("a", "b", "c")
	w.store.put("config", "main", configSpec(3, []map[string]any{routeSpec("letter", "/letter/", "streaming", "lm", 6000, 1500, 1), routeSpec("lookup", "/lookup/", "safe", "lm", 3000, 300, 2)},
		[]map[string]any{plainService("lm")}, map[string][]string{"t1": {"key-1"}}))
	var mu sync.Mutex
	unframed := make(map[string]bool)
	for i := range replicas {
		r := w.newReplica("lm", fmt.Sprintf("i-lm-%d", i), []string{"a", "b", "c"}[i%3])
		var answers atomic.Int64
		work := &streamWork{events: events, gap: 20 * time.Millisecond}
		work.ended = func(attempt string, isUnframed bool) {
			if isUnframed {
				mu.Lock()
				unframed[attempt] = true
				mu.Unlock()
				w.log("%s has sent the whole stream of %s, without a length, and closes its channel in order", r.id, attempt)
			}
		}
		if hasTrouble() && i < replicas/2 {
			work.isUnframed = func() bool { return answers.Add(1)%everyNth == 0 }
		}
		stream := work.serve(r.id)
		r.work = func(rw http.ResponseWriter, q *http.Request) {
			if q.Method == http.MethodGet {
				fmt.Fprintf(rw, "answer to %s\n", q.Header.Get("X-Attempt-Id"))
				return
			}
			stream(rw, q)
		}
		r.register("ready")
	}
	w.start()
	var sent, whole, lost atomic.Int64
	var open sync.WaitGroup
	end := time.Now().Add(playTime)
	for i := range clients {
		open.Go(func() {
			v := w.vms[i%len(w.vms)]
			for time.Now().Before(end) {
				w.useChannel(v, end, func(attempt string, got answer) {
					sent.Add(1)
					mu.Lock()
					wasUnframed := unframed[attempt]
					mu.Unlock()
					switch {
					case got.status == http.StatusOK && got.isWhole:
						whole.Add(1)
					case wasUnframed:
						lost.Add(1)
						w.log("%s at %s: its client gets %d events of %d, and its channel is closed without the end of the answer: %v", attempt, v.name, strings.Count(got.body, "\n\n"), events, got.err)
					default:
						w.log("%s at %s: status %d, error %v", attempt, v.name, got.status, got.err)
					}
				})
			}
		})
	}
	open.Wait()
	mu.Lock()
	defer mu.Unlock()
	w.finish(lost.Load() > 3, "of %d streams on kept channels, %d ended whole; replicas ended %d whole streams with their channel, and the channels of %d of their clients were closed without a whole answer", sent.Load(), whole.Load(), len(unframed), lost.Load())
}

// useChannel asks on one channel, first for a short answer and then for streams, until the end or until the channel ends.
func (w *world) useChannel(v *vm, end time.Time, report func(attempt string, got answer)) {
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
	for time.Now().Before(end) {
		attempt := newAttempt()
		got := c.send(request{method: http.MethodPost, path: "/letter/x", key: "key-1", body: "prompt", deadlineMS: 5000}, attempt)
		report(attempt, got)
		if !got.isWhole || got.header.Get("Connection") == "close" {
			return
		}
	}
}
