package main

import (
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// object is one object of the store.
type object struct {
	name     string
	revision uint64
	created  uint64
	spec     json.RawMessage
}

func (o object) wire() map[string]any {
	return map[string]any{
		"metadata": map[string]any{"name": o.name, "revision": o.revision, "created": o.created, "finalizers": []string{}, "deleting": false},
		"spec":     o.spec, "status": nil,
	}
}

// event is one change in the history of the store.
type event struct {
	kind      string
	object    object
	tombstone bool
}

// store is a stand-in of the platform's metadata store.
type store struct {
	mu       sync.Mutex
	revision uint64
	objects  map[string]map[string]object
	history  []event
	changed  chan struct{}
}

func newStore() *store {
	return &store{revision: 1000, objects: make(map[string]map[string]object), changed: make(chan struct{})}
}

// put writes an object as the operator or a replica does, and returns its revision.
func (s *store) put(kind, name string, spec any) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	encoded, err := json.Marshal(spec)
	if err != nil {
		panic(err)
	}
	return s.write(kind, name, encoded).revision
}

// write requires the lock.
func (s *store) write(kind, name string, spec json.RawMessage) object {
	if s.objects[kind] == nil {
		s.objects[kind] = make(map[string]object)
	}
	old, found := s.objects[kind][name]
	if found && string(old.spec) == string(spec) {
		return old
	}
	s.revision++
	written := object{name: name, revision: s.revision, created: s.revision, spec: spec}
	if found {
		written.created = old.created
	}
	s.objects[kind][name] = written
	s.append(event{kind: kind, object: written})
	return written
}

// delete requires the lock.
func (s *store) delete(kind, name string) bool {
	old, found := s.objects[kind][name]
	if !found {
		return false
	}
	delete(s.objects[kind], name)
	s.revision++
	old.revision = s.revision
	s.append(event{kind: kind, object: old, tombstone: true})
	return true
}

// append requires the lock.
func (s *store) append(e event) {
	s.history = append(s.history, e)
	close(s.changed)
	s.changed = make(chan struct{})
}

// listen serves the store to one VM on an address of its own, which it returns.
func (s *store) listen() string {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		fatal("store: %v", err)
	}
	go http.Serve(listener, s)
	return listener.Addr().String()
}

// ServeHTTP implements http.Handler.
func (s *store) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	kind, name, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/v1/objects/"), "/")
	query := r.URL.Query()
	switch {
	case r.Method == http.MethodGet && query.Get("watch") != "":
		s.serveWatch(rw, r, kind)
	case r.Method == http.MethodGet && name == "":
		s.serveList(rw, kind, query.Get("after_revision"))
	case r.Method == http.MethodGet:
		s.mu.Lock()
		found, ok := s.objects[kind][name]
		s.mu.Unlock()
		if !ok {
			rw.WriteHeader(http.StatusNotFound)
			return
		}
		reply(rw, http.StatusOK, found.wire())
	default:
		s.serveWrite(rw, r, kind, name)
	}
}

func reply(rw http.ResponseWriter, status int, body any) {
	rw.Header().Set("Content-Type", "application/json")
	rw.WriteHeader(status)
	_ = json.NewEncoder(rw).Encode(body)
}

const pageSize = 500

func (s *store) serveList(rw http.ResponseWriter, kind, after string) {
	s.mu.Lock()
	var names []string
	for name := range s.objects[kind] {
		if name > after {
			names = append(names, name)
		}
	}
	sort.Strings(names)
	more := len(names) > pageSize
	if more {
		names = names[:pageSize]
	}
	entries := []any{}
	for _, name := range names {
		entries = append(entries, s.objects[kind][name].wire())
	}
	asOf := s.revision
	s.mu.Unlock()
	reply(rw, http.StatusOK, map[string]any{"entries": entries, "has_more": more, "as_of": asOf})
}

func (s *store) serveWatch(rw http.ResponseWriter, r *http.Request, kind string) {
	after, _ := strconv.ParseUint(r.URL.Query().Get("watch"), 10, 64)
	millis, _ := strconv.Atoi(r.URL.Query().Get("wait_ms"))
	end := time.After(time.Duration(min(millis, 30000)) * time.Millisecond)
	for {
		s.mu.Lock()
		events := []any{}
		for _, e := range s.history {
			if e.kind == kind && e.object.revision > after {
				events = append(events, map[string]any{"tombstone": e.tombstone, "object": e.object.wire()})
			}
		}
		asOf, changed := s.revision, s.changed
		s.mu.Unlock()
		if len(events) > 0 {
			reply(rw, http.StatusOK, map[string]any{"events": events, "as_of": asOf})
			return
		}
		select {
		case <-changed:
		case <-end:
			reply(rw, http.StatusOK, map[string]any{"events": events, "as_of": asOf})
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) serveWrite(rw http.ResponseWriter, r *http.Request, kind, name string) {
	var sent struct {
		Metadata struct {
			Name     string `json:"name"`
			Revision uint64 `json:"revision"`
		} `json:"metadata"`
		Spec json.RawMessage `json:"spec"`
	}
	if r.Method != http.MethodDelete {
		if err := json.NewDecoder(r.Body).Decode(&sent); err != nil {
			rw.WriteHeader(http.StatusBadRequest)
			return
		}
	}
	if r.Method == http.MethodPost {
		name = sent.Metadata.Name
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	current, found := s.objects[kind][name]
	expected := sent.Metadata.Revision
	if r.Method == http.MethodDelete {
		expected, _ = strconv.ParseUint(r.URL.Query().Get("revision"), 10, 64)
	}
	switch {
	case r.Method == http.MethodPost && found, r.Method != http.MethodPost && found && expected > 0 && expected != current.revision:
		reply(rw, http.StatusConflict, current.wire())
	case r.Method != http.MethodPost && !found:
		rw.WriteHeader(http.StatusNotFound)
	case r.Method == http.MethodDelete:
		s.delete(kind, name)
		reply(rw, http.StatusOK, map[string]any{})
	default:
		reply(rw, http.StatusOK, s.write(kind, name, sent.Spec).wire())
	}
}
