package engine

import (
	"slices"
	"time"

	"godwitcart/internal/stand/journal"
	"godwitcart/internal/wire/enginewire"
)

// beginStep chooses what runs in the next step and returns how long the step takes.
func (e *Engine) beginStep(now time.Time) (time.Duration, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.cancelOrphans(now)
	e.shrinkToMemory(now)
	prefill := e.admit(now)
	if len(e.running) == 0 {
		return 0, false
	}
	duration := e.options.StepBase
	duration += time.Duration(len(e.running)) * e.options.StepPerSequence
	duration += time.Duration(prefill) * e.options.StepPerPrefill
	return duration, true
}

// endStep gives each running generation its token.
func (e *Engine) endStep(now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, a := range slices.Clone(e.running) {
		a.produced++
		if a.produced == 1 {
			e.log(journal.EventStarted, a.request, "", now)
		}
		if a.produced >= a.target {
			e.finish(a, a.reason, now)
			continue
		}
		a.notify()
	}
	e.reports.add(now, e.report())
}

func (e *Engine) cancelOrphans(now time.Time) {
	for _, a := range slices.Concat(e.running, e.waiting) {
		if a.readers == 0 && now.Sub(a.orphaned) > e.options.OrphanTimeout {
			e.finish(a, enginewire.FinishCanceled, now)
		}
	}
}

func (e *Engine) usedTokens() int {
	used := 0
	for _, a := range e.running {
		used += a.memory()
	}
	return used
}

// freeTokens is the memory that is left when every running generation has grown by a token.
func (e *Engine) freeTokens() int {
	return e.options.MemoryTokens - e.usedTokens() - len(e.running)
}

// shrinkToMemory preempts until the next step fits. A generation that does not fit on its
// own ends for its length.
func (e *Engine) shrinkToMemory(now time.Time) {
	for e.freeTokens() < 0 {
		if len(e.running) == 1 {
			e.finish(e.running[0], enginewire.FinishLength, now)
			return
		}
		e.preempt(e.victim())
	}
}

func (e *Engine) victim() *attempt {
	victim := e.running[0]
	for _, a := range e.running[1:] {
		if preemptedBefore(a, victim) {
			victim = a
		}
	}
	return victim
}

// preempt takes the attempt's memory and puts it at the head of its priority.
func (e *Engine) preempt(a *attempt) {
	e.running = without(e.running, a)
	a.waiting = true
	a.preemptions++
	e.preemptions++
	e.enqueue(a)
	a.notify()
}

// admit moves attempts from the queue into the batch while they fit, and returns how many
// prompt tokens have to be computed for them.
func (e *Engine) admit(now time.Time) int {
	prefill := 0
	for len(e.waiting) > 0 {
		next := e.waiting[0]
		if !e.makeRoom(next) {
			break
		}
		e.waiting = e.waiting[1:]
		e.running = append(e.running, next)
		next.waiting = false
		cached := e.cache.use(next.request.Prompt, now)
		prefill += max(0, next.memory()-cached/bytesPerToken)
	}
	return prefill
}

// makeRoom reports whether next fits, after preempting running attempts of lower priority
// where that is enough.
func (e *Engine) makeRoom(next *attempt) bool {
	need := next.memory() + 1
	if e.fits(e.freeTokens(), len(e.running), need) {
		return true
	}
	victims := e.lowerPriority(next)
	free, batch := e.freeTokens(), len(e.running)
	for i, victim := range victims {
		free += victim.memory() + 1
		batch--
		if e.fits(free, batch, need) {
			e.preemptAll(victims[:i+1])
			return true
		}
	}
	return false
}

func (e *Engine) fits(free, batch, need int) bool {
	return free >= need && batch < e.options.MaxBatch
}

// lowerPriority returns the running attempts that next may displace, the first victim first.
func (e *Engine) lowerPriority(next *attempt) []*attempt {
	var victims []*attempt
	for _, a := range e.running {
		if a.request.Priority < next.request.Priority {
			victims = append(victims, a)
		}
	}
	slices.SortFunc(victims, func(a, b *attempt) int {
		if preemptedBefore(a, b) {
			return -1
		}
		return 1
	})
	return victims
}

func (e *Engine) preemptAll(victims []*attempt) {
	for _, victim := range victims {
		e.preempt(victim)
	}
}
