package roster

import (
	"context"
	"time"
)

// recordFailure reports whether the failure is the first since the last answer.
func (f *Follower) recordFailure(ctx context.Context, err error) (isFirst bool) {
	if ctx.Err() != nil || f.platformLost {
		return false
	}
	f.platformLost = true
	var age time.Duration
	if !f.lastAnswerAt.IsZero() {
		age = time.Since(f.lastAnswerAt)
	}
	f.options.Logger.Warn("dependency lost", "dependency", "list of targets", "age_ms", age.Milliseconds(), "error", err)
	return true
}

// recordAnswer records that the platform has answered. The first answer after an outage starts the time in which
// targets may register again.
func (f *Follower) recordAnswer(now time.Time) {
	if !f.lastAnswerAt.IsZero() && f.platformLost && now.Sub(f.lastAnswerAt) > minOutage {
		f.removalsDeferredUntil = now.Add(reRegistrationTime)
	}
	if f.platformLost {
		f.platformLost = false
		f.options.Logger.Info("dependency regained", "dependency", "list of targets")
	}
	f.lastAnswerAt = now
}
