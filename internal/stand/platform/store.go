package platform

import (
	"context"
	"sort"
	"strings"
	"sync"
	"time"

	"godwitcart/internal/wire/platformwire"
)

// maxEvents limits the change events that are kept for watches.
const maxEvents = 20_000

// store holds versioned objects and the log of their changes.
// Invariant: events are sorted by version, and revision is the version of the newest event.
type store struct {
	mu       sync.Mutex
	revision uint64
	objects  map[string]platformwire.Object
	events   []platformwire.Object
	// compactedVersion is the version of the newest event that was dropped from the log.
	compactedVersion uint64
	// changed is closed and replaced at every change, to wake the watches.
	changed chan struct{}
}

func newStore() *store {
	return &store{
		objects: make(map[string]platformwire.Object),
		changed: make(chan struct{}),
	}
}

// get returns the object. A Version of zero means that it does not exist.
func (s *store) get(key string) platformwire.Object {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.currentObject(key)
}

func (s *store) currentObject(key string) platformwire.Object {
	object, ok := s.objects[key]
	if !ok {
		return platformwire.Object{Key: key}
	}
	return object
}

// put stores the value if the object's version equals expected. It returns the resulting object, or the unchanged one,
// and whether the write was applied.
func (s *store) put(key string, value []byte, expected uint64) (platformwire.Object, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	current := s.currentObject(key)
	if current.Version != expected {
		return current, false
	}
	object := platformwire.Object{Key: key, Version: s.revision + 1, Value: value}
	s.objects[key] = object
	s.appendEvent(object)
	return object, true
}

// remove deletes the object if it exists and its version equals expected.
func (s *store) remove(key string, expected uint64) (platformwire.Object, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	current := s.currentObject(key)
	if current.Version == 0 || current.Version != expected {
		return current, false
	}
	delete(s.objects, key)
	tombstone := platformwire.Object{Key: key, Version: s.revision + 1, Deleted: true}
	s.appendEvent(tombstone)
	return tombstone, true
}

func (s *store) appendEvent(event platformwire.Object) {
	s.revision = event.Version
	s.events = append(s.events, event)
	if len(s.events) > maxEvents {
		dropped := maxEvents / 2
		s.compactedVersion = s.events[dropped-1].Version
		s.events = append([]platformwire.Object(nil), s.events[dropped:]...)
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) list(prefix string) platformwire.ListResponse {
	s.mu.Lock()
	defer s.mu.Unlock()
	response := platformwire.ListResponse{Revision: s.revision, Objects: []platformwire.Object{}}
	for key, object := range s.objects {
		if strings.HasPrefix(key, prefix) {
			response.Objects = append(response.Objects, object)
		}
	}
	sort.Slice(response.Objects, func(i, j int) bool {
		return response.Objects[i].Key < response.Objects[j].Key
	})
	return response
}

// watch waits for changes to keys with the prefix after the given revision and returns them. The response is empty when
// wait or ctx ends first, and Compacted is set when the log no longer covers the revision.
func (s *store) watch(ctx context.Context, prefix string, after uint64, wait time.Duration) platformwire.WatchResponse {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		response, changed := s.changesAfter(prefix, after)
		if len(response.Events) > 0 || response.Compacted {
			return response
		}
		select {
		case <-changed:
		case <-timer.C:
			return response
		case <-ctx.Done():
			return response
		}
	}
}

func (s *store) changesAfter(prefix string, after uint64) (platformwire.WatchResponse, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	response := platformwire.WatchResponse{Revision: s.revision, Events: []platformwire.Object{}}
	if after < s.compactedVersion || after > s.revision {
		response.Compacted = true
		return response, s.changed
	}
	first := sort.Search(len(s.events), func(i int) bool { return s.events[i].Version > after })
	for _, event := range s.events[first:] {
		if strings.HasPrefix(event.Key, prefix) {
			response.Events = append(response.Events, event)
		}
	}
	return response, s.changed
}
