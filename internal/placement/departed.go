package placement

import (
	"maps"
	"time"

	"godwitcart/internal/roster"
)

// A target whose entry lapsed may be listed again in the same incarnation. Its pause and the work that this VM has there still
// count then.

// rememberDeparted keeps a target that leaves the list, if it matters when it is listed again. The caller holds the lock.
func (t *Table) rememberDeparted(gone *target, now time.Time) {
	maps.DeleteFunc(t.departed, func(_ string, earlier *target) bool { return !earlier.mattersOnReturn(now) })
	if gone.mattersOnReturn(now) {
		t.departed[gone.ID] = gone
	}
}

// recallDeparted returns the state of a target that is listed, which is new unless it was listed before. The caller holds the
// lock.
func (t *Table) recallDeparted(listed roster.Target, now time.Time) *target {
	departed := t.departed[listed.ID]
	delete(t.departed, listed.ID)
	if departed == nil || !departed.SameIncarnation(listed) || !departed.mattersOnReturn(now) {
		return &target{}
	}
	return departed
}

func (t *target) mattersOnReturn(now time.Time) bool {
	return now.Before(t.pause.until) || t.ownLoad != Load{}
}
