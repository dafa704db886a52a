package routing

import (
	"slices"
	"time"

	"godwitcart/internal/lengths"
	"godwitcart/internal/membership"
	"godwitcart/internal/policy"
	"godwitcart/internal/prefix"
	"godwitcart/internal/wire/enginewire"
)

// reservation is the memory that one attempt of this VM reserves on its target.
type reservation struct {
	target *target
	// index is the position in the target's reservations.
	index        int
	curve        *lengths.Curve
	key          lengths.Key
	priority     int
	rank         int
	promptTokens int
	maxTokens    int
	sentAt       time.Time
	// produced is the number of tokens received; nextForecastAt is the number at which the forecast is renewed.
	produced       int
	nextForecastAt int
	forecast       memoryForecast
	ended          bool
}

// target is the state of one target. The lock of its shard guards it.
type target struct {
	shard *shard
	vm    membership.VM
	// leaving belongs to the current incarnation; once set, only a new incarnation clears it.
	leaving bool
	circuit circuitBreaker
	report  enginewire.LoadReport
	// reportedAt is when the last report arrived, and reportAsOf the time that it describes.
	reportedAt     time.Time
	reportAsOf     time.Time
	loaded         []policy.Variant
	cachedPrefixes *prefix.Index
	reservations   []*reservation
	// rankForecasts holds the sum of the forecasts of the attempts at each priority rank.
	rankForecasts [maxPriorityRanks]memoryForecast
	// ownTokens is the memory in use by this VM's attempts: prompts and output so far.
	ownTokens int
	history   loadHistory
	// peerForecast, peerTokens and peerAttempts are the forecast, the memory in use and the number of other VMs'
	// attempts, computed from the last report.
	peerForecast memoryForecast
	peerTokens   int
	peerAttempts int
	// ownTokensAtReport is the value of ownTokens at the time that the last report describes.
	ownTokensAtReport int
	// shareDraw is a random number in [0, 1), drawn at each report.
	shareDraw          float64
	underPressureUntil time.Time
	// retiredAt is when the target was last removed from the list.
	retiredAt time.Time
}

// isAvailable reports whether the target may take new work.
func (t *target) isAvailable(now time.Time, confirmWithin time.Duration) bool {
	if t.leaving || t.vm.State >= membership.StateLeaving {
		return false
	}
	return now.Sub(t.confirmedAt()) <= confirmWithin && t.circuit.allowsAttempt(now)
}

func (t *target) confirmedAt() time.Time {
	if t.reportedAt.After(t.vm.ConfirmedAt) {
		return t.reportedAt
	}
	return t.vm.ConfirmedAt
}

// resetIncarnation switches to a new incarnation and drops the state and reports of the old one.
func (t *target) resetIncarnation(incarnation string) {
	t.vm.Incarnation = incarnation
	t.leaving = false
	t.circuit = circuitBreaker{}
	t.report = enginewire.LoadReport{}
	t.reportedAt = time.Time{}
	t.reportAsOf = time.Time{}
	t.loaded = nil
	t.cachedPrefixes = nil
	t.peerForecast = memoryForecast{}
	t.peerTokens = 0
	t.peerAttempts = 0
	t.shard.invalidateCandidates()
}

// recordHistory samples the load of this VM's attempts; callers do so before they change it.
func (t *target) recordHistory(now time.Time) {
	t.history.record(now, t.ownTokens, len(t.reservations))
}

func (t *target) addReservation(r *reservation, now time.Time) {
	t.recordHistory(now)
	r.target = t
	r.index = len(t.reservations)
	t.reservations = append(t.reservations, r)
	t.ownTokens += r.promptTokens
	t.rankForecasts[r.rank].addScaled(&r.forecast, 1)
	t.circuit.onSent()
}

// removeReservation removes the attempt from the target.
func (t *target) removeReservation(r *reservation, now time.Time) {
	t.recordHistory(now)
	last := len(t.reservations) - 1
	swapped := t.reservations[last]
	swapped.index = r.index
	t.reservations[r.index] = swapped
	t.reservations[last] = nil
	t.reservations = t.reservations[:last]
	t.ownTokens -= r.promptTokens + r.produced
	t.rankForecasts[r.rank].addScaled(&r.forecast, -1)
	if last == 0 {
		// Resets rounding errors that accumulate over many additions.
		t.rankForecasts = [maxPriorityRanks]memoryForecast{}
	}
}

// updateProgress sets the number of tokens that the attempt has produced, and renews its forecast when they enter
// another length bucket.
func (t *target) updateProgress(r *reservation, tokens int) {
	t.ownTokens += tokens - r.produced
	r.produced = tokens
	if tokens < r.nextForecastAt {
		return
	}
	r.nextForecastAt = lengths.NextBucketBound(tokens)
	t.rankForecasts[r.rank].addScaled(&r.forecast, -1)
	r.forecast = forecastGeneration(r.curve, r.promptTokens, tokens, r.maxTokens)
	t.rankForecasts[r.rank].addScaled(&r.forecast, 1)
}

// applyReport applies a load report that describes the time asOf and arrived now. The load of other VMs' attempts is
// the reported load less this VM's own load at asOf.
func (t *target) applyReport(report *enginewire.LoadReport, asOf, now time.Time) {
	t.report = *report
	t.reportAsOf = asOf
	t.reportedAt = now
	t.leaving = t.leaving || report.Leaving
	own, found := t.history.sampleAt(asOf)
	if !found {
		own = loadSample{tokens: t.ownTokens, attempts: len(t.reservations)}
	}
	t.peerTokens = max(report.UsedTokens-own.tokens, 0)
	t.peerAttempts = max(report.Running+report.Waiting-own.attempts, 0)
	t.ownTokensAtReport = own.tokens
	t.shareDraw = t.shard.random.Float64()
	t.peerForecast = t.forecastPeers()
	t.setLoaded(report.Loaded)
}

// forecastPeers returns the forecast for the attempts of other VMs. Only their totals are known, so each attempt is
// assumed to have the average size and to have produced half of the mean output.
func (t *target) forecastPeers() memoryForecast {
	var forecast memoryForecast
	if t.peerAttempts == 0 {
		return forecast
	}
	curve := t.shard.outputCurve()
	size := t.peerTokens / t.peerAttempts
	produced := min(int(curve.Mean()/2), size)
	perAttempt := forecastGeneration(curve, size-produced, produced, 0)
	forecast.addScaled(&perAttempt, float64(t.peerAttempts))
	return forecast
}

func (t *target) setLoaded(loaded []enginewire.ModelVariant) {
	unchanged := slices.EqualFunc(loaded, t.loaded, func(l enginewire.ModelVariant, v policy.Variant) bool {
		return l.Model == v.Model && l.Adapter == v.Adapter && l.Version == v.Version
	})
	if unchanged {
		return
	}
	t.loaded = t.loaded[:0:0]
	for _, l := range loaded {
		t.loaded = append(t.loaded, policy.Variant{Model: l.Model, Adapter: l.Adapter, Version: l.Version})
	}
	t.shard.invalidateCandidates()
}

// hasLoaded reports whether the target has the variant loaded; an empty version matches any.
func (t *target) hasLoaded(wanted policy.Variant) bool {
	for _, v := range t.loaded {
		if v.Model == wanted.Model && v.Adapter == wanted.Adapter && (wanted.Version == "" || v.Version == wanted.Version) {
			return true
		}
	}
	return false
}

// expectedForecast returns the forecast of all attempts on the target of at least the given rank. The ranks of
// other VMs' attempts are unknown and assumed to be distributed like those of this VM.
func (t *target) expectedForecast(rank int) memoryForecast {
	var fromRank, all memoryForecast
	for i := range t.rankForecasts {
		all.addScaled(&t.rankForecasts[i], 1)
		if i >= rank {
			fromRank.addScaled(&t.rankForecasts[i], 1)
		}
	}
	share := 1.0
	if rank > 0 && all.peakMean() > 0 {
		share = fromRank.peakMean() / all.peakMean()
	}
	fromRank.addScaled(&t.peerForecast, share)
	return fromRank
}

// usedTokens returns the memory known to be in use.
func (t *target) usedTokens() int { return t.ownTokens + t.peerTokens }
