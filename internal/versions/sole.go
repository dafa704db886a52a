package versions

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"godwitcart/internal/object"
)

// recordRead is one read of a record. Its result is valid once done is closed.
type recordRead struct {
	done   chan struct{}
	stored record
	err    error
}

// Sole returns the software version of the service at which all its streams have begun that may still be resumed. found is false if
// there may be several. The error is marked with ErrUnknown if the store does not tell. The record is read after the call, so
// what this VM has missed before does not matter; callers that come together share a read.
func (r *Registry) Sole(ctx context.Context, name string) (version string, found bool, err error) {
	read := r.startRead(name)
	timer := time.NewTimer(soleTimeout)
	defer timer.Stop()
	select {
	case <-read.done:
	case <-timer.C:
		r.metrics.unknown.Inc(1)
		return "", false, errors.Mark(errors.New("the platform's store did not answer in time"), ErrUnknown)
	case <-ctx.Done():
		return "", false, ctx.Err()
	}
	if read.err != nil {
		r.metrics.unknown.Inc(1)
		return "", false, errors.Mark(read.err, ErrUnknown)
	}
	version, found = read.stored.sole()
	if found {
		r.metrics.sole.Inc(1)
	} else {
		r.metrics.several.Inc(1)
	}
	return version, found, nil
}

// startRead returns a read of the record that begins after the call.
func (r *Registry) startRead(name string) *recordRead {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.services[name]
	if s == nil {
		unknown := &recordRead{done: make(chan struct{}), err: errors.Newf("no target of service %q has been listed", name)}
		close(unknown.done)
		return unknown
	}
	if s.next != nil {
		return s.next
	}
	begun := &recordRead{done: make(chan struct{})}
	if s.read != nil {
		s.next = begun
		return begun
	}
	s.read = begun
	go r.readRecord(name, s, begun)
	return begun
}

// readRecord reads the record, and then again as long as callers wait for a later read.
func (r *Registry) readRecord(name string, s *service, read *recordRead) {
	for read != nil {
		ctx, cancel := context.WithTimeout(context.Background(), soleTimeout)
		stored, err := r.options.Store.Get(ctx, recordKey(name))
		cancel()
		if object.IsNotFound(err) {
			err = errors.Newf("the versions of service %q have not been recorded", name)
		}
		if err == nil {
			read.stored, err = decodeRecord(stored.Value)
		}
		read.err = err
		r.mu.Lock()
		close(read.done)
		s.read, s.next = s.next, nil
		read = s.read
		r.mu.Unlock()
	}
}
