package main

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// heartbeat is the interval at which replicas write their entries (DEPLOY.md, heartbeat_ms).
const heartbeat = 1200 * time.Millisecond

// replica stands in for one replica of a service. It answers plain requests or, if events is set, streams.
type replica struct {
	w       *world
	id      string
	service string
	zone    string
	address string
	slots   int
	bornAt  time.Time
	// work is how long a plain request takes, step the time between two events, and events their number.
	work   time.Duration
	step   time.Duration
	events int
	// keepsWorking is set if the replica does not drop a request when its channel closes.
	keepsWorking bool
	// isFull is set if the replica has no room for copies of other replicas' running requests.
	isFull  bool
	engines *engines

	mu      sync.Mutex
	slowFor int
	// failing is the share of requests that fail, in hundredths, and failed counts towards it.
	failing, failed int
	// unframed is the share of streams that are answers without a length.
	unframed float64
	leaving  bool
	unlists  bool
	seq      int
	runs     []*run
	stop     context.CancelFunc
	end      func()
}

// run is one run of a client attempt at a replica.
type run struct {
	attempt string
	entry   string
	begunAt time.Time
	endedAt time.Time
	end     string
	made    int
	// from is where the request was to take its memory from; empty for none. hadCopy is set if there was a copy.
	from    string
	hadCopy bool
	stop    chan struct{}
}

// engines is what the replicas of a language model service share: the copies of running requests.
type engines struct {
	mu sync.Mutex
	// copies holds the number of events that a copy covers, by address and attempt.
	copies map[string]int
	all    []*replica
}

// startReplica starts a replica and lists it.
func (w *world) startReplica(r *replica) error {
	r.w, r.bornAt = w, time.Now()
	var err error
	if r.address, r.end, err = w.serve("127.0.0.1", r); err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	r.stop = cancel
	w.atEnd(cancel)
	r.beat()
	go func() {
		ticker := time.NewTicker(heartbeat)
		defer ticker.Stop()
		for {
			select {
			case <-ctx.Done():
				return
			case <-ticker.C:
				r.beat()
			}
		}
	}()
	return nil
}

// beat writes the replica's entry, unless it has been removed.
func (r *replica) beat() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.unlists {
		return
	}
	r.seq++
	r.w.store.write("servers", r.id, map[string]any{
		"service": r.service, "address": r.address, "zone": r.zone, "version": "1", "slots": r.slots, "state": "ready",
		"cold_remaining_ms": 0, "sequence": r.seq, "born": r.bornAt.UnixMilli(),
	})
}

// leave removes the entry of a replica that never reports draining. It returns the revision of the removal.
func (r *replica) leave() uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.unlists, r.leaving = true, true
	return r.w.store.remove("servers", r.id)
}

// exit ends the process of the replica.
func (r *replica) exit() {
	r.w.note("%s exits", r.id)
	r.stop()
	r.end()
}

// slowDown makes the work take factor times as long for a time.
func (r *replica) slowDown(factor int, period time.Duration) {
	r.mu.Lock()
	r.slowFor = factor
	r.mu.Unlock()
	time.AfterFunc(period, func() {
		r.mu.Lock()
		r.slowFor = 0
		r.mu.Unlock()
	})
}

// failFor makes a share of the requests fail for a time.
func (r *replica) failFor(hundredths int, period time.Duration) {
	set := func(value int) {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.failing = value
	}
	set(hundredths)
	time.AfterFunc(period, func() { set(0) })
}

// sendUnframed makes a share of the streams answers without a length for a time.
func (r *replica) sendUnframed(share float64, period time.Duration) {
	set := func(value float64) {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.unframed = value
	}
	set(share)
	time.AfterFunc(period, func() { set(0) })
}

// isUnframed reports whether the next stream has no length.
func (r *replica) isUnframed() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return rand.Float64() < r.unframed
}

// streamUnframed sends all events in an answer that ends with its channel.
func (r *replica) streamUnframed(w http.ResponseWriter, current *run) {
	header := w.Header().Clone()
	header.Set("Content-Type", "text/event-stream")
	header.Set("X-Weight-Versions", "1")
	conn, buffered, err := http.NewResponseController(w).Hijack()
	if err != nil {
		current.end = err.Error()
		return
	}
	defer conn.Close()
	fmt.Fprintf(buffered, "HTTP/1.1 200 OK\r\n")
	header.Write(buffered)
	fmt.Fprintf(buffered, "\r\n")
	for next := 1; next <= r.events; next++ {
		time.Sleep(r.scaled(r.step))
		current.made = next
		fmt.Fprintf(buffered, "id: %d\ndata: %s event %d\n\n", next, current.attempt, next)
		if err := buffered.Flush(); err != nil {
			current.end = err.Error()
			return
		}
	}
	current.end = "complete, and ends with its channel"
}

// fails reports whether the next request fails, evenly spread.
func (r *replica) fails() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.failed += r.failing
	if r.failed < 100 {
		return false
	}
	r.failed -= 100
	return true
}

// scaled returns how long work takes now.
func (r *replica) scaled(work time.Duration) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return work * time.Duration(max(r.slowFor, 1))
}

// ServeHTTP implements http.Handler.
func (r *replica) ServeHTTP(w http.ResponseWriter, request *http.Request) {
	switch {
	case request.Method == http.MethodGet && request.URL.Path == "/healthz":
		w.Header().Set("X-Instance-Id", r.id)
		w.WriteHeader(http.StatusOK)
	case request.URL.Path == "/v1/report":
		answer(w, http.StatusOK, map[string]any{"stage": "mixed", "state": "ready", "born": r.bornAt.UnixMilli(), "queued": 0, "active": 0, "kv_used": 0, "kv_total": 34172})
	case strings.HasPrefix(request.URL.Path, "/v1/kv-handle/"):
		r.engines.take(r.address, strings.TrimPrefix(request.URL.Path, "/v1/kv-handle/"))
		w.WriteHeader(http.StatusOK)
	case request.URL.Path == "/v1/kv-move":
		r.move(w, request)
	default:
		r.serve(w, request)
	}
}

// serve answers a client's request.
func (r *replica) serve(w http.ResponseWriter, request *http.Request) {
	attempt := request.Header.Get("X-Attempt-Id")
	header := w.Header()
	header.Set("X-Attempt-Id", attempt)
	r.mu.Lock()
	if r.leaving {
		header.Set("Server-Leaving", "1")
	}
	r.mu.Unlock()
	io.Copy(io.Discard, request.Body)
	if expected := request.Header.Get("X-Expect-Instance"); expected != "" && expected != r.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	entry := request.Header.Get("X-Entry") // set by the client and forwarded unchanged: the VM to which it sent
	from := request.Header.Get("Kv-From")
	if r.fails() {
		r.mu.Lock()
		r.runs = append(r.runs, &run{attempt: attempt, entry: entry, begunAt: time.Now(), endedAt: time.Now(), end: "failed", from: from})
		r.mu.Unlock()
		r.w.note("%s runs %s, sent through %s, memory from %q, and fails: 500", r.id, attempt, entry, from)
		header.Set("X-Response-Stamp", fmt.Sprintf("%s.%s.failed", r.id, attempt))
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	next := 1
	if last := request.Header.Get("Last-Event-Id"); last != "" {
		number, _ := strconv.Atoi(last)
		next = number + 1
	}
	if from != "" {
		address, handle, _ := strings.Cut(from, "/")
		if address != r.address || !r.engines.take(address, handle) {
			header.Set("X-Not-Executed", "1")
			w.WriteHeader(http.StatusServiceUnavailable)
			r.w.note("%s refuses %s: it has no copy", r.id, attempt)
			return
		}
	}
	current := &run{attempt: attempt, entry: entry, begunAt: time.Now(), made: next - 1, from: from, hadCopy: from != "", stop: make(chan struct{})}
	r.mu.Lock()
	r.runs = append(r.runs, current)
	r.mu.Unlock()
	r.w.note("%s runs %s, sent through %s, from event %d, memory from %q, backup at %q", r.id, attempt, entry, next, from, request.Header.Get("X-Kv-Backup"))
	header.Set("X-Response-Stamp", fmt.Sprintf("%s.%s.%d", r.id, attempt, next))
	switch {
	case r.events > 0 && next == 1 && r.isUnframed():
		r.streamUnframed(w, current)
	case r.events > 0:
		r.stream(w, request, current, next)
	default:
		r.plain(w, request, current)
	}
	r.mu.Lock()
	current.endedAt = time.Now()
	r.mu.Unlock()
	r.w.note("%s ends %s after event %d: %s", r.id, attempt, current.made, current.end)
}

func (r *replica) plain(w http.ResponseWriter, request *http.Request, current *run) {
	select {
	case <-time.After(r.scaled(r.work)):
		current.end = "answered"
		io.WriteString(w, "answer to "+current.attempt+"\n")
	case <-request.Context().Done():
		current.end = "its channel closed"
	}
}

// stream sends the events from the given one on.
func (r *replica) stream(w http.ResponseWriter, request *http.Request, current *run, next int) {
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("X-Weight-Versions", "1")
	left := request.Context().Done()
	backup := request.Header.Get("X-Kv-Backup")
	var copiedAt time.Time
	isOpen := true
	for ; next <= r.events; next++ {
		timer := time.NewTimer(r.scaled(r.step))
		for waiting := true; waiting; {
			select {
			case <-timer.C:
				waiting = false
			case <-current.stop:
				current.end = "stopped for a move"
				return
			case <-left:
				isOpen, left = false, nil
				if !r.keepsWorking {
					current.end = "dropped, as its channel closed"
					return
				}
				r.w.note("%s goes on with %s though its channel closed", r.id, current.attempt)
			}
		}
		current.made = next
		if isOpen {
			fmt.Fprintf(w, "id: %d\ndata: %s event %d\n\n", next, current.attempt, next)
			w.(http.Flusher).Flush()
		}
		if backup != "" && time.Since(copiedAt) > 300*time.Millisecond {
			copiedAt = time.Now()
			r.engines.put(backup, current.attempt, next)
		}
	}
	if backup != "" {
		r.engines.take(backup, current.attempt)
	}
	current.end = "complete"
}

// move serves a call that copies a running request, and stops it first if the call says so.
func (r *replica) move(w http.ResponseWriter, request *http.Request) {
	text, _ := io.ReadAll(request.Body)
	var sent struct {
		ID   string `json:"id"`
		To   string `json:"to"`
		Last bool   `json:"last"`
	}
	if !decode(text, &sent) {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	r.mu.Lock()
	var found *run
	for _, current := range r.runs {
		if current.attempt == sent.ID && current.endedAt.IsZero() {
			found = current
		}
	}
	r.mu.Unlock()
	r.w.note("%s is asked to move %s to %s, last %t, running %t", r.id, sent.ID, sent.To, sent.Last, found != nil)
	if found == nil {
		answer(w, http.StatusNotFound, map[string]any{"error": "no such run"})
		return
	}
	if sent.Last {
		close(found.stop)
	}
	time.Sleep(50 * time.Millisecond)
	r.engines.put(sent.To, sent.ID, found.made)
	answer(w, http.StatusOK, map[string]any{"transfer_handle": sent.ID, "created": found.made})
}

// put keeps a copy at the replica with the address, while that has room.
func (e *engines) put(address, attempt string, events int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, r := range e.all {
		if r.address == address && r.isFull {
			return
		}
	}
	e.copies[address+"/"+attempt] = events
}

// take removes a copy and reports whether there was one.
func (e *engines) take(address, attempt string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	_, found := e.copies[address+"/"+attempt]
	delete(e.copies, address+"/"+attempt)
	return found
}
