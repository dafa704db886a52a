package routing

import (
	"time"

	"godwitcart/internal/apierror"
	"godwitcart/internal/lengths"
)

const (
	// sampleSize is the number of candidates of each zone that are scored; a sample keeps entry
	// VMs that see the same lagging reports from all choosing the same target.
	sampleSize = 4
	// maxLooked is the number of candidates looked at when none of the sample has room.
	maxLooked = 32

	// otherZoneCost and cachedGain are in shares of a target's memory.
	otherZoneCost = 0.15
	cachedGain    = 0.1

	overloadedRetryAfter = time.Second
	notRunRetryAfter     = time.Second
)

// Pick chooses a target and reserves memory on it. Errors are of type *apierror.Error:
// unknown_model when the service is not known, not_run when no target may take work now, and
// overloaded when targets serve but none has room.
func (t *Table) Pick(q Query, now time.Time) (Choice, error) {
	s := t.shard(q.Service)
	if s == nil {
		return Choice{}, apierror.Newf(apierror.KindUnknownModel,
			"name a service and model that the configuration declares", "no target of service %q is known", q.Service)
	}
	if q.Zone == "" {
		q.Zone = t.options.Zone
	}
	if q.plain() {
		return s.pickPlain(&q, now)
	}
	curve := t.options.Lengths.Curve(q.key())
	return s.pickEngine(&q, curve, now)
}

func (q *Query) key() lengths.Key {
	return lengths.Key{Service: q.Service, Class: q.Class, Account: q.Account}
}

// search is the state of one decision.
type search struct {
	query  *Query
	now    time.Time
	demand demand
	rank   int
	best   *target
	score  float64
	cached float64
	// serving counts the candidates seen that may take work, with room or without.
	serving int
}

func (s *shard) pickEngine(q *Query, curve *lengths.Curve, now time.Time) (Choice, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	found := s.find(q)
	state := search{query: q, now: now, rank: s.rank(q.Priority), demand: forecast(curve, q.PromptTokens, 0, q.MaxTokens)}
	s.sample(&state, found.own, 0)
	s.sample(&state, found.other, otherZoneCost)
	if state.best == nil {
		s.look(&state, found.own, 0)
	}
	if state.best == nil {
		s.look(&state, found.other, otherZoneCost)
	}
	if state.best == nil {
		return Choice{}, s.noTarget(&state)
	}
	return s.choose(&state, curve), nil
}

// sample scores sampleSize candidates in a row from a random one.
func (s *shard) sample(state *search, list []*target, cost float64) {
	if len(list) == 0 {
		return
	}
	start := s.random.IntN(len(list))
	for i := range min(sampleSize, len(list)) {
		// Swaps a random one of those not yet taken to the front.
		j := i + (start+s.random.IntN(len(list)))%(len(list)-i)
		list[i], list[j] = list[j], list[i]
		s.consider(state, list[i], cost)
	}
}

// look takes the first candidate with room after the sample.
func (s *shard) look(state *search, list []*target, cost float64) {
	for i := sampleSize; i < min(len(list), maxLooked) && state.best == nil; i++ {
		s.consider(state, list[i], cost)
	}
}

// consider keeps the candidate when it serves, has room and scores better than the best so far.
func (s *shard) consider(state *search, t *target, cost float64) {
	if state.query.excludes(t.vm.Name) || !t.serving(state.now, s.options.ConfirmWithin) {
		return
	}
	state.serving++
	load, room := s.load(state, t)
	if !room {
		return
	}
	cached := t.match(state.query)
	score := load + cost - cachedGain*cached/float64(max(len(state.query.PrefixHashes), 1))
	if state.best == nil || score < state.score {
		state.best = t
		state.score = score
		state.cached = cached
	}
}

func (t *target) match(q *Query) float64 {
	if t.cache == nil || len(q.PrefixHashes) == 0 {
		return 0
	}
	return t.cache.Match(q.PrefixHashes)
}

// choose reserves the best candidate.
func (s *shard) choose(state *search, curve *lengths.Curve) Choice {
	q := state.query
	r := &reservation{
		curve:      curve,
		key:        q.key(),
		priority:   q.Priority,
		rank:       state.rank,
		prompt:     q.PromptTokens,
		maxTokens:  q.MaxTokens,
		sentAt:     state.now,
		demand:     state.demand,
		nextChange: lengths.NextChange(0),
	}
	t := state.best
	t.reserve(r, state.now)
	for _, hash := range q.PrefixHashes {
		t.view().Insert(hash)
	}
	choice := t.choice(r)
	choice.CachedBlocks = state.cached
	return choice
}

func (t *target) choice(r *reservation) Choice {
	return Choice{
		Service:     t.shard.service,
		Target:      t.vm.Name,
		Address:     t.vm.Address,
		Zone:        t.vm.Zone,
		Incarnation: t.vm.Incarnation,
		reservation: r,
	}
}

func (s *shard) noTarget(state *search) error {
	if state.serving > 0 {
		return apierror.Newf(apierror.KindOverloaded, "come back after the time given",
			"no target of service %q has room", s.service).WithRetryAfter(overloadedRetryAfter)
	}
	return apierror.Newf(apierror.KindNotRun, "come back after the time given",
		"no live target of service %q can run the request now", s.service).WithRetryAfter(notRunRetryAfter)
}

// find returns the candidates of the query. Lists are kept until targets or loads change.
func (s *shard) find(q *Query) *candidates {
	key := candidateKey{variant: q.Variant, zone: q.Zone}
	if known := s.candidates[key]; known != nil {
		return known
	}
	if len(s.candidates) >= maxCandidateLists {
		clear(s.candidates)
	}
	found := &candidates{}
	for _, t := range s.order {
		if !q.plain() && !t.runs(q.Variant) {
			continue
		}
		if t.vm.Zone == q.Zone {
			found.own = append(found.own, t)
		} else {
			found.other = append(found.other, t)
		}
	}
	s.candidates[key] = found
	return found
}

// pickPlain chooses the target with the fewest calls in progress of a sample, own zone first.
func (s *shard) pickPlain(q *Query, now time.Time) (Choice, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	found := s.find(q)
	state := search{query: q, now: now}
	for _, list := range [][]*target{found.own, found.other} {
		s.leastInProgress(&state, list)
		if state.best != nil {
			break
		}
	}
	if state.best == nil {
		return Choice{}, s.noTarget(&state)
	}
	r := &reservation{sentAt: now}
	state.best.reserve(r, now)
	return state.best.choice(r), nil
}

func (s *shard) leastInProgress(state *search, list []*target) {
	if len(list) == 0 {
		return
	}
	start := s.random.IntN(len(list))
	for i := range min(len(list), maxLooked) {
		t := list[(start+i)%len(list)]
		if state.query.excludes(t.vm.Name) || !t.serving(state.now, s.options.ConfirmWithin) {
			continue
		}
		state.serving++
		count := len(t.reservations)
		if count >= s.options.PlainConcurrency {
			continue
		}
		if state.best == nil || float64(count) < state.score {
			state.best = t
			state.score = float64(count)
		}
	}
}
