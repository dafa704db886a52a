package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// run is one request that a replica began to work on.
type run struct {
	attempt, replica, tenant string
	at                       time.Time
}

// replica is a stand-in of a replica of a plain service.
type replica struct {
	world   *world
	id      string
	service string
	zone    string
	born    int64
	address string
	slots   int
	server  *http.Server

	mu   sync.Mutex
	runs []run
	// work answers a request that runs; nil stands for a short answer.
	work func(rw http.ResponseWriter, r *http.Request)
	// before is called with each request before it runs; if it returns true, it has answered.
	before func(rw http.ResponseWriter, r *http.Request) bool
}

func (w *world) newReplica(service, id, zone string) *replica {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		fatal("replica: %v", err)
	}
	r := &replica{world: w, id: id, service: service, zone: zone, born: time.Now().UnixMilli(), address: listener.Addr().String(), slots: 100}
	r.server = &http.Server{Handler: r}
	go r.server.Serve(listener)
	return r
}

// register writes the entry of the replica.
func (r *replica) register(state string) uint64 {
	return r.world.store.put("servers", r.id, map[string]any{
		"service": r.service, "address": r.address, "zone": r.zone, "version": "v1", "slots": r.slots, "state": state,
		"cold_remaining_ms": 0, "stage": "mixed", "models": []any{}, "sequence": 1, "born": r.born,
	})
}

// ServeHTTP implements http.Handler.
func (r *replica) ServeHTTP(rw http.ResponseWriter, request *http.Request) {
	if expected := request.Header.Get("X-Expect-Instance"); expected != "" && expected != r.id {
		rw.Header().Set("X-Instance-Id", r.id)
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	attempt := request.Header.Get("X-Attempt-Id")
	rw.Header().Set("X-Attempt-Id", attempt)
	if r.before != nil && r.before(rw, request) {
		return
	}
	body, err := io.ReadAll(request.Body)
	if err != nil {
		return // a request that is not whole does not run
	}
	r.mu.Lock()
	r.runs = append(r.runs, run{attempt: attempt, replica: r.id, tenant: request.Header.Get("X-Tenant"), at: time.Now()})
	r.mu.Unlock()
	r.world.log("run %s at %s: %s %s, tenant %q, %d bytes", attempt, r.id, request.Method, request.RequestURI, request.Header.Get("X-Tenant"), len(body))
	rw.Header().Set("X-Response-Stamp", "stamp."+r.id+"."+attempt)
	if r.work != nil {
		r.work(rw, request)
		return
	}
	fmt.Fprintf(rw, "answer to %s by %s\n", attempt, r.id)
}
