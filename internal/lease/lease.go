// Package lease implements leases with fencing tokens in the platform's object API.
//
// A lease is one object. Its holder renews it by conditional update, and measures its validity on its
// own clock from before the renewal was sent. Another VM takes the lease over only after it has seen
// the same version for a whole term on its own monotonic clock, or after the holder has released it.
// Clocks of different VMs are never compared.
//
// The fencing token is the object's version when the lease was acquired. Versions are store revisions,
// so they increase even if the object was deleted in between.
package lease

import (
	"encoding/json"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"godwitcart/internal/apierror"
	"godwitcart/internal/object"
)

// Prefix is the key prefix of stored leases.
const Prefix = "leases/"

// Record is a lease as stored.
type Record struct {
	// Holder is empty after a release.
	Holder string `json:"holder,omitempty"`
	// Fencing is the fencing token. It is zero in the write that acquired the lease; the object's
	// version is the token then.
	Fencing uint64 `json:"fencing,omitempty"`
	// TermMillis is the holder's lease term in milliseconds.
	TermMillis int64 `json:"term_millis"`
	// Renewals starts at a random number and increases with each renewal and the release. It
	// identifies a write whose response was lost.
	Renewals uint64 `json:"renewals"`
}

// Parse decodes a lease from its object. It returns a zero Record if the object does not exist.
func Parse(stored object.Object) (Record, error) {
	var record Record
	if stored.Version == 0 {
		return record, nil
	}
	if err := json.Unmarshal(stored.Value, &record); err != nil {
		return Record{}, errors.Wrapf(err, "decode lease %q", stored.Key)
	}
	if record.Fencing == 0 {
		record.Fencing = stored.Version
	}
	return record, nil
}

func (r Record) encode() ([]byte, error) {
	value, err := json.Marshal(r)
	return value, errors.Wrap(err, "encode lease")
}

// HeldError is returned if another VM holds the lease.
type HeldError struct {
	Name, Holder string
	// RetryAfter is the delay after which the lease can be taken over if its holder does not renew it.
	RetryAfter time.Duration
}

// Error implements error.
func (e *HeldError) Error() string { return e.Unwrap().Error() }

// Unwrap returns the error as an apierror.Error.
func (e *HeldError) Unwrap() error {
	return apierror.Newf(apierror.KindConflict, "leave the duty to the holder, or ask again later",
		"lease %q is held by %q", e.Name, e.Holder).WithRetryAfter(e.RetryAfter)
}

// Lease is a lease that this VM acquired. It is safe for concurrent use.
type Lease struct {
	manager *Manager
	name    string
	fencing uint64
	// predecessorExpiry is the time from which no earlier holder considers the lease valid.
	predecessorExpiry time.Time

	mu       sync.Mutex
	version  uint64
	renewals uint64
	// validFrom is the time just before the last successful write was sent.
	validFrom time.Time
	ended     bool
	lost      chan struct{}
}

func (l *Lease) Name() string { return l.name }

// Fencing returns the fencing token, which is higher than that of every earlier holder.
func (l *Lease) Fencing() uint64 { return l.fencing }

// PredecessorExpiry returns the time, on this VM's clock, from which no earlier holder considers the
// lease valid.
func (l *Lease) PredecessorExpiry() time.Time { return l.predecessorExpiry }

// Valid reports whether this VM holds the lease at the time now, which must come from time.Now.
func (l *Lease) Valid(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return !l.ended && l.withinTerm(now)
}

// withinTerm checks both the monotonic and the wall clock: the monotonic clock may stop while a VM is
// suspended, and the wall clock may be set back.
func (l *Lease) withinTerm(now time.Time) bool {
	monotonic := now.Sub(l.validFrom)
	wall := now.Round(0).Sub(l.validFrom.Round(0))
	return max(monotonic, wall) < l.manager.options.Term
}

// ValidUntil returns the time at which the lease expires without a further renewal.
func (l *Lease) ValidUntil() time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.validFrom.Add(l.manager.options.Term)
}

// Lost returns a channel that is closed when the lease is lost or released.
func (l *Lease) Lost() <-chan struct{} { return l.lost }

func (l *Lease) end() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.ended {
		l.ended = true
		close(l.lost)
	}
}
