package engine

import (
	"slices"
	"time"

	"godwitcart/internal/stand/journal"
	"godwitcart/internal/wire/enginewire"
)

// beginStep selects the batch of the next step and returns the duration of the step, or false when nothing can run.
func (e *Engine) beginStep(now time.Time) (time.Duration, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.cancelOrphans(now)
	e.preemptUntilFits(now)
	prefillTokens := e.admit(now)
	if len(e.running) == 0 {
		return 0, false
	}
	duration := e.options.StepBase
	duration += time.Duration(len(e.running)) * e.options.StepPerSequence
	duration += time.Duration(prefillTokens) * e.options.StepPerPrefill
	return duration, true
}

// endStep adds one token to each running generation and ends those that are complete.
func (e *Engine) endStep(now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, a := range slices.Clone(e.running) {
		a.produced++
		if a.produced == 1 {
			e.logEvent(journal.EventStarted, a.request, "", now)
		}
		if a.produced >= a.plannedTokens {
			e.finish(a, a.plannedReason, now)
			continue
		}
		a.notify()
	}
	e.loadHistory.add(now, e.currentLoad())
}

func (e *Engine) cancelOrphans(now time.Time) {
	for _, a := range slices.Concat(e.running, e.waiting) {
		if a.readers == 0 && now.Sub(a.orphanedAt) > e.options.OrphanTimeout {
			e.finish(a, enginewire.FinishCanceled, now)
		}
	}
}

func (e *Engine) usedTokens() int {
	used := 0
	for _, a := range e.running {
		used += a.memoryTokens()
	}
	return used
}

// freeTokens is the token memory that remains after each running generation has grown by one token; it is negative when
// the next step does not fit.
func (e *Engine) freeTokens() int {
	return e.options.MemoryTokens - e.usedTokens() - len(e.running)
}

// preemptUntilFits preempts generations until the next step fits into memory. A generation that does not fit even alone
// ends with FinishLength.
func (e *Engine) preemptUntilFits(now time.Time) {
	for e.freeTokens() < 0 {
		if len(e.running) == 1 {
			e.finish(e.running[0], enginewire.FinishLength, now)
			return
		}
		e.preempt(e.selectVictim())
	}
}

func (e *Engine) selectVictim() *attempt {
	victim := e.running[0]
	for _, a := range e.running[1:] {
		if isPreemptedBefore(a, victim) {
			victim = a
		}
	}
	return victim
}

// preempt releases the attempt's memory and returns it to the queue, ahead of attempts of its priority that were not
// preempted.
func (e *Engine) preempt(a *attempt) {
	e.running = without(e.running, a)
	a.waiting = true
	a.preemptions++
	e.preemptions++
	e.enqueue(a)
	a.notify()
}

// admit moves attempts from the queue into the batch while they fit, and returns the number of tokens to prefill.
func (e *Engine) admit(now time.Time) int {
	prefillTokens := 0
	for len(e.waiting) > 0 {
		next := e.waiting[0]
		if !e.makeRoom(next) {
			break
		}
		e.waiting = e.waiting[1:]
		e.running = append(e.running, next)
		next.waiting = false
		cachedBytes := e.cache.access(next.request.Prompt, now)
		prefillTokens += max(0, next.memoryTokens()-cachedBytes/bytesPerToken)
	}
	return prefillTokens
}

// makeRoom reports whether next fits into the batch. It preempts running attempts of lower priority if that makes
// enough room, and none otherwise.
func (e *Engine) makeRoom(next *attempt) bool {
	neededTokens := next.memoryTokens() + 1
	if e.hasRoom(e.freeTokens(), len(e.running), neededTokens) {
		return true
	}
	victims := e.preemptionCandidates(next)
	freeTokens, batchSize := e.freeTokens(), len(e.running)
	for i, victim := range victims {
		freeTokens += victim.memoryTokens() + 1
		batchSize--
		if e.hasRoom(freeTokens, batchSize, neededTokens) {
			e.preemptAll(victims[:i+1])
			return true
		}
	}
	return false
}

func (e *Engine) hasRoom(freeTokens, batchSize, neededTokens int) bool {
	return freeTokens >= neededTokens && batchSize < e.options.MaxBatch
}

// preemptionCandidates returns the running attempts of lower priority than next, in the order of preemption.
func (e *Engine) preemptionCandidates(next *attempt) []*attempt {
	var victims []*attempt
	for _, a := range e.running {
		if a.request.Priority < next.request.Priority {
			victims = append(victims, a)
		}
	}
	slices.SortFunc(victims, func(a, b *attempt) int {
		if isPreemptedBefore(a, b) {
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
