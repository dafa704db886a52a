package membership

import (
	"cmp"
	"slices"
	"strconv"
	"strings"
	"time"

	"godwitcart/internal/wire/enginewire"
)

// maxIncarnations bounds the incarnations remembered per VM.
const maxIncarnations = 4

// listLag is the maximum delay of the platform's list. If an incarnation has been known for longer than this
// when the list starts to mark the VM as leaving, the mark refers to that incarnation.
const listLag = 15 * time.Second

// generatedIncarnationPrefix is the prefix of incarnations generated for VMs that report none.
const generatedIncarnationPrefix = "unnamed-"

// fact is the known state of one incarnation. Facts of the same incarnation are merged by taking the maximum of
// state and aliveAt, so the order in which observations arrive does not matter.
type fact struct {
	incarnation string
	state       State
	// aliveAt is the latest time at which the incarnation itself is known to have responded.
	aliveAt time.Time
	// firstSeen is when this VM first learned of the incarnation.
	firstSeen time.Time
}

// listStatus is what the platform's list says about a VM.
type listStatus struct {
	present bool
	leaving bool
	// ambiguous means that the leaving mark may refer to an incarnation older than the one that was current
	// when the mark appeared; it then applies only as long as the list repeats it.
	ambiguous bool
	// markedIncarnation is the incarnation that was current when an ambiguous mark appeared, or nil if none was
	// known.
	markedIncarnation *string
}

// ambiguousMarkAppliesTo reports whether an ambiguous mark applies to the incarnation. It does not apply to
// incarnations that appeared after the mark.
func (l listStatus) ambiguousMarkAppliesTo(incarnation string) bool {
	return l.leaving && l.ambiguous && (l.markedIncarnation == nil || *l.markedIncarnation == incarnation)
}

// entry holds everything known about one VM.
type entry struct {
	vm   VM
	list listStatus
	// facts is sorted by compareFacts, so the current incarnation is first.
	facts []fact
	// unreachableAt is when this VM last failed to reach the described VM. Confirmations from before that are invalid.
	unreachableAt time.Time
	load          enginewire.LoadReport
	loadAt        time.Time
	// changedAt is when this VM learned of the last state change.
	changedAt time.Time
	// reportedDirectly means that the last change was reported to this VM by the described VM itself.
	reportedDirectly bool
	// needsFullReport makes the next request ask for the full report, because a compact one did not match the
	// known identity.
	needsFullReport bool
}

// compareFacts orders facts by aliveAt, latest first, then by incarnation.
func compareFacts(a, b fact) int {
	return cmp.Or(b.aliveAt.Compare(a.aliveAt), strings.Compare(b.incarnation, a.incarnation))
}

// current returns the fact of the incarnation that was alive last.
func (e *entry) current() fact {
	if len(e.facts) == 0 {
		return fact{}
	}
	return e.facts[0]
}

// state returns the highest state of the current incarnation from facts and the platform's list.
func (e *entry) state() State {
	state := e.current().state
	if e.list.ambiguousMarkAppliesTo(e.current().incarnation) {
		state = max(state, StateLeaving)
	}
	if !e.list.present {
		state = StateGone
	}
	return state
}

// confirmedAt returns when the VM was last confirmed live, or zero if it has no valid confirmation.
func (e *entry) confirmedAt() time.Time {
	current := e.current()
	if e.state() != StateLive || !current.aliveAt.After(e.unreachableAt) {
		return time.Time{}
	}
	return current.aliveAt
}

// observe records an observation received at now and reports whether the VM's state or incarnation changed. A failure
// to reach the VM changes neither: it only invalidates earlier confirmations.
func (e *entry) observe(observation Observation, now time.Time) bool {
	before := e.state()
	if observation.State == StateUnknown {
		e.unreachableAt = latest(e.unreachableAt, observation.At)
		return false
	}
	if observation.Incarnation == "" && observation.At.Before(e.current().firstSeen) {
		return false // refers to an earlier incarnation
	}
	incarnation := e.resolveIncarnation(observation)
	confirmsAlive := observation.Source != SourceList
	previous := e.current().incarnation
	e.merge(fact{incarnation: incarnation, state: observation.State, aliveAt: observedAliveAt(observation, confirmsAlive), firstSeen: observation.At})
	e.updateLoad(observation, incarnation)
	changed := e.state() != before || e.current().incarnation != previous
	if changed {
		e.changedAt = now
		e.reportedDirectly = observation.Source == SourceTarget
	}
	return changed
}

func observedAliveAt(observation Observation, confirmsAlive bool) time.Time {
	if !confirmsAlive {
		return time.Time{}
	}
	return observation.At
}

func (e *entry) updateLoad(observation Observation, incarnation string) {
	if observation.Load == nil || !observation.At.After(e.loadAt) || incarnation != e.current().incarnation {
		return
	}
	e.load = *observation.Load
	e.loadAt = observation.At
}

// resolveIncarnation returns the incarnation that the observation refers to. If a VM that reports no incarnation
// was leaving and is live again later, it has been restarted, and a new incarnation is generated.
func (e *entry) resolveIncarnation(observation Observation) string {
	current := e.current()
	if observation.Incarnation != "" || observation.Source != SourceTarget {
		return cmp.Or(observation.Incarnation, current.incarnation)
	}
	reportsNoIncarnation := current.incarnation == "" || strings.HasPrefix(current.incarnation, generatedIncarnationPrefix)
	restarted := observation.State == StateLive && current.state >= StateLeaving && observation.At.After(current.aliveAt)
	if reportsNoIncarnation && restarted {
		return generatedIncarnationPrefix + strconv.FormatInt(observation.At.UnixMilli(), 36)
	}
	return current.incarnation
}

// merge adds a received fact, taking the maximum of known and received values.
func (e *entry) merge(received fact) {
	i := slices.IndexFunc(e.facts, func(f fact) bool { return f.incarnation == received.incarnation })
	if i < 0 {
		e.facts = append(e.facts, received)
	} else {
		known := &e.facts[i]
		known.state = max(known.state, received.state)
		known.aliveAt = latest(known.aliveAt, received.aliveAt)
	}
	slices.SortFunc(e.facts, compareFacts)
	if len(e.facts) > maxIncarnations {
		e.facts = e.facts[:maxIncarnations]
	}
}

// applyList applies the VM's item of the platform's list and reports whether the state changed.
func (e *entry) applyList(vm VM, leaving bool, now time.Time) bool {
	before := e.state()
	newlyMarked := leaving && !e.list.leaving
	e.vm = vm
	e.list.present = true
	e.list.leaving = leaving
	if newlyMarked {
		e.applyLeavingMark(now)
	}
	return e.recordStateChange(before, now)
}

// applyLeavingMark applies a leaving mark that has just appeared in the list. If the current incarnation has been
// known for at least listLag, the mark refers to it and is permanent; otherwise the mark is ambiguous and applies
// as long as the list repeats it.
func (e *entry) applyLeavingMark(now time.Time) {
	current := e.current()
	e.list.ambiguous = len(e.facts) == 0 || now.Sub(current.firstSeen) < listLag
	e.list.markedIncarnation = nil
	if e.list.ambiguous && len(e.facts) > 0 {
		e.list.markedIncarnation = &current.incarnation
	}
	if e.list.ambiguous {
		return
	}
	e.merge(fact{incarnation: current.incarnation, state: StateLeaving, aliveAt: current.aliveAt})
}

// unlist records that the list no longer contains the VM and reports whether the state changed.
func (e *entry) unlist(now time.Time) bool {
	before := e.state()
	e.list = listStatus{}
	return e.recordStateChange(before, now)
}

func (e *entry) recordStateChange(before State, now time.Time) bool {
	if e.state() == before {
		return false
	}
	e.changedAt = now
	e.reportedDirectly = false
	return true
}

// snapshot returns the VM's description with its current state.
func (e *entry) snapshot() VM {
	vm := e.vm
	vm.Incarnation = e.current().incarnation
	vm.State = e.state()
	vm.ConfirmedAt = e.confirmedAt()
	return vm
}

func latest(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}
