package placement

import (
	"time"

	"github.com/cockroachdb/errors"

	"godwitcart/internal/targetlimit"
)

// maxSendDelay is how long after its reservation a request may be sent to a target with a request limit: its permit was for
// that moment.
const maxSendDelay = time.Second

// CheckLapsed returns an error if the reservation no longer permits to send the request: since it was made, the target has
// said that it is leaving or asked for a pause, its zone is in evacuation, or the permit to send has run out. Connecting takes time, and the process may
// have been suspended.
func (l *Lease) CheckLapsed(now time.Time) error {
	l.table.mu.Lock()
	defer l.table.mu.Unlock()
	if err := l.evacuatedError(now); err != nil {
		return err
	}
	switch {
	case l.target.leaving && !l.wasLeaving:
		return errors.Newf("target %s has begun to leave since it was chosen", l.Target.ID)
	case l.target.pause.until.After(l.pausedUntil) && now.Before(l.target.pause.until):
		return errors.Newf("target %s has asked for a pause since it was chosen", l.Target.ID)
	case l.sendCounted && now.Sub(l.sentAt) > targetlimit.ColdSendDelay && l.table.limits.IsCold(l.Target, now):
		return errors.Newf("the turn at target %s, which is cold, is over", l.Target.ID)
	case l.sendCounted && now.Sub(l.sentAt) > maxSendDelay && l.table.limits.NamesLimit(l.Target):
		return errors.Newf("the permit at target %s has run out", l.Target.ID)
	default:
		return nil
	}
}
