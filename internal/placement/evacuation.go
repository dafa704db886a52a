package placement

import (
	"slices"
	"time"

	"godwitcart/internal/apierror"
	"godwitcart/internal/roster"
)

const (
	// returnSpread is the time within which the VMs begin again to choose targets of a zone that was taken back. These
	// are empty, and all VMs that returned at the same moment would choose the same ones.
	returnSpread = 2 * time.Second
	// evacuatedRetryAfter is the Retry-After of a request that only targets of zones in evacuation could take. An
	// operator takes a zone back, which is not a matter of milliseconds.
	evacuatedRetryAfter = 2 * time.Second
)

// zoneEvacuation is the evacuation of a zone: its targets accept no work of any kind.
type zoneEvacuation struct {
	since time.Time
	// until is when this VM chooses targets of the zone again; zero while the evacuation is in force.
	until time.Time
}

// blocks reports whether targets of the zone may get nothing. A nil zoneEvacuation blocks nothing.
func (e *zoneEvacuation) blocks(now time.Time) bool {
	return e != nil && (e.until.IsZero() || now.Before(e.until))
}

// EvacuationChange is what a change of the zones in evacuation means for the targets.
type EvacuationChange struct {
	// Emptied are the targets of the zones that were not in evacuation before.
	Emptied []roster.Target
	// TakenBack are the zones that were, and ReturnsIn is the time until this VM chooses targets of all of them again.
	TakenBack []string
	ReturnsIn time.Duration
}

// SetEvacuations replaces the zones in evacuation.
func (t *Table) SetEvacuations(zones []string, now time.Time) EvacuationChange {
	var change EvacuationChange
	t.mu.Lock()
	defer t.mu.Unlock()
	for zone, evacuation := range t.evacuations {
		switch {
		case slices.Contains(zones, zone):
		case evacuation.until.IsZero():
			wait := time.Duration(t.random.Float64() * float64(returnSpread))
			evacuation.until = now.Add(wait)
			change.TakenBack = append(change.TakenBack, zone)
			change.ReturnsIn = max(change.ReturnsIn, wait)
		case !evacuation.blocks(now):
			delete(t.evacuations, zone)
		}
	}
	for _, zone := range zones {
		if current := t.evacuations[zone]; current != nil && current.until.IsZero() {
			continue
		}
		t.evacuations[zone] = &zoneEvacuation{since: now}
		for _, member := range t.targets {
			if member.Zone == zone {
				change.Emptied = append(change.Emptied, member.Target)
			}
		}
	}
	for _, member := range t.targets {
		member.evacuation = t.evacuations[member.Zone]
	}
	t.wakeWaiters()
	return change
}

// EvacuatedSince returns when this VM learned that the zone of the target is in evacuation, and false if it is not.
func (t *Table) EvacuatedSince(wanted roster.Target) (time.Time, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	evacuation := t.evacuations[wanted.Zone]
	if evacuation == nil || !evacuation.until.IsZero() {
		return time.Time{}, false
	}
	return evacuation.since, true
}

// IsEvacuated reports whether the target at host:port is in a zone in evacuation.
func (t *Table) IsEvacuated(address string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, member := range t.targets {
		if member.Address == address && member.evacuation != nil && member.evacuation.until.IsZero() {
			return true
		}
	}
	return false
}

// evacuationError reports that only targets of zones in evacuation could take the request.
type evacuationError struct{ cause *apierror.Error }

// Error implements error.
func (e *evacuationError) Error() string { return e.cause.Error() }

// Unwrap returns the error for the caller.
func (e *evacuationError) Unwrap() error { return e.cause }

// evacuatedTargets returns the error for a request that only targets of zones in evacuation could take, or nil if there is
// none. Waiting for capacity would be in vain.
func (t *Table) evacuatedTargets(s *service, q *Query, now time.Time) *evacuationError {
	count := 0
	var zones []string
	for _, candidate := range s.targets {
		if q.acceptsAfterPause(candidate, now) {
			return nil
		}
		if candidate.evacuation.blocks(now) && q.fits(candidate) && candidate.isServingInService(now) {
			count++
			if !slices.Contains(zones, candidate.Zone) {
				zones = append(zones, candidate.Zone)
			}
		}
	}
	if count == 0 {
		return nil
	}
	slices.Sort(zones)
	return &evacuationError{cause: apierror.Newf(apierror.KindNotRun, "come back after the time given",
		"the %d targets of service %q that could take the request are in zones in evacuation (%v)", count, q.Service, zones).WithRetryAfter(evacuatedRetryAfter)}
}

// CheckEvacuated returns an error if the zone of the lease's target is in evacuation and the reservation is too old to be
// from before. It holds also for a generation that is lost thereby.
func (l *Lease) CheckEvacuated(now time.Time) error {
	l.table.mu.Lock()
	defer l.table.mu.Unlock()
	if now.Sub(l.sentAt) <= maxSendDelay {
		return nil
	}
	return l.evacuatedError(now)
}

// evacuatedError returns an error if the zone of the lease's target is in evacuation. The caller holds the lock.
func (l *Lease) evacuatedError(now time.Time) error {
	if evacuation := l.table.evacuations[l.Target.Zone]; evacuation.blocks(now) {
		return &evacuationError{cause: apierror.Newf(apierror.KindNotRun, "come back after the time given", "zone %s of target %s is in evacuation", l.Target.Zone, l.Target.ID)}
	}
	return nil
}
