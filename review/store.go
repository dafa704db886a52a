package main

import (
	"encoding/json"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// store is the platform's metadata store as PROTOCOL.md describes it, as far as the daemon uses it.
type store struct {
	address string

	mu       sync.Mutex
	revision uint64
	era      uint64
	objects  map[string]object // by KIND/NAME
	history  []change
	changed  chan struct{}
	away     bool // closes all channels
	busy     bool // answers 503
}

type object struct {
	Revision uint64
	Spec     json.RawMessage
}

type change struct {
	key     string
	object  object
	deleted bool
}

// snapshot is a copy of what the store holds.
type snapshot struct {
	revision uint64
	objects  map[string]object
	history  []change
}

func newStore(address string) *store {
	s := &store{address: address, revision: 100, era: 1, objects: make(map[string]object), changed: make(chan struct{})}
	listener, err := net.Listen("tcp4", address)
	check(err)
	go func() { _ = http.Serve(listener, s) }()
	return s
}

// put writes an object as the operator or a replica does, and returns when the store has confirmed it.
func (s *store) put(key string, spec any) time.Time {
	encoded, err := json.Marshal(spec)
	check(err)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.write(key, encoded)
	return time.Now()
}

func (s *store) write(key string, spec json.RawMessage) object {
	s.revision++
	written := object{Revision: s.revision, Spec: spec}
	s.objects[key] = written
	s.notify(change{key: key, object: written})
	return written
}

func (s *store) delete(key string) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, found := s.objects[key]; found {
		s.revision++
		delete(s.objects, key)
		s.notify(change{key: key, object: object{Revision: s.revision}, deleted: true})
	}
	return time.Now()
}

func (s *store) notify(c change) {
	s.history = append(s.history, c)
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) currentRevision() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.revision
}

func (s *store) copy() snapshot {
	s.mu.Lock()
	defer s.mu.Unlock()
	objects := make(map[string]object)
	for key, o := range s.objects {
		objects[key] = o
	}
	return snapshot{revision: s.revision, objects: objects, history: slices.Clone(s.history)}
}

// drill takes the store away for the given time and brings it back from the copy: what was written since is gone, revisions
// go back, and the era rises by one. A store that is away closes all channels.
func (s *store) drill(away time.Duration, from snapshot) {
	s.mu.Lock()
	s.away = true
	close(s.changed)
	s.changed = make(chan struct{})
	s.mu.Unlock()
	time.Sleep(away)
	s.mu.Lock()
	s.revision, s.objects, s.history = from.revision, make(map[string]object), slices.Clone(from.history)
	for key, o := range from.objects {
		s.objects[key] = o
	}
	s.era++
	s.away = false
	s.mu.Unlock()
}

// setBusy makes the store answer every call with 503, or serve again.
func (s *store) setBusy(busy bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.busy = busy
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	key := strings.TrimPrefix(r.URL.Path, "/v1/objects/")
	query := r.URL.Query()
	s.mu.Lock()
	away, busy, era := s.away, s.busy, s.era
	s.mu.Unlock()
	if away {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Store-Era", strconv.FormatUint(era, 10))
	if busy {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	switch {
	case r.Method == http.MethodGet && query.Has("watch"):
		s.watch(w, r, key)
	case r.Method == http.MethodGet && strings.Contains(key, "/"):
		s.get(w, key)
	case r.Method == http.MethodGet:
		s.list(w, key, query.Get("after_revision"))
	case r.Method == http.MethodPost || r.Method == http.MethodPut:
		s.store(w, r, key)
	default:
		http.Error(w, "not served", http.StatusMethodNotAllowed)
	}
}

type wireObject struct {
	Metadata struct {
		Name       string   `json:"name"`
		Revision   uint64   `json:"revision"`
		Created    uint64   `json:"created"`
		Finalizers []string `json:"finalizers"`
		Deleting   bool     `json:"deleting"`
	} `json:"metadata"`
	Spec   json.RawMessage `json:"spec"`
	Status any             `json:"status"`
}

func toWire(key string, o object) wireObject {
	var out wireObject
	_, out.Metadata.Name, _ = strings.Cut(key, "/")
	out.Metadata.Revision, out.Metadata.Finalizers, out.Spec = o.Revision, []string{}, o.Spec
	return out
}

func answer(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

func (s *store) get(w http.ResponseWriter, key string) {
	s.mu.Lock()
	o, found := s.objects[key]
	s.mu.Unlock()
	if !found {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	answer(w, http.StatusOK, toWire(key, o))
}

func (s *store) list(w http.ResponseWriter, kind, after string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	entries := []wireObject{}
	for key, o := range s.objects {
		if name, found := strings.CutPrefix(key, kind+"/"); found && name > after {
			entries = append(entries, toWire(key, o))
		}
	}
	slices.SortFunc(entries, func(a, b wireObject) int { return strings.Compare(a.Metadata.Name, b.Metadata.Name) })
	answer(w, http.StatusOK, map[string]any{"entries": entries, "has_more": false, "as_of": s.revision})
}

func (s *store) watch(w http.ResponseWriter, r *http.Request, kind string) {
	after, _ := strconv.ParseUint(r.URL.Query().Get("watch"), 10, 64)
	wait, _ := strconv.Atoi(r.URL.Query().Get("wait_ms"))
	deadline := time.After(time.Duration(min(wait, 30_000)) * time.Millisecond)
	for {
		s.mu.Lock()
		changed, revision, away, busy := s.changed, s.revision, s.away, s.busy
		events := []map[string]any{}
		for _, c := range s.history {
			if strings.HasPrefix(c.key, kind+"/") && c.object.Revision > after {
				events = append(events, map[string]any{"object": toWire(c.key, c.object), "tombstone": c.deleted})
			}
		}
		s.mu.Unlock()
		switch {
		case away:
			panic(http.ErrAbortHandler)
		case busy:
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		case after > revision:
			w.WriteHeader(http.StatusGone)
			return
		case len(events) > 0:
			answer(w, http.StatusOK, map[string]any{"events": events, "as_of": revision})
			return
		}
		select {
		case <-changed:
		case <-deadline:
			answer(w, http.StatusOK, map[string]any{"events": events, "as_of": revision})
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) store(w http.ResponseWriter, r *http.Request, key string) {
	body, err := io.ReadAll(r.Body)
	var in wireObject
	if err != nil || json.Unmarshal(body, &in) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if r.Method == http.MethodPost {
		key += "/" + in.Metadata.Name
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	known, found := s.objects[key]
	switch {
	case r.Method == http.MethodPost && found, r.Method == http.MethodPut && found && in.Metadata.Revision != 0 && in.Metadata.Revision != known.Revision:
		answer(w, http.StatusConflict, toWire(key, known))
	case r.Method == http.MethodPut && !found:
		w.WriteHeader(http.StatusNotFound)
	default:
		answer(w, http.StatusOK, toWire(key, s.write(key, in.Spec)))
	}
}
