package routing

const (
	// unknownMemory is the token memory assumed of an engine that has not reported any.
	unknownMemory = 16384
	// headroomPerRank is the share of memory kept free for each higher priority.
	headroomPerRank = 0.03
	// deviations is the margin of the forecast in standard deviations.
	deviations = 0.5
	// maxEngineQueue is the number of attempts waiting at an engine above which work of the lowest
	// priority waits at the gateway, where other targets are open to it.
	maxEngineQueue = 2
	// freshRoom is the part of the room in a report that is taken to be still there, since what
	// runs has grown and others have sent since.
	freshRoom = 0.5
	// preemptCost is added to the score of a target on which work of lower priority would have to
	// give way, in shares of its memory.
	preemptCost = 1
)

// load returns the expected share of the target's memory in use with the query's attempt, and
// whether there is room for it at its priority.
func (s *shard) load(state *search, t *target) (float64, bool) {
	memory := float64(t.report.MemoryTokens)
	if memory == 0 {
		memory = unknownMemory
	}
	higher := s.below(state.rank)
	if state.query.Aged {
		higher = 0
	}
	if higher > 0 && state.now.Before(t.pressuredUntil) {
		return 0, false
	}
	if state.rank == 0 && t.report.Waiting > maxEngineQueue {
		return 0, false
	}
	expected := t.expected(0)
	expected.add(&state.demand, 1)
	load := expected.mean[middleHorizon] / memory
	usable := memory * (1 - headroomPerRank*float64(higher))
	inUse := float64(t.tokensNow() + state.query.PromptTokens)
	if inUse <= usable && s.withinShare(state, t, usable) && expected.fits(usable, deviations) {
		return load, true
	}
	if !state.query.Preempt || state.rank == 0 {
		return load, false
	}
	kept := t.expected(state.rank)
	kept.add(&state.demand, 1)
	return load + preemptCost, kept.fits(usable, deviations)
}

// withinShare reports whether the attempt stays within this VM's share of the room that the last
// report showed. Every entry VM sees the same report; without shares all would fill the same room
// at once. A share smaller than the prompt becomes the chance to use it, drawn once a report.
func (s *shard) withinShare(state *search, t *target, usable float64) bool {
	entries := float64(s.entries.Load())
	if entries <= 1 || t.reportedAt.IsZero() {
		return true
	}
	share := freshRoom * (usable - float64(t.report.UsedTokens)) / entries
	left := share - float64(t.tokens-t.tokensAsOf)
	need := float64(state.query.PromptTokens)
	return left >= need || left > need*t.lot
}
