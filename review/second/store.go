package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// store stands in for the platform's metadata store (PROTOCOL.md, "The platform's metadata store"; letter 5 for the copy from
// which it may come back).
type store struct {
	mu       sync.Mutex
	revision uint64
	era      uint64
	away     bool
	events   []storeEvent
	objects  map[string]storeEvent
	changed  chan struct{}
	// onWatch is called with the name of the VM at each watch of the list of replicas; nil for nothing.
	onWatch func(vm string)
}

// storeEvent is one change of an object.
type storeEvent struct {
	at       time.Time
	revision uint64
	kind     string
	name     string
	spec     json.RawMessage
	deleted  bool
}

func newStore() *store {
	return &store{revision: 1000, era: 1, objects: make(map[string]storeEvent), changed: make(chan struct{})}
}

// apply records a change. The caller holds mu.
func (s *store) apply(kind, name string, spec json.RawMessage, deleted bool) storeEvent {
	s.revision++
	event := storeEvent{at: time.Now(), revision: s.revision, kind: kind, name: name, spec: spec, deleted: deleted}
	s.events = append(s.events, event)
	s.set(event)
	close(s.changed)
	s.changed = make(chan struct{})
	return event
}

func (s *store) set(event storeEvent) {
	if event.deleted {
		delete(s.objects, event.kind+"/"+event.name)
	} else {
		s.objects[event.kind+"/"+event.name] = event
	}
}

// write writes an object for a replica or the operator, and returns its revision; zero while the store is away.
func (s *store) write(kind, name string, spec any) uint64 {
	text, _ := json.Marshal(spec)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.away {
		return 0
	}
	return s.apply(kind, name, text, false).revision
}

// remove removes an object and returns the revision; zero while the store is away.
func (s *store) remove(kind, name string) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.away {
		return 0
	}
	return s.apply(kind, name, nil, true).revision
}

func (s *store) current() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.revision
}

// goAway ends all calls and refuses new ones.
func (s *store) goAway() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.away = true
	close(s.changed)
	s.changed = make(chan struct{})
}

// comeBack returns from the copy that was made at the given time: what was written since is gone, revisions go back and the era
// rises by one.
func (s *store) comeBack(copiedAt time.Time) (lost, revision uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	lost = s.revision
	kept := 0
	s.objects = make(map[string]storeEvent)
	for _, event := range s.events {
		if event.at.After(copiedAt) {
			break
		}
		kept++
		s.set(event)
		s.revision = event.revision
	}
	s.events = s.events[:kept]
	s.era++
	s.away = false
	return lost, s.revision
}

// handler serves the store to one VM.
func (s *store) handler(vm string) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		away, era := s.away, s.era
		s.mu.Unlock()
		if away {
			panic(http.ErrAbortHandler)
		}
		w.Header().Set("Store-Era", strconv.FormatUint(era, 10))
		w.Header().Set("Content-Type", "application/json")
		kind, name, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/v1/objects/"), "/")
		switch {
		case r.Method == http.MethodGet && name == "" && r.URL.Query().Has("watch"):
			s.watch(w, r, vm, kind)
		case r.Method == http.MethodGet && name == "":
			s.list(w, kind)
		case r.Method == http.MethodGet:
			s.get(w, kind, name)
		default:
			s.change(w, r, kind, name)
		}
	})
}

func (e storeEvent) wire() map[string]any {
	return map[string]any{"metadata": map[string]any{"name": e.name, "revision": e.revision, "created": e.at.UnixMilli(), "finalizers": []string{}, "deleting": false}, "spec": e.spec, "status": nil}
}

func answer(w http.ResponseWriter, status int, body any) {
	text, _ := json.Marshal(body)
	w.WriteHeader(status)
	w.Write(text)
}

func (s *store) list(w http.ResponseWriter, kind string) {
	s.mu.Lock()
	var entries []map[string]any
	var names []string
	for _, object := range s.objects {
		if object.kind == kind {
			names = append(names, object.name)
		}
	}
	sort.Strings(names)
	for _, name := range names {
		entries = append(entries, s.objects[kind+"/"+name].wire())
	}
	revision := s.revision
	s.mu.Unlock()
	if entries == nil {
		entries = []map[string]any{}
	}
	answer(w, http.StatusOK, map[string]any{"entries": entries, "has_more": false, "as_of": revision})
}

func (s *store) get(w http.ResponseWriter, kind, name string) {
	s.mu.Lock()
	object, found := s.objects[kind+"/"+name]
	s.mu.Unlock()
	if !found {
		answer(w, http.StatusNotFound, map[string]any{"error": "no such object"})
		return
	}
	answer(w, http.StatusOK, object.wire())
}

func (s *store) watch(w http.ResponseWriter, r *http.Request, vm, kind string) {
	after, _ := strconv.ParseUint(r.URL.Query().Get("watch"), 10, 64)
	wait, _ := strconv.Atoi(r.URL.Query().Get("wait_ms"))
	if kind == "servers" && s.onWatch != nil {
		s.onWatch(vm)
	}
	timer := time.NewTimer(time.Duration(min(wait, 30000)) * time.Millisecond)
	defer timer.Stop()
	for {
		s.mu.Lock()
		if s.away {
			s.mu.Unlock()
			panic(http.ErrAbortHandler)
		}
		if after > s.revision {
			s.mu.Unlock()
			answer(w, http.StatusGone, map[string]any{"error": "this history is gone"})
			return
		}
		events := []map[string]any{}
		for _, event := range s.events {
			if event.kind == kind && event.revision > after {
				events = append(events, map[string]any{"object": event.wire(), "tombstone": event.deleted})
			}
		}
		revision, changed := s.revision, s.changed
		s.mu.Unlock()
		if len(events) > 0 {
			answer(w, http.StatusOK, map[string]any{"events": events, "as_of": revision})
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			answer(w, http.StatusOK, map[string]any{"events": events, "as_of": revision})
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) change(w http.ResponseWriter, r *http.Request, kind, name string) {
	text, _ := io.ReadAll(r.Body)
	var sent struct {
		Meta struct {
			Name     string `json:"name"`
			Revision uint64 `json:"revision"`
		} `json:"metadata"`
		Spec json.RawMessage `json:"spec"`
	}
	if len(text) > 0 && json.Unmarshal(text, &sent) != nil {
		answer(w, http.StatusBadRequest, map[string]any{"error": "no JSON"})
		return
	}
	expected := sent.Meta.Revision
	if value := r.URL.Query().Get("revision"); value != "" {
		fmt.Sscan(value, &expected)
	}
	if name == "" {
		name = sent.Meta.Name
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	current, found := s.objects[kind+"/"+name]
	switch {
	case s.away:
		panic(http.ErrAbortHandler)
	case r.Method == http.MethodPost && found, found && expected > 0 && expected != current.revision:
		answer(w, http.StatusConflict, current.wire())
	case r.Method != http.MethodPost && !found:
		answer(w, http.StatusNotFound, map[string]any{"error": "no such object"})
	case r.Method == http.MethodDelete:
		s.apply(kind, name, nil, true)
		answer(w, http.StatusOK, map[string]any{})
	case r.Method == http.MethodPut && string(current.spec) == string(sent.Spec):
		answer(w, http.StatusOK, current.wire())
	default:
		answer(w, http.StatusOK, s.apply(kind, name, sent.Spec, false).wire())
	}
}
