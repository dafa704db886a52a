package placement

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// ServiceDemand is what a VM tells others of its requests that compete for the memory of a service.
type ServiceDemand struct {
	Service string
	Urgent  UrgentDemand
	// WaitingTokens is the memory that the waiting requests need; zero if none waits.
	WaitingTokens int
	// HeadDue is the time until the precedence of the first of them; it may be negative.
	HeadDue time.Duration
}

// OwnDemand returns the demand of this VM by service; services without any, or whose objectives do
// not compete, are left out.
func (t *Table) OwnDemand(now time.Time) []ServiceDemand {
	t.mu.Lock()
	defer t.mu.Unlock()
	var demands []ServiceDemand
	for name, s := range t.services {
		if !s.objectivesCompete() {
			continue
		}
		demand := ServiceDemand{Service: name, Urgent: s.ownUrgent}
		for _, w := range s.queue.waiting {
			demand.WaitingTokens += w.tokens
		}
		if head := s.queue.head(now); head != nil && demand.WaitingTokens > 0 {
			demand.HeadDue = head.precedence(now).Sub(now)
		}
		if demand.WaitingTokens > 0 || demand.Urgent != (UrgentDemand{}) {
			demands = append(demands, demand)
		}
	}
	slices.SortFunc(demands, func(a, b ServiceDemand) int { return cmp.Compare(a.Service, b.Service) })
	return demands
}

// SetPeerDemand replaces the demand that the peer reported with its last loads.
func (t *Table) SetPeerDemand(peer Sender, demands []ServiceDemand, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	report, found := t.peerLoads[peer]
	if !found {
		return
	}
	t.addPeerDemand(report.demands, -1, now)
	report.demands = make(map[string]peerDemand, len(demands))
	for _, demand := range demands {
		report.demands[demand.Service] = peerDemand{ServiceDemand: demand, headPrecedence: now.Add(demand.HeadDue)}
	}
	t.peerLoads[peer] = report
	t.addPeerDemand(report.demands, 1, now)
}

// peerDemand is the demand of a peer. headPrecedence is the precedence of its first waiting request.
type peerDemand struct {
	ServiceDemand
	headPrecedence time.Time
}

// addPeerDemand adds the demands to the sums of the services, or subtracts them if the sign is -1.
func (t *Table) addPeerDemand(demands map[string]peerDemand, sign int, now time.Time) {
	for name, demand := range demands {
		s := t.services[name]
		if s == nil {
			continue
		}
		s.peerUrgent.add(demand.Urgent.times(sign))
		if sign > 0 {
			s.observeUrgent(now)
		}
	}
}

// recomputePeerDemand adds up the demands of all peers again; a service may have become known after a report.
func (t *Table) recomputePeerDemand(now time.Time) {
	for s := range maps.Values(t.services) {
		s.peerUrgent = UrgentDemand{}
	}
	for _, report := range t.peerLoads {
		t.addPeerDemand(report.demands, 1, now)
	}
}
