package soak

import (
	"fmt"
	"strconv"
	"time"

	"godwitcart/platform/platformtest"
)

// The bounds on targets that make statements in their answers. A request that a caller sent later than drainBound after
// its VM had passed on an answer which says that the target is leaving must not reach it from that VM. From turnedAwaySlack
// after a refusal that asks for a pause until its end, at most maxDuringPause requests of that VM reach the target.
const (
	drainBound      = 2 * time.Second
	turnedAwaySlack = 500 * time.Millisecond
	maxDuringPause  = 2
	// requestedPause is the pause that targets ask for.
	requestedPause = 3 * time.Second
)

// linkFaultKinds are the faults that can keep a target's answers from its callers.
var linkFaultKinds = []string{"target_stall", "target_answers_stall", "target_slow", "target_reset", "target_cut"}

// runSaysLeaving makes a target say in its answers that it is leaving, while the platform's list calls it ready, and then
// replaces it without another notice.
func (h *harness) runSaysLeaving(slot *targetSlot, target *platformtest.Target, duration time.Duration) {
	target.SetLeaving(true)
	time.Sleep(drainBound + leavingNotice)
	h.startSuccessor(slot, target, duration)
}

// runTurnsAway makes a target turn all requests away for the time and ask for a pause.
func (h *harness) runTurnsAway(target *platformtest.Target, duration time.Duration) {
	target.SetRetryAfter(strconv.FormatFloat(requestedPause.Seconds(), 'f', 1, 64))
	time.Sleep(duration)
	target.SetRetryAfter("")
}

// checkStatements checks what reached the targets of the run after statements of theirs. VMs that were killed, stopped or
// frozen since, and links that were harmed, excuse it.
func (h *harness) checkStatements() {
	calls := h.callsByID()
	for _, target := range h.Targets() {
		h.checkLeavingStatements(target, calls)
		h.checkPauses(target, calls)
	}
}

// checkLeavingStatements compares each arrival with the first answer by which its VM learned that the target is leaving.
func (h *harness) checkLeavingStatements(target *platformtest.Target, calls map[string]*call) {
	heardAt := make(map[string]time.Time)
	arrivals := target.Arrivals()
	for _, arrival := range arrivals {
		c := calls[arrival.ID]
		if c == nil || !arrival.SaidLeaving || !c.fromTarget || !c.complete || h.runsElsewhere(c, target) {
			continue
		}
		if earlier, found := heardAt[c.vm]; !found || c.endedAt.Before(earlier) {
			heardAt[c.vm] = c.endedAt
		}
	}
	for _, arrival := range arrivals {
		c := calls[arrival.ID]
		if c == nil {
			continue
		}
		at, heard := heardAt[c.vm]
		if !heard || c.sentAt.Before(at.Add(drainBound+h.options.Slack)) || h.disturbed(c.vm, at, arrival.At) {
			continue
		}
		h.addViolation(Violation{Guarantee: "leaving_target_used", Request: c.id, Kind: c.kind, VM: c.vm, At: arrival.At,
			Detail: fmt.Sprintf("%s had said that it leaves %d ms before the request", target.ID, c.sentAt.Sub(at).Milliseconds())})
	}
}

// runsElsewhere reports whether another target ran the call too: then it is not known whose answer the VM passed on.
func (h *harness) runsElsewhere(c *call, target *platformtest.Target) bool {
	for _, run := range h.Cluster.Runs(c.id) {
		if run.Target != target.ID {
			return true
		}
	}
	return false
}

// checkPauses counts the arrivals from the address of each VM during the pauses that the target asked it for. A target knows
// addresses alone: the request may be that of a VM which is cut off and goes through another one.
func (h *harness) checkPauses(target *platformtest.Target, calls map[string]*call) {
	arrivals := target.Arrivals()
	for i, refused := range arrivals {
		c := calls[refused.ID]
		if c == nil || !refused.TurnedAway {
			continue
		}
		from, to := refused.At.Add(turnedAwaySlack+h.options.Slack), refused.At.Add(requestedPause)
		if h.runsProduction(c.vm, refused.At) || h.runsProduction(h.vmAt(refused.From), refused.At) || h.disturbed(c.vm, refused.At, to) || h.disturbed(h.vmAt(refused.From), refused.At, to) || h.hasFaultWithin(contactTime, target.ID, refused.At, to, linkFaultKinds...) {
			continue
		}
		arrived := 0
		for _, later := range arrivals[i+1:] {
			other := calls[later.ID]
			if other != nil && later.From == refused.From && later.At.After(from) && later.At.Before(to) {
				arrived++
			}
		}
		if arrived > maxDuringPause {
			h.addViolation(Violation{Guarantee: "pause_ignored", VM: h.vmAt(refused.From), At: refused.At,
				Detail: fmt.Sprintf("%s got %d requests in the pause that it had asked for", target.ID, arrived)})
		}
	}
}

// vmAt returns the name of the VM with the IP address; empty if there is none.
func (h *harness) vmAt(address string) string {
	for _, v := range h.vms {
		if v.address == address {
			return v.Name
		}
	}
	return ""
}
