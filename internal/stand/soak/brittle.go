package soak

import (
	"fmt"
	"time"

	"godwitcart/platform/platformtest"
)

const (
	// The room of a plain target, in requests, and the time that it works on each.
	plainSlots, plainQueue = 2, 20
	plainWorkTime          = 20 * time.Millisecond
	// While it is brittle it is slower than its callers want; from contactTime on at most maxBrittleQueue requests wait.
	brittleWorkTime = 250 * time.Millisecond
	maxBrittleQueue = 3
	// brittleAllowance is the number of requests that a brittle target can turn away in a second.
	brittleAllowance = 3
	// maxBrittleFalls and maxBrittleFallShare bound the falls of a service in one time in which its targets are brittle.
	maxBrittleFalls     = 2
	maxBrittleFallShare = 0.1
)

// brittleTime is one time in which the targets of the plain service were brittle.
type brittleTime struct {
	from    time.Time
	targets int
	// falls holds the requests that the targets had turned away when they fell.
	falls [][]string
}

// runBrittle makes all plain targets brittle, from contactTime on with less room.
func (h *harness) runBrittle(subjectIndex int, duration time.Duration) {
	if !h.brittleMu.TryLock() {
		return // they are brittle already
	}
	defer h.brittleMu.Unlock()
	defer h.recordFault("targets_brittle", platformtest.PlainService)()
	played := brittleTime{from: time.Now()}
	for _, slot := range h.slots {
		target := slot.target.Load()
		if h.Service(target.ID) != platformtest.PlainService {
			continue
		}
		played.targets++
		target.SetRoom(plainSlots, plainQueue, brittleWorkTime)
		defer target.SetRoom(plainSlots, plainQueue, plainWorkTime)
		target.SetBrittle(brittleAllowance, plainQueue, nil)
		time.AfterFunc(contactTime, func() {
			target.SetBrittle(brittleAllowance, 1+subjectIndex%maxBrittleQueue, func(refused []string) {
				h.mu.Lock()
				played.falls = append(played.falls, refused)
				h.mu.Unlock()
				h.replaceCrashed(slot, target)
			})
		})
	}
	time.Sleep(contactTime + duration)
	h.mu.Lock()
	defer h.mu.Unlock()
	h.brittleTimes = append(h.brittleTimes, played)
}

// checkFalls counts the falls of brittle targets. A fall counts if most of the requests that the target had turned away
// came from VMs that were not disturbed.
func (h *harness) checkFalls() {
	h.mu.Lock()
	defer h.mu.Unlock()
	calls := h.callsByID()
	for _, played := range h.brittleTimes {
		counted := 0
		for _, refused := range played.falls {
			undisturbed := 0
			for _, id := range refused {
				if c := calls[id]; c != nil && !h.disturbed(c.vm, c.sentAt, c.endedAt) {
					undisturbed++
				}
			}
			if 2*undisturbed > len(refused) {
				counted++
			}
		}
		if float64(counted) > maxBrittleFalls+maxBrittleFallShare*float64(played.targets) {
			h.violations = append(h.violations, Violation{Guarantee: "brittle_targets_fell", At: played.from, Detail: fmt.Sprintf("%d falls of %d targets", counted, played.targets)})
		}
	}
}
