package placement

import (
	"math"
	"time"

	"godwitcart/internal/policy"
)

const (
	// urgentRiseTime and urgentDecayTime are the time constants with which the estimate of the urgent demand follows a higher
	// and a lower observation. Memory that is kept too long delays less urgent requests, and memory that is kept too late
	// is filled for seconds.
	urgentRiseTime  = 300 * time.Millisecond
	urgentDecayTime = 2 * time.Second
	// urgentMargin is the number of standard deviations by which the demand may exceed its estimate, for independent arrivals.
	urgentMargin = 2.0
	// urgentPlaceSize is the size of a kept place in mean sizes of urgent generations: prompts differ in length, and a
	// place of the mean would hold only about half of them.
	urgentPlaceSize = 1.5
	// urgentObjectiveRatio is the ratio to the tightest latency objective of a service below which an objective counts as
	// urgent: one that is at least twice as long leaves time to wait for what urgent generations release.
	urgentObjectiveRatio = 2.0
	// maxKeptShare is the largest share of the memory of a service that is kept for urgent generations.
	maxKeptShare = 0.5
)

// UrgentDemand is the demand of one or several VMs for memory for urgent generations: those whose latency objective is among
// the tightest of their service.
type UrgentDemand struct {
	// Running counts the generations that hold memory, Waiting those that wait for it.
	Running, Waiting int
	// Tokens is the memory of both.
	Tokens int
}

func (d *UrgentDemand) add(other UrgentDemand) {
	d.Running += other.Running
	d.Waiting += other.Waiting
	d.Tokens += other.Tokens
}

func (d UrgentDemand) times(factor int) UrgentDemand {
	return UrgentDemand{Running: factor * d.Running, Waiting: factor * d.Waiting, Tokens: factor * d.Tokens}
}

// demandEstimate is a smoothed UrgentDemand. It holds the number of generations at a time and not their rate: the number
// includes how long each holds its memory.
type demandEstimate struct {
	generations float64
	meanTokens  float64
	observedAt  time.Time
}

// observe records the current demand of all VMs.
func (e *demandEstimate) observe(demand UrgentDemand, now time.Time) {
	count := demand.Running + demand.Waiting
	elapsed := max(0, now.Sub(e.observedAt))
	e.observedAt = now
	difference := float64(count) - e.generations
	timeConstant := urgentDecayTime
	if difference > 0 {
		timeConstant = urgentRiseTime
	}
	e.generations += difference * (1 - math.Exp(-elapsed.Seconds()/timeConstant.Seconds()))
	if count > 0 {
		e.meanTokens = float64(demand.Tokens) / float64(count)
	}
}

// keptPlaces returns how many places for urgent generations have to be free besides those that are taken.
func (e *demandEstimate) keptPlaces(running int) int {
	if e.generations < 1 {
		return 0
	}
	return max(0, int(math.Ceil(e.generations+urgentMargin*math.Sqrt(e.generations)))-running)
}

// placeTokens returns the size of a place.
func (e *demandEstimate) placeTokens() int { return int(urgentPlaceSize * e.meanTokens) }

// keptRoom is the memory that less urgent generations leave free at a moment, in places of one size. Only places of a
// whole urgent generation count: free memory that is scattered over many engines holds none.
//
// Places are counted below the ordinary limit, so that what is above it remains for generations that move.
type keptRoom struct {
	// capacity is the memory of an engine in which places are counted.
	capacity                int
	placeTokens, kept, free int
}

// freePlaces returns how many places an engine has.
func (r *keptRoom) freePlaces(used, capacity, freeSlots int) int {
	return max(0, min((capacity-used)/r.placeTokens, freeSlots))
}

// leavesEnough reports whether the kept places remain free when a generation of the size is placed on the engine.
func (r *keptRoom) leavesEnough(used, freeSlots, tokens int) bool {
	if r == nil {
		return true
	}
	lost := r.freePlaces(used, r.capacity, freeSlots) - r.freePlaces(used+tokens, r.capacity, freeSlots-1)
	return lost == 0 || r.free-lost >= r.kept
}

// isUrgent reports whether the query is for an urgent generation. Where all objectives of a service are alike, none is.
func (s *service) isUrgent(q *Query) bool {
	urgentBelow := urgentObjectiveRatio * float64(s.objectives.Tightest)
	return q.MemoryTokens > 0 && q.FirstEventObjective > 0 && float64(q.FirstEventObjective) < urgentBelow && s.objectivesCompete()
}

// objectivesCompete reports whether the latency objectives of the service's generations are so far apart that some can wait
// for others. Where they are alike, nothing is gained by an order among them, and requests wait by priority and arrival.
func (s *service) objectivesCompete() bool { return compete(s.objectives) }

func compete(objectives policy.ObjectiveRange) bool {
	return objectives.Tightest > 0 && float64(objectives.Loosest) >= urgentObjectiveRatio*float64(objectives.Tightest)
}

// ObjectivesCompete reports whether requests of the service wait by their objectives.
func (t *Table) ObjectivesCompete(name string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return compete(t.objectives[name])
}

// SetObjectives replaces the latency objectives of generations, by service. They come from the configuration in force, so that
// all VMs decide alike, whatever requests each has seen.
func (t *Table) SetObjectives(objectives map[string]policy.ObjectiveRange) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.objectives = objectives
	for name, s := range t.services {
		s.objectives = objectives[name]
	}
}

// yields reports whether the query leaves memory free for urgent generations. One of the highest priority does so while it
// is in time.
func (s *service) yields(q *Query, now time.Time) bool {
	if q.MemoryTokens == 0 || q.VersionFixed || q.ObjectiveEnds.IsZero() || s.isUrgent(q) {
		return false
	}
	return q.Priority > 0 || now.Before(q.ObjectiveEnds.Add(-s.prefillTime(q)))
}

// recordUrgent adds a change to the own urgent demand of the service.
func (s *service) recordUrgent(change UrgentDemand, now time.Time) {
	if change == (UrgentDemand{}) {
		return
	}
	s.ownUrgent.add(change)
	s.observeUrgent(now)
}

func (s *service) observeUrgent(now time.Time) {
	total := s.ownUrgent
	total.add(s.peerUrgent)
	s.urgentEstimate.observe(total, now)
}

// keptRoomFor returns the memory that the query has to leave free, or nil for none. Where loads of other zones are known
// only as totals, the urgent demand is known of the own zone alone, and memory is kept on its engines.
func (t *Table) keptRoomFor(s *service, q *Query, now time.Time) *keptRoom {
	if !s.yields(q, now) {
		return nil
	}
	s.observeUrgent(now)
	room := &keptRoom{capacity: int(ordinaryMemoryLimit * float64(q.MemoryTokens)), placeTokens: s.urgentEstimate.placeTokens(), kept: s.urgentEstimate.keptPlaces(s.ownUrgent.Running + s.peerUrgent.Running)}
	if room.kept == 0 || room.placeTokens == 0 {
		return nil
	}
	engines := 0
	for _, member := range s.targets {
		if t.isOutsideKnownZone(member) || !member.canTakeWork(now) {
			continue
		}
		engines++
		load := member.ownLoad.Plus(member.peerLoad)
		room.free += room.freePlaces(load.MemoryTokens, room.capacity, member.Slots-load.Requests)
	}
	room.kept = min(room.kept, int(maxKeptShare*float64(engines*q.MemoryTokens)/float64(room.placeTokens)))
	return room
}

func (t *Table) isOutsideKnownZone(member *target) bool {
	return t.zoneAggregates > 0 && member.Zone != t.self.Zone
}
