package membership

import (
	"cmp"
	"slices"
	"strconv"
	"strings"
	"time"

	"godwitcart/internal/wire/enginewire"
)

// maxIncarnations bounds the incarnations remembered of one VM.
const maxIncarnations = 4

// listLag is the longest time by which the platform's list lags behind. A VM that has been seen for
// longer than this when the list begins to mark it as leaving is surely the one that is meant.
const listLag = 15 * time.Second

// unnamedPrefix begins the names given to incarnations of VMs that tell none.
const unnamedPrefix = "unnamed-"

// fact is what is known of one incarnation. Facts of the same incarnation merge by taking the
// maximum of each field, so the order in which signs arrive does not matter.
type fact struct {
	incarnation string
	state       State
	// aliveAt is the latest time at which the incarnation itself is known to have spoken.
	aliveAt time.Time
	// firstSeen is when this VM first heard of the incarnation.
	firstSeen time.Time
}

// listed is the word of the platform's list about a VM.
type listed struct {
	present bool
	leaving bool
	// ambiguous means that the mark may speak of an incarnation earlier than the one that was known
	// when it began; it then holds only while the list repeats it.
	ambiguous bool
	// meant is the incarnation that was known when an ambiguous mark began; nil when none was.
	meant *string
}

// holdsFor reports whether an ambiguous mark holds for the incarnation. One that appeared after the
// mark is not meant by it.
func (l listed) holdsFor(incarnation string) bool {
	return l.leaving && l.ambiguous && (l.meant == nil || *l.meant == incarnation)
}

// entry is all that is known of one VM.
type entry struct {
	vm   VM
	list listed
	// facts has the current incarnation first.
	facts []fact
	// doubtedAt is when this VM last failed to reach it; earlier confirmations do not count.
	doubtedAt time.Time
	load      enginewire.LoadReport
	loadAt    time.Time
	// changedAt is when this VM learnt that the state changed.
	changedAt time.Time
	// firstHand means that it changed by the VM's own word to this VM.
	firstHand bool
	// resync asks peers for the whole report, because a short one did not fit what is known.
	resync bool
}

// compareFacts puts the incarnation that spoke last first.
func compareFacts(a, b fact) int {
	return cmp.Or(b.aliveAt.Compare(a.aliveAt), strings.Compare(b.incarnation, a.incarnation))
}

// current returns the fact of the incarnation that spoke last.
func (e *entry) current() fact {
	if len(e.facts) == 0 {
		return fact{}
	}
	return e.facts[0]
}

// state returns the highest state that any route names for the current incarnation.
func (e *entry) state() State {
	state := e.current().state
	if e.list.holdsFor(e.current().incarnation) {
		state = max(state, StateLeaving)
	}
	if !e.list.present {
		state = StateGone
	}
	return state
}

// confirmedAt returns when the VM last told that it is live, or zero.
func (e *entry) confirmedAt() time.Time {
	current := e.current()
	if e.state() != StateLive || !current.aliveAt.After(e.doubtedAt) {
		return time.Time{}
	}
	return current.aliveAt
}

// observe takes a sign that became known now. It reports whether the state of the VM changed.
func (e *entry) observe(sign Sign, now time.Time) bool {
	before := e.state()
	if sign.State == StateUnknown {
		e.doubtedAt = later(e.doubtedAt, sign.At)
		return false
	}
	if sign.Incarnation == "" && sign.At.Before(e.current().firstSeen) {
		return false // it speaks of an earlier incarnation
	}
	incarnation := e.resolve(sign)
	spoke := sign.Source != SourceList
	known := e.current().incarnation
	e.merge(fact{incarnation: incarnation, state: sign.State, aliveAt: spokenAt(sign, spoke), firstSeen: sign.At})
	e.takeLoad(sign, incarnation)
	changed := e.state() != before || e.current().incarnation != known
	if changed {
		e.changedAt = now
		e.firstHand = sign.Source == SourceTarget
	}
	return changed
}

func spokenAt(sign Sign, spoke bool) time.Time {
	if !spoke {
		return time.Time{}
	}
	return sign.At
}

func (e *entry) takeLoad(sign Sign, incarnation string) {
	if sign.Load == nil || !sign.At.After(e.loadAt) || incarnation != e.current().incarnation {
		return
	}
	e.load = *sign.Load
	e.loadAt = sign.At
}

// resolve returns the incarnation that the sign speaks of. A VM that tells no incarnation, said that
// it was leaving and serves again later has been restarted: a new unnamed incarnation begins.
func (e *entry) resolve(sign Sign) string {
	current := e.current()
	if sign.Incarnation != "" || sign.Source != SourceTarget {
		return cmp.Or(sign.Incarnation, current.incarnation)
	}
	unnamed := current.incarnation == "" || strings.HasPrefix(current.incarnation, unnamedPrefix)
	restarted := sign.State == StateLive && current.state >= StateLeaving && sign.At.After(current.aliveAt)
	if unnamed && restarted {
		return unnamedPrefix + strconv.FormatInt(sign.At.UnixMilli(), 36)
	}
	return current.incarnation
}

// merge takes a fact: the maximum of what is known and what is told.
func (e *entry) merge(received fact) {
	i := slices.IndexFunc(e.facts, func(f fact) bool { return f.incarnation == received.incarnation })
	if i < 0 {
		e.facts = append(e.facts, received)
	} else {
		known := &e.facts[i]
		known.state = max(known.state, received.state)
		known.aliveAt = later(known.aliveAt, received.aliveAt)
	}
	slices.SortFunc(e.facts, compareFacts)
	if len(e.facts) > maxIncarnations {
		e.facts = e.facts[:maxIncarnations]
	}
}

// applyList takes the word of the platform's list. It reports whether the state changed.
func (e *entry) applyList(vm VM, leaving bool, now time.Time) bool {
	before := e.state()
	began := leaving && !e.list.leaving
	e.vm = vm
	e.list.present = true
	e.list.leaving = leaving
	if began {
		e.beginListedLeaving(now)
	}
	return e.noteChange(before, now)
}

// beginListedLeaving applies a new mark. An incarnation that is older than the lag is meant for
// certain and never returns; otherwise the mark holds while the list repeats it.
func (e *entry) beginListedLeaving(now time.Time) {
	current := e.current()
	e.list.ambiguous = len(e.facts) == 0 || now.Sub(current.firstSeen) < listLag
	e.list.meant = nil
	if e.list.ambiguous && len(e.facts) > 0 {
		e.list.meant = &current.incarnation
	}
	if e.list.ambiguous {
		return
	}
	e.merge(fact{incarnation: current.incarnation, state: StateLeaving, aliveAt: current.aliveAt})
}

// unlist takes it that the list no longer names the VM.
func (e *entry) unlist(now time.Time) bool {
	before := e.state()
	e.list = listed{}
	return e.noteChange(before, now)
}

func (e *entry) noteChange(before State, now time.Time) bool {
	if e.state() == before {
		return false
	}
	e.changedAt = now
	e.firstHand = false
	return true
}

// describe returns the VM as others see it.
func (e *entry) describe() VM {
	vm := e.vm
	vm.Incarnation = e.current().incarnation
	vm.State = e.state()
	vm.ConfirmedAt = e.confirmedAt()
	return vm
}

func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}
