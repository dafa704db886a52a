package forward

import (
	"net/netip"
	"time"

	"godwitcart/internal/roster"
)

// recordStatements records what the target says of itself in an answer, before anything else is chosen: its request
// limit, that it is leaving, and how long it wants no request of this VM. The codec reports only statements of the target
// that was asked. carrier is the IP address of the entry VM through which it was asked, if there is one.
func (x *exchange) recordStatements(target roster.Target, verdict Verdict, sentAt time.Time, carrier netip.Addr) {
	now := time.Now()
	if verdict.Limit != nil {
		x.options.Limits.Observe(target, *verdict.Limit, sentAt, now)
	}
	if verdict.NotRun {
		x.options.Limits.TurnedAway(target, now)
	}
	if verdict.Leaving && !x.options.Table.IsLeaving(target) {
		x.log("target says that it is leaving", "target", target.ID)
		x.options.Table.MarkLeaving(target)
		x.options.TargetLeaving(target)
	}
	if verdict.RetryAfter > 0 {
		until := x.options.Table.Pause(target, verdict.RetryAfter, now)
		x.options.TargetPaused(target, verdict.RetryAfter, carrier)
		x.log("target asks for a pause", "target", target.ID, "retry_after_ms", verdict.RetryAfter.Milliseconds(), "paused_ms", until.Sub(now).Milliseconds())
	}
}
