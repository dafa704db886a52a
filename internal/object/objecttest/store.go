// Package objecttest provides an in-memory object.Store with fault injection.
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

// Op is a method of the store.
type Op string

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

// Fault describes how one call fails. The zero Fault means that the call succeeds.
type Fault struct {
	// Unavailable fails the call without effect.
	Unavailable bool
	// Unanswered fails the call without effect once its time has run out, which is Delay.
	Unanswered bool
	// LoseRequest drops a write before it takes effect: the outcome is unknown to the writer.
	LoseRequest bool
	// LoseResponse drops the response of a write that took effect.
	LoseResponse bool
	// DeferWrite holds a write back until Flush: the outcome is unknown, and the write may still take effect.
	DeferWrite bool
	// Conflict makes another writer update the object first, without changing its value.
	Conflict bool
	// Delay is the time before the call is executed.
	Delay time.Duration
	// ResponseDelay is the time between the execution of a write and its response.
	ResponseDelay time.Duration
}

const (
	// retryAfter is the RetryAfter of each injected object.UnavailableError.
	retryAfter = 100 * time.Millisecond
	// watchWait is how long a watch waits for an event.
	watchWait = 20 * time.Second
)

var errInjected = errors.New("injected fault")

// Store is an in-memory object.Store. It is safe for concurrent use.
type Store struct {
	mu                sync.Mutex
	revision          uint64
	objects           map[string]object.Object
	events            []object.Object
	compactedRevision uint64
	changed           chan struct{}
	faults            func(Call) Fault
	outage            bool
	deferred          []func()
	counts            map[Op]int
	calls             int
}

var _ object.Store = (*Store)(nil)

// NewStore returns an empty store without faults. A test with synctest must call it inside its bubble, because the
// store's channels belong to the bubble that they are made in.
func NewStore() *Store {
	return &Store{
		objects: make(map[string]object.Object),
		changed: make(chan struct{}),
		counts:  make(map[Op]int),
	}
}

// SetFaults sets the function that chooses the fault of each call; nil means no faults.
func (s *Store) SetFaults(decide func(Call) Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = decide
}

// SetOutage makes every call fail with an UnavailableError, waiting watches included, until it is set to false.
func (s *Store) SetOutage(outage bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.outage = outage
	s.notify()
}

// SilenceWatches makes each watch from now on fail unanswered after the time.
func (s *Store) SilenceWatches(timeout time.Duration) {
	s.SetFaults(func(call Call) Fault {
		if call.Op != OpWatch {
			return Fault{}
		}
		return Fault{Unanswered: true, Delay: timeout}
	})
}

// LoseResponses drops the responses of the next n writes, which take effect.
func (s *Store) LoseResponses(n int) { s.injectWriteFaults(n, Fault{LoseResponse: true}) }

// LoseRequests drops the next n writes before they take effect.
func (s *Store) LoseRequests(n int) { s.injectWriteFaults(n, Fault{LoseRequest: true}) }

// InjectConflicts makes another writer update the object before each of the next n writes.
func (s *Store) InjectConflicts(n int) { s.injectWriteFaults(n, Fault{Conflict: true}) }

func (s *Store) injectWriteFaults(n int, fault Fault) {
	s.SetFaults(func(call Call) Fault {
		if n == 0 || (call.Op != OpPut && call.Op != OpDelete) {
			return Fault{}
		}
		n--
		return fault
	})
}

// Flush executes the deferred writes in the order in which they were sent. A write whose expected version is no longer
// current has no effect.
func (s *Store) Flush() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, write := range s.deferred {
		write()
	}
	s.deferred = nil
}

// Compact drops the history, so that a watch from an earlier revision must list again.
func (s *Store) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.events = nil
	s.compactedRevision = s.revision
	s.notify()
}

// Count returns the number of calls of the method.
func (s *Store) Count(op Op) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counts[op]
}

// Get implements object.Store.
func (s *Store) Get(ctx context.Context, key string) (object.Object, error) {
	if _, err := s.beginCall(ctx, OpGet, key); err != nil {
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
	if _, err := s.beginCall(ctx, OpList, prefix); err != nil {
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
	if _, err := s.beginCall(ctx, OpWatch, prefix); err != nil {
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
	batch := object.Batch{Revision: s.revision, Compacted: after < s.compactedRevision}
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

// beginCall counts a call, chooses its fault and applies the part of it that precedes the call's effect.
func (s *Store) beginCall(ctx context.Context, op Op, key string) (Fault, error) {
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
	if fault.Unanswered {
		return fault, object.NewUnavailableError(retryAfter, false, context.DeadlineExceeded)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.outage || fault.Unavailable {
		return fault, object.NewUnavailableError(retryAfter, false, errInjected)
	}
	return fault, nil
}

func (s *Store) write(ctx context.Context, op Op, next object.Object, expected uint64) (object.Object, error) {
	fault, err := s.beginCall(ctx, op, next.Key)
	if err != nil {
		return object.Object{}, err
	}
	defer pause.For(ctx, fault.ResponseDelay)
	s.mu.Lock()
	defer s.mu.Unlock()
	if fault.DeferWrite {
		s.deferred = append(s.deferred, func() { _, _ = s.apply(next, expected) })
	}
	if fault.DeferWrite || fault.LoseRequest {
		return object.Object{}, object.NewUnknownOutcomeError(next.Key, errInjected)
	}
	if fault.Conflict {
		s.touch(next.Key)
	}
	written, err := s.apply(next, expected)
	if fault.LoseResponse {
		return object.Object{}, object.NewUnknownOutcomeError(next.Key, errInjected)
	}
	return written, err
}

// touch gives an object a new version with the same value, unless it does not exist; the caller holds mu.
func (s *Store) touch(key string) {
	if current, ok := s.objects[key]; ok {
		_, _ = s.apply(current, current.Version)
	}
}

// apply executes a write if the object has the expected version; the caller holds mu.
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

// notify wakes waiting watches; the caller holds mu.
func (s *Store) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func clone(original object.Object) object.Object {
	original.Value = slices.Clone(original.Value)
	return original
}
