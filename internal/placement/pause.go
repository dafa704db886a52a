package placement

import (
	"math/rand/v2"
	"time"

	"godwitcart/internal/apierror"
	"godwitcart/internal/roster"
)

const (
	// pauseSpreadShare is the share of a target's pause that is added at random. VMs that were turned away together must
	// not all return at its end.
	pauseSpreadShare = 0.25
	// minPauseSpread is the least time over which VMs return.
	minPauseSpread = 200 * time.Millisecond
	// probeInterval is the time between two requests to a target that has asked for a pause, until it answers one.
	probeInterval = time.Second
)

// requestedPause is the time for which a target wants no request of this VM.
type requestedPause struct {
	// until is when the pause ends here, which is after the end that the target asked for.
	until time.Time
	// unanswered is set from the pause on until the target answers a request. Meanwhile one request is sent at a time.
	unanswered bool
	probedAt   time.Time
}

// allows reports whether the target may be sent a request.
func (p *requestedPause) allows(now time.Time) bool {
	return !now.Before(p.until) && (!p.unanswered || now.Sub(p.probedAt) >= probeInterval)
}

// requestSent records that a request is sent.
func (p *requestedPause) requestSent(now time.Time) { p.probedAt = now }

// Pause records that the target wants no request of this VM for the given time, and returns when this VM sends again. The
// longest of several pauses counts, and a later answer does not end it.
func (t *Table) Pause(asking roster.Target, retryAfter time.Duration, now time.Time) time.Time {
	t.mu.Lock()
	defer t.mu.Unlock()
	current := t.targets[asking.ID]
	if current == nil || !current.SameIncarnation(asking) {
		return now
	}
	spread := max(minPauseSpread, time.Duration(pauseSpreadShare*float64(retryAfter)))
	until := now.Add(retryAfter + time.Duration(t.random.Float64()*float64(spread)))
	if until.After(current.pause.until) {
		current.pause.until = until
	}
	current.pause.unanswered = true
	return current.pause.until
}

// IsPaused reports whether the target at host:port has asked for a pause that has not ended.
func (t *Table) IsPaused(address string, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, candidate := range t.targets {
		if candidate.Address == address && now.Before(candidate.pause.until) {
			return true
		}
	}
	return false
}

// pauseError reports that all targets that could take the request want none for a time.
type pauseError struct {
	// end is when the first of them may be sent a request again.
	end   time.Time
	cause *apierror.Error
}

// Error implements error.
func (e *pauseError) Error() string { return e.cause.Error() }

// Unwrap returns the error for the caller.
func (e *pauseError) Unwrap() error { return e.cause }

// PauseError returns the error for a request that only targets in a pause could take, or nil if there is none.
func (t *Table) PauseError(q Query, now time.Time) *apierror.Error {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.services[q.Service]
	if s == nil || t.hasCandidate(s, &q, now) {
		return nil
	}
	if paused := t.pausedTargets(s, &q, now); paused != nil {
		return paused.cause
	}
	return nil
}

// pausedTargets returns the error for a request that only targets in a pause could take, or nil if there is none.
func (t *Table) pausedTargets(s *service, q *Query, now time.Time) *pauseError {
	var found *pauseError
	count := 0
	for _, candidate := range s.targets {
		if candidate.pause.allows(now) || !q.acceptsAfterPause(candidate, now) {
			continue
		}
		count++
		end := candidate.pause.until
		if !end.After(now) {
			end = candidate.pause.probedAt.Add(probeInterval)
		}
		if found == nil || end.Before(found.end) {
			found = &pauseError{end: end}
		}
	}
	if found != nil {
		wait := found.end.Sub(now)
		found.cause = apierror.Newf(apierror.KindOverloaded, "come back after the time given",
			"all %d targets of service %q that serve ask for a pause, the first for %d ms", count, q.Service, wait.Milliseconds()).
			WithRetryAfter(wait + rand.N(max(minPauseSpread, time.Duration(pauseSpreadShare*float64(wait)))))
	}
	return found
}
