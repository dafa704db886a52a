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

// reservation is what one attempt of this VM holds on its target.
type reservation struct {
	target    *target
	index     int
	curve     *lengths.Curve
	key       lengths.Key
	priority  int
	rank      int
	prompt    int
	maxTokens int
	sentAt    time.Time
	// produced is the number of tokens received; nextChange the number at which demand is renewed.
	produced   int
	nextChange int
	demand     demand
	done       bool
}

// target is the state of one target. Its service's lock guards it.
type target struct {
	shard *shard
	vm    membership.VM
	// leaving and gone are facts of the current incarnation; they are never taken back within it.
	leaving      bool
	circuit      circuit
	report       enginewire.LoadReport
	reportedAt   time.Time
	asOf         time.Time
	loaded       []policy.Variant
	cache        *prefix.View
	reservations []*reservation
	// ranks holds the demand of the attempts of each priority rank.
	ranks [maxRanks]demand
	// tokens is the memory held by this VM's attempts: prompts and output so far.
	tokens  int
	history history
	// others is the forecast of what other VMs' attempts need, from the last report.
	others demand
	// othersTokens is what other VMs' attempts held at the last report.
	othersTokens int
	othersCount  int
	// tokensAsOf is what this VM's attempts held when the last report was true.
	tokensAsOf int
	// lot is a number from 0 up to 1 that is drawn at each report.
	lot            float64
	pressuredUntil time.Time
	// retiredAt is when the target was last taken off the list.
	retiredAt time.Time
}

// serving reports whether the target may take new work.
func (t *target) serving(now time.Time, confirmWithin time.Duration) bool {
	if t.leaving || t.vm.State >= membership.StateLeaving {
		return false
	}
	return now.Sub(t.confirmedAt()) <= confirmWithin && t.circuit.allows(now)
}

func (t *target) confirmedAt() time.Time {
	if t.reportedAt.After(t.vm.ConfirmedAt) {
		return t.reportedAt
	}
	return t.vm.ConfirmedAt
}

// restarted takes a new incarnation; facts and reports of the old one no longer hold.
func (t *target) restarted(incarnation string) {
	t.vm.Incarnation = incarnation
	t.leaving = false
	t.circuit = circuit{}
	t.report = enginewire.LoadReport{}
	t.reportedAt = time.Time{}
	t.asOf = time.Time{}
	t.loaded = nil
	t.cache = nil
	t.others = demand{}
	t.othersTokens = 0
	t.othersCount = 0
	t.shard.changed()
}

// note records what this VM's attempts hold, before a change.
func (t *target) note(now time.Time) {
	t.history.record(now, t.tokens, len(t.reservations))
}

// reserve adds the attempt to what the target holds.
func (t *target) reserve(r *reservation, now time.Time) {
	t.note(now)
	r.target = t
	r.index = len(t.reservations)
	t.reservations = append(t.reservations, r)
	t.tokens += r.prompt
	t.ranks[r.rank].add(&r.demand, 1)
	t.circuit.sent()
}

// release takes the attempt off the target.
func (t *target) release(r *reservation, now time.Time) {
	t.note(now)
	last := len(t.reservations) - 1
	moved := t.reservations[last]
	moved.index = r.index
	t.reservations[r.index] = moved
	t.reservations[last] = nil
	t.reservations = t.reservations[:last]
	t.tokens -= r.prompt + r.produced
	t.ranks[r.rank].add(&r.demand, -1)
	if last == 0 {
		// Clears the rounding errors of many additions.
		t.ranks = [maxRanks]demand{}
	}
}

// progress takes the number of tokens that the attempt has produced, and forecasts it anew when
// they pass the border of a length bucket.
func (t *target) progress(r *reservation, tokens int) {
	t.tokens += tokens - r.produced
	r.produced = tokens
	if tokens < r.nextChange {
		return
	}
	r.nextChange = lengths.NextChange(tokens)
	t.ranks[r.rank].add(&r.demand, -1)
	r.demand = forecast(r.curve, r.prompt, tokens, r.maxTokens)
	t.ranks[r.rank].add(&r.demand, 1)
}

// apply takes a load report that was true at asOf.
func (t *target) apply(report *enginewire.LoadReport, asOf, now time.Time) {
	t.report = *report
	t.asOf = asOf
	t.reportedAt = now
	t.leaving = t.leaving || report.Leaving
	own, changed := t.history.at(asOf)
	if !changed {
		own = sample{tokens: t.tokens, count: len(t.reservations)}
	}
	t.othersTokens = max(report.UsedTokens-own.tokens, 0)
	t.othersCount = max(report.Running+report.Waiting-own.count, 0)
	t.tokensAsOf = own.tokens
	t.lot = t.shard.random.Float64()
	t.others = t.othersForecast()
	t.setLoaded(report.Loaded)
}

// othersForecast forecasts attempts of which only the sum is known, each at half of the mean output.
func (t *target) othersForecast() demand {
	var d demand
	if t.othersCount == 0 {
		return d
	}
	curve := t.shard.curve()
	size := t.othersTokens / t.othersCount
	produced := min(int(curve.Mean()/2), size)
	each := forecast(curve, size-produced, produced, 0)
	d.add(&each, float64(t.othersCount))
	return d
}

func (t *target) setLoaded(loaded []enginewire.Loaded) {
	same := slices.EqualFunc(loaded, t.loaded, func(l enginewire.Loaded, v policy.Variant) bool {
		return l.Model == v.Model && l.Adapter == v.Adapter && l.Version == v.Version
	})
	if same {
		return
	}
	t.loaded = t.loaded[:0:0]
	for _, l := range loaded {
		t.loaded = append(t.loaded, policy.Variant{Model: l.Model, Adapter: l.Adapter, Version: l.Version})
	}
	t.shard.changed()
}

// runs reports whether the target has the variant loaded; a query without a version takes any.
func (t *target) runs(wanted policy.Variant) bool {
	for _, v := range t.loaded {
		if v.Model == wanted.Model && v.Adapter == wanted.Adapter && (wanted.Version == "" || v.Version == wanted.Version) {
			return true
		}
	}
	return false
}

// expected returns the demand of everything on the target of at least the rank. The ranks of
// other VMs' attempts are not known; they are taken to be mixed as this VM's own.
func (t *target) expected(rank int) demand {
	var total, all demand
	for i := range t.ranks {
		all.add(&t.ranks[i], 1)
		if i >= rank {
			total.add(&t.ranks[i], 1)
		}
	}
	share := 1.0
	if rank > 0 && all.peak() > 0 {
		share = total.peak() / all.peak()
	}
	total.add(&t.others, share)
	return total
}

// tokensNow returns the memory in use, as far as it is known.
func (t *target) tokensNow() int { return t.tokens + t.othersTokens }
