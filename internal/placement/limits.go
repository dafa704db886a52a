package placement

import (
	"math/rand/v2"
	"time"

	"godwitcart/internal/apierror"
	"godwitcart/internal/roster"
)

// Limiter decides which requests may be sent to targets that have named a request limit. Its methods do not block.
type Limiter interface {
	// MayTake reports whether a request may be sent to the target now.
	MayTake(target roster.Target, now time.Time) bool
	// Take counts a request that is sent to the target.
	Take(target roster.Target, now time.Time)
	// IsLimited reports whether requests to the target need permits.
	IsLimited(target roster.Target) bool
	// NamesLimit reports whether the target has named a limit. Other targets that need permits take transfers without.
	NamesLimit(target roster.Target) bool
	// IsCold reports whether the target has just started, or has become cold again, and takes few requests for a time.
	IsCold(target roster.Target, now time.Time) bool
	// Unreachable records that the target could not be reached and gets no requests of this VM until the given time.
	Unreachable(target roster.Target, until, now time.Time)
	// IsBrittle reports whether the target says that it falls over when it has to turn requests away.
	IsBrittle(target roster.Target) bool
	// Ask asks for a permit at the target. A request is urgent if no other target can take it; it needs the permit within
	// its patience.
	Ask(target roster.Target, urgent bool, patience time.Duration, now time.Time)
	// Wait returns the time until a permit at the target is expected, and whether asking is pointless until then.
	Wait(target roster.Target, now time.Time) (wait time.Duration, refused bool)
	// MaxWaiting returns how many requests of this VM may wait for permits at the target.
	MaxWaiting(target roster.Target, now time.Time) int
	// Describe returns the limit and its source for log lines; empty if the target has none.
	Describe(target roster.Target, now time.Time) string
}

// unlimited is the Limiter of a Table that is given none.
type unlimited struct{}

func (unlimited) MayTake(roster.Target, time.Time) bool               { return true }
func (unlimited) Take(roster.Target, time.Time)                       {}
func (unlimited) IsLimited(roster.Target) bool                        { return false }
func (unlimited) NamesLimit(roster.Target) bool                       { return false }
func (unlimited) IsBrittle(roster.Target) bool                        { return false }
func (unlimited) Ask(roster.Target, bool, time.Duration, time.Time)   {}
func (unlimited) Wait(roster.Target, time.Time) (time.Duration, bool) { return 0, false }
func (unlimited) MaxWaiting(roster.Target, time.Time) int             { return 0 }
func (unlimited) IsCold(roster.Target, time.Time) bool                { return false }
func (unlimited) Unreachable(roster.Target, time.Time, time.Time)     {}
func (unlimited) Describe(target roster.Target, now time.Time) string { return "" }

// minPermitRetryAfter is the least Retry-After of a request for which no target has a permit.
const minPermitRetryAfter = 100 * time.Millisecond

// limitError reports that the targets with capacity have a request limit and no permit for the request.
type limitError struct {
	target *target
	// wait is the time until a permit is expected; refused means that none is free before.
	wait    time.Duration
	refused bool
	cause   *apierror.Error
}

// Error implements error.
func (e *limitError) Error() string { return e.cause.Error() }

// Unwrap returns the error for the caller.
func (e *limitError) Unwrap() error { return e.cause }

// needsPermit reports whether requests to the target need permits, or turns while it is cold.
func (t *Table) needsPermit(candidate *target, now time.Time) bool {
	return t.limits.IsLimited(candidate.Target) || t.limits.IsCold(candidate.Target, now)
}

// takesNoTransfers reports whether the target is in need or cold: moves and copies to it could not wait for permits.
func (t *Table) takesNoTransfers(candidate *target, now time.Time) bool {
	return t.limits.NamesLimit(candidate.Target) || t.limits.IsCold(candidate.Target, now)
}

// limitedTarget returns the error for a request that only targets with a request limit could take, or nil if there is
// none. It names the target where a permit is expected first.
func (t *Table) limitedTarget(s *service, q *Query, now time.Time) *limitError {
	var found *limitError
	for _, candidate := range s.targets {
		if !t.needsPermit(candidate, now) || !q.accepts(candidate, now) || !t.hasCapacity(s, candidate, q) {
			continue
		}
		wait, refused := t.limits.Wait(candidate.Target, now)
		if found == nil || wait < found.wait {
			found = &limitError{target: candidate, wait: wait, refused: refused}
		}
	}
	if found != nil {
		found.cause = apierror.Newf(apierror.KindOverloaded, "come back after the time given",
			"target %s of service %q has no permit within its request limit (%s)", found.target.ID, q.Service, t.limits.Describe(found.target.Target, now)).
			WithRetryAfter(found.retryAfter())
	}
	return found
}

// retryAfter returns a random time after the next permit: requests that are refused together must not return together.
func (e *limitError) retryAfter() time.Duration {
	wait := max(e.wait, minPermitRetryAfter)
	return wait + rand.N(wait)
}

// inTime reports whether a request that waits for up to maxWait may still get a permit.
func (e *limitError) inTime(maxWait time.Duration) bool { return !e.refused || e.wait <= maxWait }

// CountSend counts a request that is sent under the lease, unless that was done when the target was reserved.
func (l *Lease) CountSend(now time.Time) {
	l.table.mu.Lock()
	defer l.table.mu.Unlock()
	if l.sendCounted {
		return
	}
	l.sendCounted = true
	l.table.limits.Take(l.Target, now)
}

// Limit describes the request limit of the lease's target; empty if it has none.
func (l *Lease) Limit(now time.Time) string { return l.table.limits.Describe(l.Target, now) }

// PermitAvailable makes the requests that wait for a permit at a limited target try again.
func (t *Table) PermitAvailable() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.wakeWaiters()
}
