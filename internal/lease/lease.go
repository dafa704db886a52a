// Package lease keeps leases with fencing numbers in the platform's object API.
//
// A lease is one object. Its holder renews it by conditional update and counts
// its validity on its own clock from before the call was sent. Another VM takes
// the lease over only after it has seen the same version for a whole term on
// its own monotonic clock, or after the holder has released it. No two VMs'
// clocks are ever compared.
//
// The fencing number is the object's version at the taking over. It is a
// revision of the store and so only rises, even where the object was deleted.
package lease

import (
	"encoding/json"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"godwitcart/internal/apierror"
	"godwitcart/internal/object"
)

// Prefix is where leases are stored.
const Prefix = "leases/"

// Info is a lease as it is stored.
type Info struct {
	// Holder is empty after a release.
	Holder string `json:"holder,omitempty"`
	// Fencing is zero in the write that took the lease over; the object's version is the number then.
	Fencing uint64 `json:"fencing,omitempty"`
	// TermMillis is the term that the holder counts with, in milliseconds.
	TermMillis int64 `json:"term_millis"`
	// Renewals counts the holder's writes, so that each of them is known apart.
	Renewals uint64 `json:"renewals"`
}

// Parse reads a lease from its object.
func Parse(stored object.Object) (Info, error) {
	var info Info
	if stored.Version == 0 {
		return info, nil
	}
	if err := json.Unmarshal(stored.Value, &info); err != nil {
		return Info{}, errors.Wrapf(err, "decode lease %q", stored.Key)
	}
	if info.Fencing == 0 {
		info.Fencing = stored.Version
	}
	return info, nil
}

func (i Info) encode() ([]byte, error) {
	value, err := json.Marshal(i)
	return value, errors.Wrap(err, "encode lease")
}

// HeldError says that another VM holds the lease.
type HeldError struct {
	Name, Holder string
	// RetryAfter is when the lease could be taken over if its holder were gone.
	RetryAfter time.Duration
}

// Error implements error.
func (e *HeldError) Error() string { return e.Unwrap().Error() }

// Unwrap returns the apierror.Error.
func (e *HeldError) Unwrap() error {
	return apierror.Newf(apierror.KindConflict, "leave the duty to the holder, or ask again later",
		"lease %q is held by %q", e.Name, e.Holder).WithRetryAfter(e.RetryAfter)
}

// Lease is a lease that this VM took. It is safe for concurrent use.
type Lease struct {
	manager *Manager
	name    string
	fencing uint64
	// predecessorEnd is when the last earlier holder's validity had certainly ended.
	predecessorEnd time.Time

	mu       sync.Mutex
	version  uint64
	renewals uint64
	// validFrom is the time before the last successful call was sent.
	validFrom time.Time
	over      bool
	lost      chan struct{}
}

// Name returns the lease's name.
func (l *Lease) Name() string { return l.name }

// Fencing returns the fencing number, which is higher than every earlier holder's.
func (l *Lease) Fencing() uint64 { return l.fencing }

// PredecessorEnd returns the time, by this VM's clock, from which no earlier holder can
// believe that it holds the lease.
func (l *Lease) PredecessorEnd() time.Time { return l.predecessorEnd }

// Valid reports whether this VM holds the lease at the time now, which must be a reading of
// time.Now.
func (l *Lease) Valid(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return !l.over && l.within(now)
}

// within compares both clocks: the monotonic one may stand still while a VM is suspended, and
// the wall clock may be set back.
func (l *Lease) within(now time.Time) bool {
	monotonic := now.Sub(l.validFrom)
	wall := now.Round(0).Sub(l.validFrom.Round(0))
	return max(monotonic, wall) < l.manager.options.Term
}

// Until returns the end of the validity as it stands.
func (l *Lease) Until() time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.validFrom.Add(l.manager.options.Term)
}

// Lost is closed when the lease was lost or released.
func (l *Lease) Lost() <-chan struct{} { return l.lost }

// end marks the lease as over.
func (l *Lease) end() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.over {
		l.over = true
		close(l.lost)
	}
}
