package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// replica is one server of a service. It follows PROTOCOL.md: it runs what names its id, echoes the attempt, signs its
// answers and drops a request when its channel closes.
type replica struct {
	world    *world
	id       string
	service  string
	zone     string
	address  string
	slots    int
	born     int64
	listener net.Listener

	mu    sync.Mutex
	conns map[net.Conn]bool
	// serve answers a request that names this replica. It returns whether the channel is kept.
	serve func(c *call) bool
	runs  map[string]*run
}

// run is one request that the replica has begun to work on.
type run struct {
	id      string
	startAt time.Time
	endAt   time.Time // zero while it runs
	whole   bool      // the answer was sent to its end
	tenant  string
}

// call is a request at a replica.
type call struct {
	*http.Request
	replica *replica
	conn    net.Conn
	body    []byte
	id      string
	gone    chan struct{} // closed when the channel closes
}

func (w *world) addReplica(service, zone string, slots int, serve func(*call) bool) *replica {
	r := &replica{world: w, service: service, zone: zone, slots: slots, serve: serve, conns: make(map[net.Conn]bool), runs: make(map[string]*run), born: time.Now().UnixMilli()}
	r.address = w.address(w.host(), w.ports.replica)
	r.id = fmt.Sprintf("i-%s-%d", service, w.nextHost)
	var err error
	r.listener, err = net.Listen("tcp4", r.address)
	check(err)
	go r.accept()
	r.register("ready")
	return r
}

func (r *replica) entry(state string) map[string]any {
	return map[string]any{
		"service": r.service, "address": r.address, "zone": r.zone, "version": "v1", "slots": r.slots, "state": state,
		"cold_remaining_ms": 0, "stage": "mixed", "sequence": 1, "born": r.born,
	}
}

func (r *replica) register(state string) time.Time {
	r.world.log("store: %s of %s in %s is %s", r.id, r.service, r.zone, state)
	return r.world.store.put("servers/"+r.id, r.entry(state))
}

func (r *replica) accept() {
	for {
		conn, err := r.listener.Accept()
		if err != nil {
			return
		}
		r.mu.Lock()
		r.conns[conn] = true
		r.mu.Unlock()
		go r.handle(conn)
	}
}

// exit ends the replica: it answers nothing more.
func (r *replica) exit() {
	r.world.log("replica %s exits", r.id)
	r.listener.Close()
	r.mu.Lock()
	defer r.mu.Unlock()
	for conn := range r.conns {
		resetConn(conn)
	}
}

func (r *replica) handle(conn net.Conn) {
	defer func() {
		conn.Close()
		r.mu.Lock()
		delete(r.conns, conn)
		r.mu.Unlock()
	}()
	reader := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		c := &call{Request: request, replica: r, conn: conn, id: request.Header.Get("X-Attempt-Id"), gone: make(chan struct{})}
		if expected := request.Header.Get("X-Expect-Instance"); expected != "" && expected != r.id {
			_, _ = io.Copy(io.Discard, request.Body)
			fmt.Fprintf(conn, "HTTP/1.1 421 Misdirected Request\r\nX-Instance-Id: %s\r\nContent-Length: 0\r\n\r\n", r.id)
			continue
		}
		if strings.HasPrefix(request.URL.Path, "/v1/") {
			_, _ = io.Copy(io.Discard, request.Body)
			r.serveOwn(c)
			continue
		}
		if !r.serve(c) {
			return
		}
	}
}

// serveOwn answers the calls on a replica's own state. It keeps no memory of generations.
func (r *replica) serveOwn(c *call) {
	switch {
	case c.URL.Path == "/v1/report":
		body := fmt.Sprintf(`{"stage":"mixed","models":[{"name":"m","version":1,"adapters":[]}],"busy":false,"sequence":1,"queued":0,"active":%d,"kv_used":0,"kv_total":30000,"kv_handles":0,"born":%d}`, r.active(), r.born)
		fmt.Fprintf(c.conn, "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	case c.URL.Path == "/v1/kv-move":
		fmt.Fprint(c.conn, "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 2\r\n\r\n{}")
	default:
		fmt.Fprint(c.conn, "HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n")
	}
}

// begin records that the replica works on the request.
func (c *call) begin() *run {
	r := c.replica
	started := &run{id: c.id, startAt: time.Now(), tenant: c.Header.Get("X-Tenant")}
	r.mu.Lock()
	r.runs[c.id] = started
	r.mu.Unlock()
	r.world.log("replica %s runs %s %s from %s, tenant %s", r.id, c.id, c.URL.Path, c.conn.RemoteAddr(), started.tenant)
	return started
}

func (c *call) end(r *run, whole bool) {
	c.replica.mu.Lock()
	r.endAt, r.whole = time.Now(), whole
	c.replica.mu.Unlock()
	c.replica.world.log("replica %s ends %s, whole answer: %t", c.replica.id, c.id, whole)
}

// stamp is the signature of the replica's answer to the call.
func (c *call) stamp() string { return "stamp." + c.replica.id + "." + c.id }

func (r *replica) active() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	count := 0
	for _, started := range r.runs {
		if started.endAt.IsZero() {
			count++
		}
	}
	return count
}

// ran returns the run of an attempt at any of the replicas, or nil.
func ran(id string, replicas ...*replica) (*run, *replica) {
	for _, r := range replicas {
		r.mu.Lock()
		found := r.runs[id]
		r.mu.Unlock()
		if found != nil {
			return found, r
		}
	}
	return nil, nil
}

// plain returns a service that works for the given time and answers with a body that names the attempt.
func plain(work time.Duration) func(*call) bool {
	return func(c *call) bool {
		body, err := io.ReadAll(c.Body)
		if err != nil {
			return false
		}
		c.body = body
		started := c.begin()
		time.Sleep(work)
		content := "answer to " + c.id + "\n"
		_, err = fmt.Fprintf(c.conn, "HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\nX-Response-Stamp: %s\r\nContent-Length: %d\r\n\r\n%s", c.id, c.stamp(), len(content), content)
		c.end(started, err == nil)
		return err == nil
	}
}

// generation returns a model server that sends events after reading the prompt. The header Test-Events of the client names
// their number.
func generation(prefill, gap time.Duration) func(*call) bool {
	return func(c *call) bool {
		if _, err := io.ReadAll(c.Body); err != nil {
			return false
		}
		if c.Header.Get("Kv-From") != "" {
			fmt.Fprintf(c.conn, "HTTP/1.1 503 Service Unavailable\r\nX-Attempt-Id: %s\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n", c.id)
			return true
		}
		events, _ := strconv.Atoi(c.Header.Get("Test-Events"))
		started := c.begin()
		time.Sleep(prefill)
		_, err := fmt.Fprintf(c.conn, "HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\nX-Response-Stamp: %s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n", c.id, c.stamp())
		for i := 1; i <= events && err == nil; i++ {
			if i > 1 {
				time.Sleep(gap)
			}
			event := fmt.Sprintf("id: %d\ndata: piece %d of %s\n\n", i, i, c.id)
			_, err = fmt.Fprintf(c.conn, "%x\r\n%s\r\n", len(event), event)
		}
		if err == nil {
			_, err = io.WriteString(c.conn, "0\r\n\r\n")
		}
		c.end(started, err == nil)
		return err == nil
	}
}
