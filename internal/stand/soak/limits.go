package soak

import (
	"fmt"
	"time"

	"godwitcart/platform/platformtest"
)

// The bound on a target that names a request limit: from contactTime after it first did so, it gets at most limitFactor
// times what the limit allows in any limitWindow, and limitAllowance more requests.
const (
	limitWindow    = 4 * time.Second
	limitFactor    = 1.5
	limitAllowance = 5
	// limitTime is how long a target names its limit at least.
	limitTime = contactTime + limitWindow + time.Second
)

// limitPeriod is the time in which a target named a request limit.
type limitPeriod struct {
	target    *platformtest.Target
	perSecond float64
	from, to  time.Time
}

// runLimit makes the target name a limit for limitTime and the given time.
func (h *harness) runLimit(target *platformtest.Target, perSecond float64, duration time.Duration) {
	period := limitPeriod{target: target, perSecond: perSecond, from: time.Now()}
	target.SetLimit(perSecond)
	time.Sleep(limitTime + duration)
	target.SetLimit(-1)
	period.to = time.Now()
	h.mu.Lock()
	defer h.mu.Unlock()
	h.limits = append(h.limits, period)
}

// checkLimits checks the bound in each window in which the target was not disturbed. Requests of VMs that were disturbed
// then do not count.
func (h *harness) checkLimits() {
	vms := make(map[string]string, len(h.calls))
	for _, c := range h.calls {
		vms[c.id] = c.vm
	}
	for _, period := range h.limits {
		arrivals := period.target.Arrivals()
		for i, first := range arrivals {
			closed := first.At.Add(limitWindow)
			if first.At.Before(period.from.Add(contactTime)) || closed.After(period.to) || h.disturbed(period.target.ID, first.At, closed) {
				continue
			}
			arrived := 0
			for _, arrival := range arrivals[i:] {
				if arrival.At.Before(closed) && !h.disturbed(vms[arrival.ID], first.At, closed) {
					arrived++
				}
			}
			h.checkedWindows++
			if allowed := period.perSecond*limitFactor*limitWindow.Seconds() + limitAllowance; float64(arrived) > allowed {
				h.addViolation(Violation{Guarantee: "limit_exceeded", At: first.At, Detail: fmt.Sprintf("%s got %d requests with %g allowed", period.target.ID, arrived, allowed)})
				break
			}
		}
	}
}
