package soak

import (
	"net/http"
	"slices"
	"time"

	"godwitcart/platform/platformtest"
)

const (
	// contactTime is the time after a disturbance of a VM after which bounds hold for it again.
	contactTime = 3 * time.Second
	// minResumes is the number of streams resumed from which their share is checked, and minResumeShare the least share
	// of them that continues, in shares of the new streams that begin.
	minResumes     = 12
	minResumeShare = 0.5
)

func (h *harness) recordCall(c *call) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.calls = append(h.calls, c)
}

// canBeResumed reports whether the caller has a part of a stream that may be resumed.
func (c *call) canBeResumed() bool {
	return c.kind == "check" && c.lastEvent() > 0 && c.lastEvent() < c.expectedEvents && (c.disconnected || !c.complete)
}

// lastEvent returns the number of the last event that the caller has, also from earlier attempts.
func (c *call) lastEvent() int { return c.resumedAfter + c.events }

func (c *call) recordVersion(version string) {
	if !slices.Contains(c.versions, version) {
		c.versions = append(c.versions, version)
	}
}

// resume resumes the stream of an earlier call at the VM and records the call.
func (h *harness) resume(client *http.Client, v *vm, earlier *call, generation platformtest.Generation) *call {
	c := &call{
		id: earlier.id + "-r", kind: earlier.kind, vm: v.Name, apiKey: earlier.apiKey, streaming: true, deadline: earlier.deadline,
		expectedEvents: earlier.expectedEvents, firstAttempt: earlier.firstAttempt, resumedAfter: earlier.lastEvent(),
		versions: slices.Clone(earlier.versions),
		pace:     earlier.pace, eventBytes: earlier.eventBytes,
	}
	if c.firstAttempt == "" {
		c.firstAttempt = earlier.id
	}
	if len(c.versions) == 1 {
		c.sameVersionTargets = h.undisturbedTargets(c.versions[0])
	}
	h.transmit(client, v, c, "/checks/1", generation, -1)
	h.recordCall(c)
	return c
}

// undisturbedTargets returns the number of engines of the version that no fault affects now.
func (h *harness) undisturbedTargets(version string) int {
	count := 0
	for _, slot := range h.slots {
		target := slot.target.Load()
		if h.Service(target.ID) != platformtest.EngineService || target.Version != version || !slot.faultMu.TryLock() {
			continue
		}
		slot.faultMu.Unlock()
		count++
	}
	return count
}

// disturbed reports whether a fault affected the VM or target between from and to, or within contactTime before.
func (h *harness) disturbed(name string, from, to time.Time) bool {
	return h.hasFaultWithin(contactTime, name, from, to)
}

// checkResumes requires that streams which callers resume at undisturbed VMs continue, where two targets of their version
// are undisturbed, at least half as often as new ones begin.
func (h *harness) checkResumes() (resumed, continued int) {
	begun, offered := 0, 0
	for _, c := range h.calls {
		if c.kind != "check" || h.disturbed(c.vm, c.sentAt, c.endedAt) {
			continue
		}
		served := c.fromTarget && c.status == http.StatusOK && (c.events > 0 || c.complete)
		switch {
		case c.firstAttempt == "":
			offered++
			begun += count(served)
		case c.sameVersionTargets >= 2:
			resumed++
			continued += count(served)
		}
	}
	if resumed >= minResumes && offered > 0 && float64(continued)/float64(resumed) < minResumeShare*float64(begun)/float64(offered) {
		h.addViolation(Violation{Guarantee: "resumed_streams_lost", Kind: "check"})
	}
	return resumed, continued
}

func count(condition bool) int {
	if condition {
		return 1
	}
	return 0
}
