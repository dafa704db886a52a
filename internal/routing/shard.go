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

// changed drops the lists of candidates; Pick builds them anew. The caller holds the lock.
func (s *shard) changed() { clear(s.candidates) }

// setTargets replaces the targets, keeping what is known of those that stay, and returns the
// names of those that went.
func (s *shard) setTargets(vms []membership.VM, now time.Time) (gone []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.forgetRetired(now)
	listed := 0
	for i := range vms {
		known := s.targets[vms[i].Name]
		if known == nil || known.vm.Zone != vms[i].Zone {
			return s.replaceTargets(vms, now)
		}
		known.update(vms[i])
		listed++
	}
	if listed != len(s.targets) {
		return s.replaceTargets(vms, now)
	}
	return nil
}

// replaceTargets is setTargets when targets come, go or move.
func (s *shard) replaceTargets(vms []membership.VM, now time.Time) (gone []string) {
	former := s.targets
	s.targets = make(map[string]*target, len(vms))
	s.order = s.order[:0]
	for _, vm := range vms {
		found := cmp.Or(former[vm.Name], s.retired[vm.Name])
		if found == nil {
			found = &target{shard: s, vm: vm}
		}
		delete(s.retired, vm.Name)
		found.update(vm)
		s.targets[vm.Name] = found
		s.order = append(s.order, found)
	}
	for name, t := range former {
		if s.targets[name] == nil {
			gone = append(gone, name)
			t.retiredAt = now
			s.retired[name] = t
		}
	}
	slices.SortFunc(s.order, func(a, b *target) int { return strings.Compare(a.vm.Name, b.vm.Name) })
	s.changed()
	return gone
}

// retiredFor is how long what is known of a target outlasts its place in the list.
const retiredFor = 30 * time.Second

// forgetRetired drops targets that left the list long ago.
func (s *shard) forgetRetired(now time.Time) {
	for name, t := range s.retired {
		if now.Sub(t.retiredAt) > retiredFor {
			delete(s.retired, name)
		}
	}
}

// update takes what the directory says of the target. Its own newer reports outweigh the directory.
func (t *target) update(vm membership.VM) {
	known := t.vm.Incarnation
	renewed := vm.Incarnation != "" && known != "" && vm.Incarnation != known
	if renewed && vm.ConfirmedAt.After(t.reportedAt) {
		t.restarted(vm.Incarnation)
	}
	if renewed && !vm.ConfirmedAt.After(t.reportedAt) {
		vm.State = t.vm.State
	}
	if known != "" && t.vm.Incarnation == known {
		vm.Incarnation = known
	}
	t.vm = vm
}

func (s *shard) applyReport(name string, report *enginewire.LoadReport, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.targets[name]
	if t == nil {
		return
	}
	asOf := reportTime(report.AsOfUnixMillis, now)
	if !asOf.After(t.asOf) {
		return
	}
	if report.Incarnation != t.vm.Incarnation {
		known := t.vm.Incarnation
		if known != "" {
			t.restarted(report.Incarnation)
			t.vm.State = membership.StateLive
		}
		t.vm.Incarnation = report.Incarnation
	}
	t.apply(report, asOf, now)
}

// reportTime returns when a report was true. The engine's clock is believed within maxReportLag.
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
		t.view().Apply(events)
	}
}

func (s *shard) done(r *reservation, outcome Outcome, now time.Time) {
	r.done = true
	t := r.target
	t.release(r, now)
	switch outcome {
	case OutcomeCompleted:
		t.circuit.succeeded()
	case OutcomeFailed:
		t.circuit.failed(now)
	case OutcomeRefused, OutcomeCanceled:
		t.circuit.released()
	}
}

// curve returns the distribution of the service's outputs.
func (s *shard) curve() *lengths.Curve {
	if s.serviceCurve == nil || s.curveUses >= curveReuse {
		s.serviceCurve = s.options.Lengths.Curve(lengths.Key{Service: s.service})
		s.curveUses = 0
	}
	s.curveUses++
	return s.serviceCurve
}

// setPriorities changes the ranks; the demand of running attempts moves to their new rank.
func (s *shard) setPriorities(priorities []int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if slices.Equal(s.priorities, priorities) {
		return
	}
	s.priorities = priorities
	for _, t := range s.order {
		t.ranks = [maxRanks]demand{}
		for _, r := range t.reservations {
			r.rank = s.rank(r.priority)
			t.ranks[r.rank].add(&r.demand, 1)
		}
	}
}

// rank returns the place of the priority among those known, the lowest first.
func (s *shard) rank(priority int) int {
	rank := 0
	for rank+1 < len(s.priorities) && s.priorities[rank+1] <= priority {
		rank++
	}
	return min(rank, maxRanks-1)
}

// below returns the number of known priorities above the rank.
func (s *shard) below(rank int) int {
	return max(min(len(s.priorities), maxRanks)-1-rank, 0)
}

func (s *shard) appendRows(rows []TargetRow, now time.Time) []TargetRow {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, t := range s.order {
		rows = append(rows, t.row(now))
	}
	return rows
}

func (t *target) row(now time.Time) TargetRow {
	expected := t.expected(0)
	row := TargetRow{
		Name:             t.vm.Name,
		Service:          t.shard.service,
		Zone:             t.vm.Zone,
		Address:          t.vm.Address,
		Incarnation:      t.vm.Incarnation,
		State:            t.vm.State,
		Circuit:          t.circuit.name(now),
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
		row.ReportAgeSeconds = now.Sub(t.asOf).Seconds()
	}
	if t.cache != nil {
		row.CacheGaps = t.cache.Gaps()
	}
	return row
}
