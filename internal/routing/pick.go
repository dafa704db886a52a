package routing

import (
	"time"

	"godwitcart/internal/apierror"
	"godwitcart/internal/lengths"
)

const (
	// scoredSampleSize is the number of candidates that are scored in the own zone, and in all other zones together.
	// A random sample keeps entry VMs that see the same delayed reports from all choosing the same target.
	scoredSampleSize = 4
	// maxScanned bounds the candidates that are examined if no sampled one has capacity.
	maxScanned = 32

	// crossZonePenalty and cachedPrefixBonus are terms of a score, in shares of a target's memory.
	crossZonePenalty  = 0.15
	cachedPrefixBonus = 0.1

	overloadedRetryAfter = time.Second
	notRunRetryAfter     = time.Second
)

// Pick chooses a target and reserves memory on it. Errors are of type *apierror.Error: unknown_model if the service
// is unknown, not_run if no target may take work now, and overloaded if targets are available but none
// has capacity.
func (t *Table) Pick(q Query, now time.Time) (Choice, error) {
	s := t.shard(q.Service)
	if s == nil {
		return Choice{}, apierror.Newf(apierror.KindUnknownModel,
			"name a service and model that the configuration declares", "no target of service %q is known", q.Service)
	}
	if q.Zone == "" {
		q.Zone = t.options.Zone
	}
	if q.isPlain() {
		return s.pickPlain(&q, now)
	}
	curve := t.options.Lengths.Curve(q.lengthsKey())
	return s.pickEngine(&q, curve, now)
}

func (q *Query) lengthsKey() lengths.Key {
	return lengths.Key{Service: q.Service, Class: q.Class, Account: q.Account}
}

// selection is the state of one decision.
type selection struct {
	query        *Query
	now          time.Time
	forecast     memoryForecast
	rank         int
	best         *target
	bestScore    float64
	cachedBlocks float64
	// availableCount counts the examined candidates that may take work, with capacity or without.
	availableCount int
}

func (s *shard) pickEngine(q *Query, curve *lengths.Curve, now time.Time) (Choice, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	pool := s.candidatesFor(q)
	state := selection{query: q, now: now, rank: s.rank(q.Priority), forecast: forecastGeneration(curve, q.PromptTokens, 0, q.MaxTokens)}
	s.scoreSample(&state, pool.sameZone, 0)
	s.scoreSample(&state, pool.otherZones, crossZonePenalty)
	if state.best == nil {
		s.scanRest(&state, pool.sameZone, 0)
	}
	if state.best == nil {
		s.scanRest(&state, pool.otherZones, crossZonePenalty)
	}
	if state.best == nil {
		return Choice{}, s.noTargetError(&state)
	}
	return s.reserveBest(&state, curve), nil
}

// scoreSample scores up to scoredSampleSize candidates, drawn at random without replacement, and moves them to the
// front of the list. The penalty is added to each score.
func (s *shard) scoreSample(state *selection, list []*target, penalty float64) {
	if len(list) == 0 {
		return
	}
	start := s.random.IntN(len(list))
	for i := range min(scoredSampleSize, len(list)) {
		// Swaps a random candidate that has not been drawn yet to position i.
		j := i + (start+s.random.IntN(len(list)))%(len(list)-i)
		list[i], list[j] = list[j], list[i]
		s.consider(state, list[i], penalty)
	}
}

// scanRest considers the candidates behind the sample, up to position maxScanned, until one has capacity.
func (s *shard) scanRest(state *selection, list []*target, penalty float64) {
	for i := scoredSampleSize; i < min(len(list), maxScanned) && state.best == nil; i++ {
		s.consider(state, list[i], penalty)
	}
}

// consider keeps the candidate if it is available, has capacity and scores lower than the best so far. The score is
// the expected load plus the penalty, less a bonus for the share of the prompt's blocks that are cached.
func (s *shard) consider(state *selection, t *target, penalty float64) {
	if state.query.excludes(t.vm.Name) || !t.isAvailable(state.now, s.options.ConfirmWithin) {
		return
	}
	state.availableCount++
	load, hasCapacity := s.scoreLoad(state, t)
	if !hasCapacity {
		return
	}
	cached := t.cachedPrefixBlocks(state.query)
	score := load + penalty - cachedPrefixBonus*cached/float64(max(len(state.query.PrefixHashes), 1))
	if state.best == nil || score < state.bestScore {
		state.best = t
		state.bestScore = score
		state.cachedBlocks = cached
	}
}

func (t *target) cachedPrefixBlocks(q *Query) float64 {
	if t.cachedPrefixes == nil || len(q.PrefixHashes) == 0 {
		return 0
	}
	return t.cachedPrefixes.Match(q.PrefixHashes)
}

// reserveBest reserves memory on the best candidate.
func (s *shard) reserveBest(state *selection, curve *lengths.Curve) Choice {
	q := state.query
	r := &reservation{
		curve:          curve,
		key:            q.lengthsKey(),
		priority:       q.Priority,
		rank:           state.rank,
		promptTokens:   q.PromptTokens,
		maxTokens:      q.MaxTokens,
		sentAt:         state.now,
		forecast:       state.forecast,
		nextForecastAt: lengths.NextBucketBound(0),
	}
	t := state.best
	t.addReservation(r, state.now)
	for _, hash := range q.PrefixHashes {
		t.prefixView().Insert(hash)
	}
	choice := t.newChoice(r)
	choice.CachedBlocks = state.cachedBlocks
	return choice
}

func (t *target) newChoice(r *reservation) Choice {
	return Choice{
		Service:     t.shard.service,
		Target:      t.vm.Name,
		Address:     t.vm.Address,
		Zone:        t.vm.Zone,
		Incarnation: t.vm.Incarnation,
		reservation: r,
	}
}

// noTargetError returns the error for a query without a target, overloaded if an available one was examined and
// not_run otherwise.
func (s *shard) noTargetError(state *selection) error {
	if state.availableCount > 0 {
		return apierror.Newf(apierror.KindOverloaded, "come back after the time given",
			"no target of service %q has room", s.service).WithRetryAfter(overloadedRetryAfter)
	}
	return apierror.Newf(apierror.KindNotRun, "come back after the time given",
		"no live target of service %q can run the request now", s.service).WithRetryAfter(notRunRetryAfter)
}

// candidatesFor returns the candidates of the query. Lists are cached until the targets or their loaded variants
// change.
func (s *shard) candidatesFor(q *Query) *candidates {
	key := candidateKey{variant: q.Variant, zone: q.Zone}
	if pool := s.candidates[key]; pool != nil {
		return pool
	}
	if len(s.candidates) >= maxCandidateLists {
		clear(s.candidates)
	}
	pool := &candidates{}
	for _, t := range s.sortedTargets {
		if !q.isPlain() && !t.hasLoaded(q.Variant) {
			continue
		}
		if t.vm.Zone == q.Zone {
			pool.sameZone = append(pool.sameZone, t)
		} else {
			pool.otherZones = append(pool.otherZones, t)
		}
	}
	s.candidates[key] = pool
	return pool
}

// pickPlain chooses a target with few calls in progress. Other zones are used only if the own zone has none with
// capacity.
func (s *shard) pickPlain(q *Query, now time.Time) (Choice, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	pool := s.candidatesFor(q)
	state := selection{query: q, now: now}
	for _, list := range [][]*target{pool.sameZone, pool.otherZones} {
		s.selectLeastBusy(&state, list)
		if state.best != nil {
			break
		}
	}
	if state.best == nil {
		return Choice{}, s.noTargetError(&state)
	}
	r := &reservation{sentAt: now}
	state.best.addReservation(r, now)
	return state.best.newChoice(r), nil
}

// selectLeastBusy considers up to maxScanned targets from a random position on, and keeps the available one with the
// fewest calls in progress if it has fewer than PlainConcurrency.
func (s *shard) selectLeastBusy(state *selection, list []*target) {
	if len(list) == 0 {
		return
	}
	start := s.random.IntN(len(list))
	for i := range min(len(list), maxScanned) {
		t := list[(start+i)%len(list)]
		if state.query.excludes(t.vm.Name) || !t.isAvailable(state.now, s.options.ConfirmWithin) {
			continue
		}
		state.availableCount++
		count := len(t.reservations)
		if count >= s.options.PlainConcurrency {
			continue
		}
		if state.best == nil || float64(count) < state.bestScore {
			state.best = t
			state.bestScore = float64(count)
		}
	}
}
