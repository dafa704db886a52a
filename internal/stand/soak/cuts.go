package soak

import (
	"fmt"
	"net/http"
	"slices"
	"sync"
	"time"

	"godwitcart/internal/stand/rig"
)

const (
	// cutTime is added to the duration of a cut of VMs from all targets, so that its end comes after contactTime.
	cutTime = contactTime + 2*time.Second
	// From contactTime after such a cut, the VMs that are cut off serve at least minCutShare of what the others serve, or no
	// more than cutAllowance and cutAllowanceShare of all first attempts fail there.
	minCutShare       = 2.0 / 3
	cutAllowance      = 10
	cutAllowanceShare = 1.0 / 50
	// pathSubject is what is added to the name of a VM whose path to targets is cut.
	pathSubject = "/targets"
)

// pathCut is one cut of VMs from all targets.
type pathCut struct {
	from, to time.Time
	vms      map[string]bool
}

// cutTargetPaths cuts some VMs, up to two thirds of all, off from all targets.
func (h *harness) cutTargetPaths(subjectIndex int, duration time.Duration) {
	if !h.cutMu.TryLock() {
		return
	}
	defer h.cutMu.Unlock()
	how := []string{rig.Refused, rig.Reset, rig.Hanging}[subjectIndex%3]
	count := 1 + subjectIndex%max(1, 2*len(h.vms)/3)
	cut := pathCut{from: time.Now(), vms: make(map[string]bool)}
	var running sync.WaitGroup
	for i := range count {
		v := h.vms[(subjectIndex+i)%len(h.vms)]
		cut.vms[v.Name] = true
		running.Go(func() {
			defer h.recordFault("vm_cut_from_targets_"+how, v.Name+pathSubject)()
			v.targetPath.Cut(how)
			time.Sleep(duration + cutTime)
			v.targetPath.Restore()
		})
	}
	running.Wait()
	cut.to = time.Now()
	h.mu.Lock()
	defer h.mu.Unlock()
	h.pathCuts = append(h.pathCuts, cut)
}

// checkCuts compares what VMs served while they were cut off from all targets with what the others served.
func (h *harness) checkCuts() {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, cut := range h.pathCuts {
		var atCut, atOthers tally
		for _, c := range h.calls {
			if c.firstAttempt != "" || c.sentAt.Before(cut.from.Add(contactTime)) || c.endedAt.After(cut.to) || c.disconnected || !h.isJudged(c) {
				continue
			}
			if cut.vms[c.vm] && h.hasNoCarrier(&cut, c) {
				continue
			}
			served := c.complete && c.fromTarget && c.status == http.StatusOK
			if cut.vms[c.vm] {
				atCut.add(served)
			} else {
				atOthers.add(served)
			}
		}
		h.checkedCutCalls += atCut.sent
		if atOthers.sent == 0 {
			continue // all others were disturbed: there was no way to targets
		}
		failed := float64(atCut.sent - atCut.served)
		if failed > cutAllowance+cutAllowanceShare*float64(atCut.sent+atOthers.sent) && atCut.share() < minCutShare*atOthers.share() {
			h.violations = append(h.violations, Violation{Guarantee: "cut_off_vms_serve_less", At: cut.from,
				Detail: fmt.Sprintf("%d of %d at the VMs that are cut off, %d of %d at the others", atCut.served, atCut.sent, atOthers.served, atOthers.sent)})
		}
	}
}

// hasNoCarrier reports whether, during the call, each VM that is not cut off was down, stopping or frozen for some of the time.
func (h *harness) hasNoCarrier(cut *pathCut, c *call) bool {
	return !slices.ContainsFunc(h.vms, func(v *vm) bool {
		return !cut.vms[v.Name] && !h.hasFaultWithin(0, v.Name, c.sentAt, c.endedAt, "vm_kill", "vm_stop", "vm_freeze")
	})
}

// isJudged reports whether a call may count for checkCuts: no other fault explains how it ended at its VM.
func (h *harness) isJudged(c *call) bool {
	return c.crashCause == "" && c.status != http.StatusUnauthorized && !h.disturbed(c.vm, c.sentAt, c.endedAt) && !h.disturbed(c.vm+"/"+storeSubject, c.sentAt, c.endedAt) &&
		!h.disturbed(storeSubject, c.sentAt, c.endedAt)
}

// tally counts calls and those that were served.
type tally struct{ sent, served int }

func (t *tally) add(served bool) {
	t.sent++
	if served {
		t.served++
	}
}

// share returns the share that was served; 1 of none.
func (t tally) share() float64 {
	if t.sent == 0 {
		return 1
	}
	return float64(t.served) / float64(t.sent)
}
