package routing

const (
	// defaultMemoryTokens is the memory assumed for an engine that has not reported any.
	defaultMemoryTokens = 16384
	// headroomPerHigherRank is the share of memory kept free for each higher priority.
	headroomPerHigherRank = 0.03
	// forecastMargin is the safety margin of a forecast, in standard deviations.
	forecastMargin = 0.5
	// maxEngineQueue is the number of attempts waiting at an engine above which it gets no more work of the lowest
	// priority. That work waits on the entry VM instead, from where it can still go to another target.
	maxEngineQueue = 2
	// reportedFreeShare is the part of the reported free memory that is assumed to be still free: running
	// generations have grown since, and other VMs have sent attempts.
	reportedFreeShare = 0.5
	// preemptionPenalty is added to the score of a target that would have to preempt work of lower priority, in
	// shares of its memory.
	preemptionPenalty = 1
)

// scoreLoad returns the share of the target's memory expected to be in use at the middle horizon if the query's attempt
// is added, and whether the attempt fits at its priority. An attempt that fits only by preempting others gets
// preemptionPenalty added to its load.
func (s *shard) scoreLoad(state *selection, t *target) (float64, bool) {
	memory := float64(t.report.MemoryTokens)
	if memory == 0 {
		memory = defaultMemoryTokens
	}
	higher := s.higherRanks(state.rank)
	if state.query.Aged {
		higher = 0
	}
	if higher > 0 && state.now.Before(t.underPressureUntil) {
		return 0, false
	}
	if state.rank == 0 && t.report.Waiting > maxEngineQueue {
		return 0, false
	}
	expected := t.expectedForecast(0)
	expected.addScaled(&state.forecast, 1)
	load := expected.mean[middleHorizon] / memory
	usable := memory * (1 - headroomPerHigherRank*float64(higher))
	inUse := float64(t.usedTokens() + state.query.PromptTokens)
	if inUse <= usable && s.isWithinShare(state, t, usable) && expected.fitsWithin(usable, forecastMargin) {
		return load, true
	}
	if !state.query.Preempt || state.rank == 0 {
		return load, false
	}
	// The engine can preempt attempts of lower ranks, so only the others must fit.
	withoutPreempted := t.expectedForecast(state.rank)
	withoutPreempted.addScaled(&state.forecast, 1)
	return load + preemptionPenalty, withoutPreempted.fitsWithin(usable, forecastMargin)
}

// isWithinShare reports whether the attempt stays within this VM's share of the free memory in the last report, less
// what its attempts have used since. All entry VMs see the same report; without shares they would all fill the same
// memory at once. If the remaining share is smaller than the prompt, the attempt is allowed with the probability
// remaining/promptTokens, drawn once per report. The usable memory is that for the attempt's priority, in tokens.
func (s *shard) isWithinShare(state *selection, t *target, usable float64) bool {
	entryVMs := float64(s.entryVMCount.Load())
	if entryVMs <= 1 || t.reportedAt.IsZero() {
		return true
	}
	vmShare := reportedFreeShare * (usable - float64(t.report.UsedTokens)) / entryVMs
	remaining := vmShare - float64(t.ownTokens-t.ownTokensAtReport)
	promptTokens := float64(state.query.PromptTokens)
	return remaining >= promptTokens || remaining > promptTokens*t.shareDraw
}
