// Package objecttest provides an object.Store in memory whose faults tests switch on.
package objecttest

import (
	"context"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"godwitcart/internal/object"
	"godwitcart/internal/pause"
	"godwitcart/internal/wire/platformwire"
)

// Op names a method of the store.
type Op string

// The methods of the store.
const (
	OpGet    Op = "get"
	OpList   Op = "list"
	OpPut    Op = "put"
	OpDelete Op = "delete"
	OpWatch  Op = "watch"
)

// Call describes one call to the function set by SetFaults.
type Call struct {
	Op Op
	// Key is the object's key, or the prefix of a list or watch.
	Key string
	// Number counts the store's calls from one.
	Number int
}

// Fault is what happens to one call. The zero Fault is none.
type Fault struct {
	// Unavailable fails the call without effect.
	Unavailable bool
	// LoseRequest drops a write before it takes effect: the outcome is unknown to the writer.
	LoseRequest bool
	// LoseAnswer drops the answer of a write that took effect.
	LoseAnswer bool
	// Late keeps a write back until Flush: the outcome is unknown, and it may yet take effect.
	Late bool
	// Conflict has another writer touch the object first, without changing its value.
	Conflict bool
	// Delay is waited before the call is carried out.
	Delay time.Duration
	// AnswerDelay is waited after a write was carried out, before its answer.
	AnswerDelay time.Duration
}

const (
	// retryAfter is what an unavailable store tells its callers.
	retryAfter = 100 * time.Millisecond
	// watchWait bounds a watch without events.
	watchWait = 20 * time.Second
)

var errInjected = errors.New("injected fault")

// Store is an object.Store in memory. It is safe for concurrent use.
type Store struct {
	mu        sync.Mutex
	revision  uint64
	objects   map[string]object.Object
	events    []object.Object
	compacted uint64
	changed   chan struct{}
	faults    func(Call) Fault
	outage    bool
	late      []func()
	counts    map[Op]int
	calls     int
}

var _ object.Store = (*Store)(nil)

// NewStore returns an empty store without faults. Inside a synctest bubble, make it there.
func NewStore() *Store {
	return &Store{
		objects: make(map[string]object.Object),
		changed: make(chan struct{}),
		counts:  make(map[Op]int),
	}
}

// SetFaults makes decide choose the fault of every call; nil removes it.
func (s *Store) SetFaults(decide func(Call) Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = decide
}

// SetOutage makes every call unavailable, waiting watches included, until it is set to false.
func (s *Store) SetOutage(outage bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.outage = outage
	s.notify()
}

// LoseAnswers drops the answers of the next n writes, which take effect.
func (s *Store) LoseAnswers(n int) { s.faultWrites(n, Fault{LoseAnswer: true}) }

// LoseRequests drops the next n writes before they take effect.
func (s *Store) LoseRequests(n int) { s.faultWrites(n, Fault{LoseRequest: true}) }

// InjectConflicts has another writer come before each of the next n writes.
func (s *Store) InjectConflicts(n int) { s.faultWrites(n, Fault{Conflict: true}) }

func (s *Store) faultWrites(n int, fault Fault) {
	s.SetFaults(func(call Call) Fault {
		if n == 0 || (call.Op != OpPut && call.Op != OpDelete) {
			return Fault{}
		}
		n--
		return fault
	})
}

// Flush carries out the late writes, in the order in which they were sent, as far as their
// conditions still hold.
func (s *Store) Flush() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, write := range s.late {
		write()
	}
	s.late = nil
}

// Compact drops the history, so that a watch that is behind must list again.
func (s *Store) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.events = nil
	s.compacted = s.revision
	s.notify()
}

// Count returns how many calls of the method were made.
func (s *Store) Count(op Op) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counts[op]
}

// Get implements object.Store.
func (s *Store) Get(ctx context.Context, key string) (object.Object, error) {
	if _, err := s.enter(ctx, OpGet, key); err != nil {
		return object.Object{}, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	found, ok := s.objects[key]
	if !ok {
		return object.Object{}, &object.NotFoundError{Key: key}
	}
	return clone(found), nil
}

// List implements object.Store.
func (s *Store) List(ctx context.Context, prefix string) (object.Listing, error) {
	if _, err := s.enter(ctx, OpList, prefix); err != nil {
		return object.Listing{}, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	listing := object.Listing{Revision: s.revision}
	for _, key := range slices.Sorted(maps.Keys(s.objects)) {
		if strings.HasPrefix(key, prefix) {
			listing.Objects = append(listing.Objects, clone(s.objects[key]))
		}
	}
	return listing, nil
}

// Put implements object.Store.
func (s *Store) Put(ctx context.Context, key string, value []byte, expected uint64) (object.Object, error) {
	if len(value) > platformwire.MaxValueBytes {
		return object.Object{}, &object.TooLargeError{Key: key, Size: len(value), Limit: platformwire.MaxValueBytes}
	}
	next := object.Object{Key: key, Value: slices.Clone(value)}
	return s.write(ctx, OpPut, next, expected)
}

// Delete implements object.Store.
func (s *Store) Delete(ctx context.Context, key string, expected uint64) error {
	_, err := s.write(ctx, OpDelete, object.Object{Key: key, Deleted: true}, expected)
	return err
}

// Watch implements object.Store.
func (s *Store) Watch(ctx context.Context, prefix string, after uint64) (object.Batch, error) {
	if _, err := s.enter(ctx, OpWatch, prefix); err != nil {
		return object.Batch{}, err
	}
	timer := time.NewTimer(watchWait)
	defer timer.Stop()
	for {
		batch, changed, err := s.eventsAfter(prefix, after)
		if err != nil || batch.Compacted || len(batch.Events) > 0 {
			return batch, err
		}
		select {
		case <-changed:
		case <-timer.C:
			return batch, nil
		case <-ctx.Done():
			return object.Batch{}, object.NewUnavailableError(retryAfter, false, ctx.Err())
		}
	}
}

func (s *Store) eventsAfter(prefix string, after uint64) (object.Batch, <-chan struct{}, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.outage {
		return object.Batch{}, nil, object.NewUnavailableError(retryAfter, false, errInjected)
	}
	batch := object.Batch{Revision: s.revision, Compacted: after < s.compacted}
	if batch.Compacted {
		return batch, nil, nil
	}
	for _, event := range s.events {
		if event.Version > after && strings.HasPrefix(event.Key, prefix) {
			batch.Events = append(batch.Events, clone(event))
		}
	}
	return batch, s.changed, nil
}

// enter counts a call and decides and serves the faults that come before its effect.
func (s *Store) enter(ctx context.Context, op Op, key string) (Fault, error) {
	s.mu.Lock()
	s.calls++
	s.counts[op]++
	var fault Fault
	if s.faults != nil {
		fault = s.faults(Call{Op: op, Key: key, Number: s.calls})
	}
	s.mu.Unlock()
	pause.For(ctx, fault.Delay)
	if err := ctx.Err(); err != nil {
		return fault, object.NewUnavailableError(retryAfter, false, err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.outage || fault.Unavailable {
		return fault, object.NewUnavailableError(retryAfter, false, errInjected)
	}
	return fault, nil
}

func (s *Store) write(ctx context.Context, op Op, next object.Object, expected uint64) (object.Object, error) {
	fault, err := s.enter(ctx, op, next.Key)
	if err != nil {
		return object.Object{}, err
	}
	defer pause.For(ctx, fault.AnswerDelay)
	s.mu.Lock()
	defer s.mu.Unlock()
	if fault.Late {
		s.late = append(s.late, func() { _, _ = s.apply(next, expected) })
	}
	if fault.Late || fault.LoseRequest {
		return object.Object{}, object.NewUnknownOutcomeError(next.Key, errInjected)
	}
	if fault.Conflict {
		s.touch(next.Key)
	}
	written, err := s.apply(next, expected)
	if fault.LoseAnswer {
		return object.Object{}, object.NewUnknownOutcomeError(next.Key, errInjected)
	}
	return written, err
}

// touch writes an object's own value again; a missing object stays missing. The caller holds mu.
func (s *Store) touch(key string) {
	if current, ok := s.objects[key]; ok {
		_, _ = s.apply(current, current.Version)
	}
}

// apply carries out a write if its condition holds; the caller holds mu.
func (s *Store) apply(next object.Object, expected uint64) (object.Object, error) {
	current, ok := s.objects[next.Key]
	if current.Version != expected {
		current.Key = next.Key
		return object.Object{}, &object.ConflictError{Key: next.Key, Expected: expected, Current: clone(current)}
	}
	if next.Deleted && !ok {
		return object.Object{}, &object.NotFoundError{Key: next.Key}
	}
	s.revision++
	next.Version = s.revision
	if next.Deleted {
		delete(s.objects, next.Key)
	} else {
		s.objects[next.Key] = next
	}
	s.events = append(s.events, next)
	s.notify()
	return clone(next), nil
}

// notify wakes the waiting watches; the caller holds mu.
func (s *Store) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func clone(original object.Object) object.Object {
	original.Value = slices.Clone(original.Value)
	return original
}
