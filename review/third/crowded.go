package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// crowdedCase: three engines run streams. For some seconds their memory and queues are full: each preempts its running streams once
// and reads them in again, resets new channels, and has no room for copies. All streams go on afterwards and end whole.
func crowdedCase() {
	const (
		replicas    = 3
		clients     = 18
		events      = 80
		gap         = 30 * time.Millisecond
		preempted   = 400 * time.Millisecond
		crowdedTime = 5500 * time.Millisecond
	)
	w := newWorld("a", "b", "c")
	letter := routeSpec("letter", "/letter/", "streaming", "lm", 39000, 1800, 1)
	letter["session_affinity"] = true
	model := plainService("lm")
	model["engine"] = map[string]any{"slots": 24, "kv_capacity": 34172, "kv_bytes": 163840, "link_mbps": 24000, "moves": true, "backups": true}
	w.store.put("config", "main", configSpec(3, []map[string]any{letter, routeSpec("lookup", "/lookup/", "safe", "counter", 3000, 300, 2)},
		[]map[string]any{model, plainService("counter")}, map[string][]string{"t1": {"key-1"}}))
	var engines []*engine
	for i, zone := range []string{"a", "b", "c"} {
		e := w.newEngine(fmt.Sprintf("i-lm-%d", i), zone, &streamWork{events: events, gap: gap}, preempted)
		e.replica.register("ready")
		engines = append(engines, e)
		w.newReplica("counter", fmt.Sprintf("i-counter-%d", i), zone).register("ready")
	}
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
				header: map[string]string{"X-Model": "m", "X-Token-Usage": "600,320", "X-Prefix-Hash": "5c1e07a2:400,e4402b7d:200"}}, attempt)
			count := strings.Count(got.body, "\n\n")
			w.log("stream %s at %s: status %d, %d events of %d, whole %v, error %v", attempt, v.name, got.status, count, events, got.isWhole, got.err)
			switch {
			case got.isWhole && got.status == http.StatusOK && count == events:
				whole.Add(1)
			case got.status == http.StatusOK && !got.isWhole && endedWhole(engines, attempt):
				lost.Add(1)
			default:
				other.Add(1)
			}
		})
	}
	time.Sleep(time.Second)
	if hasTrouble() {
		w.log("the engines are crowded: they preempt what runs once, and reset new channels")
		for _, e := range engines {
			e.setCrowded(true)
		}
		time.Sleep(crowdedTime)
		for _, e := range engines {
			e.setCrowded(false)
		}
		w.log("the engines have room again")
	}
	open.Wait()
	w.finish(lost.Load() > 3, "of %d streams on kept channels, %d reached their clients whole; the channels of %d were closed without the end of the answer though their engine had sent it whole; %d ended otherwise", clients, whole.Load(), lost.Load(), other.Load())
}

// endedWhole reports whether an engine has sent the whole stream of the attempt.
func endedWhole(engines []*engine, attempt string) bool {
	for _, e := range engines {
		e.mu.Lock()
		ended := e.ended[attempt]
		e.mu.Unlock()
		if ended {
			return true
		}
	}
	return false
}

// engine is a stand-in of a model replica that can move and back up what it runs, as far as it has room.
type engine struct {
	replica *replica
	work    *streamWork
	// preempted is how long a run that is preempted stands still.
	preempted time.Duration
	// refuseTime is how long the engine takes to refuse a request that goes on from a copy.
	refuseTime time.Duration

	mu      sync.Mutex
	crowded bool
	// crowds counts the times that the engine was crowded.
	crowds int
	// stop holds the runs by their attempts; closing it stops a run for its last copy.
	stop  map[string]chan struct{}
	ended map[string]bool
}

// crowdedListener resets new channels while the engine is crowded.
type crowdedListener struct {
	net.Listener
	engine *engine
}

// Accept implements net.Listener.
func (l crowdedListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil || !l.engine.isCrowded() {
			return conn, err
		}
		l.engine.replica.world.log("%s resets a new channel", l.engine.replica.id)
		_ = conn.(*net.TCPConn).SetLinger(0)
		_ = conn.Close()
	}
}

func (w *world) newEngine(id, zone string, work *streamWork, preempted time.Duration) *engine {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		fatal("engine: %v", err)
	}
	e := &engine{work: work, preempted: preempted, stop: make(map[string]chan struct{}), ended: make(map[string]bool)}
	e.replica = &replica{world: w, id: id, service: "lm", zone: zone, born: time.Now().UnixMilli(), address: listener.Addr().String(), slots: 24, before: e.answerOwn, work: e.run}
	e.replica.server = &http.Server{Handler: e.replica}
	go e.replica.server.Serve(crowdedListener{Listener: listener, engine: e})
	return e
}

func (e *engine) setCrowded(crowded bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.crowded = crowded
	if crowded {
		e.crowds++
	}
}

func (e *engine) isCrowded() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.crowded
}

// answerOwn answers calls of the engine's own interface, and requests that go on from a copy: there is none, since there was no room.
func (e *engine) answerOwn(rw http.ResponseWriter, q *http.Request) bool {
	switch {
	case q.URL.Path == "/v1/kv-move":
		var call struct {
			ID   string `json:"id"`
			Last bool   `json:"last"`
		}
		_ = json.NewDecoder(q.Body).Decode(&call)
		e.mu.Lock()
		stop, runs := e.stop[call.ID]
		if runs && call.Last {
			delete(e.stop, call.ID)
			close(stop)
		}
		e.mu.Unlock()
		rw.Header().Del("X-Attempt-Id")
		e.replica.world.log("%s is asked to move %s, last %v: it runs %v", e.replica.id, call.ID, call.Last, runs)
		switch {
		case !runs:
			reply(rw, http.StatusNotFound, map[string]any{})
		case call.Last:
			reply(rw, http.StatusServiceUnavailable, map[string]any{"transfer_handle": "h-" + call.ID, "created": 0})
		default:
			reply(rw, http.StatusServiceUnavailable, map[string]any{})
		}
	case strings.HasPrefix(q.URL.Path, "/v1/"):
		rw.Header().Del("X-Attempt-Id")
		reply(rw, http.StatusOK, map[string]any{})
	case q.Header.Get("Kv-From") != "":
		e.replica.world.log("%s has no copy of %s and does not run it", e.replica.id, q.Header.Get("X-Attempt-Id"))
		time.Sleep(e.refuseTime)
		rw.Header().Set("X-Not-Executed", "1")
		rw.WriteHeader(http.StatusServiceUnavailable)
	default:
		return false
	}
	return true
}

// run answers a streaming request.
func (e *engine) run(rw http.ResponseWriter, q *http.Request) {
	attempt := q.Header.Get("X-Attempt-Id")
	stop := make(chan struct{})
	e.mu.Lock()
	e.stop[attempt] = stop
	seen := e.crowds
	e.mu.Unlock()
	rw.Header().Set("Content-Type", "text/event-stream")
	for id := 1; id <= e.work.events; id++ {
		fmt.Fprintf(rw, "id: %d\ndata: piece %d of %s\n\n", id, id, attempt)
		rw.(http.Flusher).Flush()
		pause := e.work.gap
		e.mu.Lock()
		if e.crowds > seen {
			seen = e.crowds
			pause = e.preempted
		}
		e.mu.Unlock()
		select {
		case <-q.Context().Done():
			e.mu.Lock()
			delete(e.stop, attempt)
			e.mu.Unlock()
			e.replica.world.log("%s drops %s at event %d: its channel has ended", e.replica.id, attempt, id)
			return
		case <-stop:
			e.replica.world.log("%s stops %s at event %d", e.replica.id, attempt, id)
			panic(http.ErrAbortHandler) // closed without its end
		case <-time.After(pause):
		}
	}
	e.mu.Lock()
	delete(e.stop, attempt)
	e.ended[attempt] = true
	e.mu.Unlock()
	e.replica.world.log("%s has sent the whole stream of %s, with its last chunk", e.replica.id, attempt)
}
