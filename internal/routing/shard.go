package routing

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"godwitcart/internal/lengths"
	"godwitcart/internal/membership"
	"godwitcart/internal/wire/enginewire"
)

// invalidateCandidates drops the cached candidate lists, which the next Pick rebuilds. The caller holds the lock.
func (s *shard) invalidateCandidates() { clear(s.candidates) }

// updateTargets replaces the listed targets, keeping the state of those that remain, and returns the names of the
// removed ones. If neither the targets nor their zones changed, the cached candidate lists stay valid.
func (s *shard) updateTargets(vms []membership.VM, now time.Time) (removed []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.dropExpiredRetired(now)
	listed := 0
	for i := range vms {
		current := s.targets[vms[i].Name]
		if current == nil || current.vm.Zone != vms[i].Zone {
			return s.replaceTargets(vms, now)
		}
		current.updateMembership(vms[i])
		listed++
	}
	if listed != len(s.targets) {
		return s.replaceTargets(vms, now)
	}
	return nil
}

// replaceTargets implements updateTargets for lists in which targets were added, removed or moved to another zone.
func (s *shard) replaceTargets(vms []membership.VM, now time.Time) (removed []string) {
	previous := s.targets
	s.targets = make(map[string]*target, len(vms))
	s.sortedTargets = s.sortedTargets[:0]
	for _, vm := range vms {
		current := cmp.Or(previous[vm.Name], s.retired[vm.Name])
		if current == nil {
			current = &target{shard: s, vm: vm}
		}
		delete(s.retired, vm.Name)
		current.updateMembership(vm)
		s.targets[vm.Name] = current
		s.sortedTargets = append(s.sortedTargets, current)
	}
	for name, t := range previous {
		if s.targets[name] == nil {
			removed = append(removed, name)
			t.retiredAt = now
			s.retired[name] = t
		}
	}
	slices.SortFunc(s.sortedTargets, func(a, b *target) int { return strings.Compare(a.vm.Name, b.vm.Name) })
	s.invalidateCandidates()
	return removed
}

// retiredTTL is how long the state of a target is kept after it was removed from the list.
const retiredTTL = 30 * time.Second

// dropExpiredRetired drops the state of targets that were removed more than retiredTTL ago.
func (s *shard) dropExpiredRetired(now time.Time) {
	for name, t := range s.retired {
		if now.Sub(t.retiredAt) > retiredTTL {
			delete(s.retired, name)
		}
	}
}

// updateMembership applies the directory's entry of the target. If the entry names another incarnation and was
// confirmed after the last load report, the state of the known incarnation is dropped; if the report is newer, the
// known incarnation and its state stay. An entry without an incarnation leaves the known one.
func (t *target) updateMembership(vm membership.VM) {
	knownIncarnation := t.vm.Incarnation
	incarnationChanged := vm.Incarnation != "" && knownIncarnation != "" && vm.Incarnation != knownIncarnation
	if incarnationChanged && vm.ConfirmedAt.After(t.reportedAt) {
		t.resetIncarnation(vm.Incarnation)
	}
	if incarnationChanged && !vm.ConfirmedAt.After(t.reportedAt) {
		vm.State = t.vm.State
	}
	if knownIncarnation != "" && t.vm.Incarnation == knownIncarnation {
		vm.Incarnation = knownIncarnation
	}
	t.vm = vm
}

// applyReport applies a load report that describes a later time than the last one. A report of another incarnation
// means that the target restarted: the state of the old incarnation is dropped and the target is live.
func (s *shard) applyReport(name string, report *enginewire.LoadReport, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.targets[name]
	if t == nil {
		return
	}
	asOf := reportTime(report.AsOfUnixMillis, now)
	if !asOf.After(t.reportAsOf) {
		return
	}
	if report.Incarnation != t.vm.Incarnation {
		knownIncarnation := t.vm.Incarnation
		if knownIncarnation != "" {
			t.resetIncarnation(report.Incarnation)
			t.vm.State = membership.StateLive
		}
		t.vm.Incarnation = report.Incarnation
	}
	t.applyReport(report, asOf, now)
}

// reportTime returns the time that a report describes. The engine's clock is trusted if the report is not in
// the future and at most maxReportLag old.
func reportTime(unixMillis int64, now time.Time) time.Time {
	asOf := time.UnixMilli(unixMillis)
	lag := now.Sub(asOf)
	if lag < 0 || lag > maxReportLag {
		return now.Add(-assumedReportLag)
	}
	return asOf
}

func (s *shard) applyCacheEvents(name string, events []enginewire.CacheEvent) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if t := s.targets[name]; t != nil {
		t.prefixView().Apply(events)
	}
}

func (s *shard) endAttempt(r *reservation, outcome Outcome, now time.Time) {
	r.ended = true
	t := r.target
	t.removeReservation(r, now)
	switch outcome {
	case OutcomeCompleted:
		t.circuit.onSuccess()
	case OutcomeFailed:
		t.circuit.onFailure(now)
	case OutcomeRefused, OutcomeCanceled:
		t.circuit.onNeutralEnd()
	}
}

// outputCurve returns the distribution of the service's output lengths.
func (s *shard) outputCurve() *lengths.Curve {
	if s.cachedCurve == nil || s.curveUses >= maxCurveUses {
		s.cachedCurve = s.options.Lengths.Curve(lengths.Key{Service: s.service})
		s.curveUses = 0
	}
	s.curveUses++
	return s.cachedCurve
}

// setPriorities changes the ranks and moves the forecasts of running attempts to their new ranks.
func (s *shard) setPriorities(priorities []int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if slices.Equal(s.priorities, priorities) {
		return
	}
	s.priorities = priorities
	for _, t := range s.sortedTargets {
		t.rankForecasts = [maxPriorityRanks]memoryForecast{}
		for _, r := range t.reservations {
			r.rank = s.rank(r.priority)
			t.rankForecasts[r.rank].addScaled(&r.forecast, 1)
		}
	}
}

// rank returns the index of the priority among the known ones; the lowest has rank 0.
func (s *shard) rank(priority int) int {
	rank := 0
	for rank+1 < len(s.priorities) && s.priorities[rank+1] <= priority {
		rank++
	}
	return min(rank, maxPriorityRanks-1)
}

// higherRanks returns the number of known priorities above the rank.
func (s *shard) higherRanks(rank int) int {
	return max(min(len(s.priorities), maxPriorityRanks)-1-rank, 0)
}

func (s *shard) appendRows(rows []TargetRow, now time.Time) []TargetRow {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, t := range s.sortedTargets {
		rows = append(rows, t.toRow(now))
	}
	return rows
}

func (t *target) toRow(now time.Time) TargetRow {
	expected := t.expectedForecast(0)
	row := TargetRow{
		Name:             t.vm.Name,
		Service:          t.shard.service,
		Zone:             t.vm.Zone,
		Address:          t.vm.Address,
		Incarnation:      t.vm.Incarnation,
		State:            t.vm.State,
		Circuit:          t.circuit.stateName(now),
		InProgress:       len(t.reservations),
		Running:          t.report.Running,
		Waiting:          t.report.Waiting,
		MemoryTokens:     t.report.MemoryTokens,
		UsedTokens:       t.report.UsedTokens,
		Preemptions:      t.report.Preemptions,
		ExpectedTokens:   int(expected.mean[middleHorizon]),
		ReportAgeSeconds: -1,
		Loaded:           slices.Clone(t.loaded),
	}
	if t.leaving && row.State < membership.StateLeaving {
		row.State = membership.StateLeaving
	}
	row.StateName = row.State.String()
	if !t.reportedAt.IsZero() {
		row.ReportAgeSeconds = now.Sub(t.reportAsOf).Seconds()
	}
	if t.cachedPrefixes != nil {
		row.CacheGaps = t.cachedPrefixes.Gaps()
	}
	return row
}
