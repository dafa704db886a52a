package soak

import (
	"fmt"
	"time"

	"godwitcart/platform/platformtest"
)

// What the engine service declares about cold targets, and the bound in the VMs' settings: in no second may a cold engine get
// more than coldPerSecond times coldOverage, plus coldSlack.
const (
	coldPerSecond = 4.0
	coldStart     = time.Second
	coldOverage   = 1.5
	coldSlack     = 3
	// coldAgainTime is how long an engine that becomes cold again is cold at least.
	coldAgainTime = 2 * time.Second
)

// coldTime is a time in which an engine was cold. One that becomes cold again is known as warm until the word arrives.
type coldTime struct {
	target   *platformtest.Target
	from, to time.Time
	again    bool
}

// startColdTarget starts a new target in the slot, which is cold for coldStart if it is an engine.
func (h *harness) startColdTarget(slot *targetSlot, service string) {
	target := h.newTarget(slot, service)
	if service == platformtest.EngineService {
		h.beginCold(target, coldStart, false)
	}
	h.register(slot, target, service)
}

// runColdAgain makes the engine in the slot cold again. That explains nothing else which happens there.
func (h *harness) runColdAgain(slot *targetSlot, duration time.Duration) {
	slot.faultMu.Lock()
	defer slot.faultMu.Unlock()
	target := slot.target.Load()
	service := h.Service(target.ID)
	if service != platformtest.EngineService {
		return
	}
	defer h.recordFault("target_cold_again", target.ID+"/cold")()
	duration += coldAgainTime
	h.beginCold(target, duration, true)
	h.Register(target, service, h.Zone(target.ID))
	time.Sleep(duration)
}

func (h *harness) beginCold(target *platformtest.Target, duration time.Duration, again bool) {
	target.SetCold(duration)
	now := time.Now()
	h.mu.Lock()
	defer h.mu.Unlock()
	h.colds = append(h.colds, coldTime{target: target, from: now, to: now.Add(duration), again: again})
}

// checkCold checks the bound in each second of the cold times. All VMs count, whatever has befallen them, but those that run
// the build in production; where the engine was known as warm, only from Slack on, and only VMs that the word could reach.
func (h *harness) checkCold() {
	calls := h.callsByID()
	for _, cold := range h.colds {
		var counted []time.Time
		for _, arrival := range cold.target.Arrivals() {
			c := calls[arrival.ID]
			if c == nil || arrival.Misdirected || arrival.At.Before(cold.countedFrom(h.options.Slack)) || !arrival.At.Before(cold.to) {
				continue
			}
			if h.knowsCold(cold, c.vm, arrival.At) && h.knowsCold(cold, h.vmAt(arrival.From), arrival.At) {
				counted = append(counted, arrival.At)
			}
		}
		h.coldArrivals += len(counted)
		allowed := coldPerSecond*coldOverage + coldSlack
		if most, at := mostInSecond(counted); float64(most) > allowed && !h.hasFaultWithin(contactTime, cold.target.ID, at, at.Add(time.Second), linkFaultKinds...) {
			h.addViolation(Violation{Guarantee: "cold_target_overrun", At: at, Detail: fmt.Sprintf("%s got %d requests in a second with %g allowed, cold again %t", cold.target.ID, most, allowed, cold.again)})
		}
	}
}

func (c coldTime) countedFrom(wordDelay time.Duration) time.Time {
	if c.again {
		return c.from.Add(wordDelay)
	}
	return c.from
}

// knowsCold reports whether the VM has to know that the engine is cold.
func (h *harness) knowsCold(cold coldTime, vm string, at time.Time) bool {
	if h.runsProduction(vm, at) {
		return false
	}
	return !cold.again || !h.disturbed(vm, cold.from, at) && !h.disturbed(vm+"/"+storeSubject, cold.from, at) && !h.disturbed(storeSubject, cold.from, at)
}

// mostInSecond returns the largest number of the ordered times within a second, and the first of them.
func mostInSecond(times []time.Time) (most int, at time.Time) {
	first := 0
	for last, arrival := range times {
		for arrival.Sub(times[first]) > time.Second {
			first++
		}
		if count := last - first + 1; count > most {
			most, at = count, times[first]
		}
	}
	return most, at
}
