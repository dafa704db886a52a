package placement

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"godwitcart/internal/apierror"
	"godwitcart/internal/policy"
	"godwitcart/internal/roster"
)

// TestLongestWait: callers are refused while an answer would still be in time, or hold a place that can no longer help them.
func TestLongestWait(t *testing.T) {
	const ms = time.Millisecond
	for name, c := range map[string]struct {
		patience Patience
		want     time.Duration
	}{
		"late answers are of use":          {Patience{Objective: 1500 * ms, Left: 6000 * ms, FirstEvent: 300 * ms}, 2700 * ms},
		"up to twice the objective":        {Patience{Objective: 4000 * ms, Left: 39000 * ms, FirstEvent: 400 * ms}, 8000 * ms},
		"what has passed counts":           {Patience{Objective: 1500 * ms, Elapsed: 1000 * ms, Left: 20000 * ms, FirstEvent: 300 * ms}, 2000 * ms},
		"in time although the end is near": {Patience{Objective: 1000 * ms, Left: 1100 * ms, FirstEvent: 200 * ms}, 800 * ms},
		"hopeless":                         {Patience{Objective: 1000 * ms, Left: 100 * ms, FirstEvent: 200 * ms}, 0},
		"long past its objective":          {Patience{Objective: 1000 * ms, Elapsed: 5000 * ms, Left: 9000 * ms, FirstEvent: 200 * ms}, 0},
	} {
		require.Equal(t, c.want, c.patience.LongestWait(), name)
	}
}

// newRoomTable returns a table of a service whose objectives are those of roomQueries.
func newRoomTable(vm string, seed uint64, targets ...roster.Target) *Table {
	table := newTestTable(vm, seed, targets...)
	table.SetObjectives(map[string]policy.ObjectiveRange{testService: {Tightest: 1500 * time.Millisecond, Loosest: 4 * time.Second}})
	return table
}

// roomQueries are a generation with time to wait and one with a tight objective.
func roomQueries(now time.Time) (lax, tight Query) {
	lax = Query{Service: testService, Zone: zoneA, MemoryTokens: 26000, PromptTokens: 3000, OutputTokens: 700, Priority: 2, FirstEventObjective: 4 * time.Second, ObjectiveEnds: now.Add(4 * time.Second)}
	tight = Query{Service: testService, Zone: zoneA, MemoryTokens: 26000, PromptTokens: 2200, OutputTokens: 10, Priority: 2, FirstEventObjective: 1500 * time.Millisecond, ObjectiveEnds: now.Add(1500 * time.Millisecond)}
	return lax, tight
}

// TestRoomIsKeptForTightObjectives plays VMs that exchange their loads while long generations ask for a tenth more than all memory
// and 43 tight ones a second arrive at the fleet. A fifth of the reports is lost and the others come late. At most 4% of the tight
// ones may be refused, and what they do not need goes to the long ones.
func TestRoomIsKeptForTightObjectives(t *testing.T) {
	const engines, step, steps = 40, 10 * time.Millisecond, 1200
	for _, vms := range []int{9, 83, 300} {
		t.Run(fmt.Sprint(vms), func(t *testing.T) {
			m := newRoomModel(vms, engines)
			held := 0
			for i := range steps {
				now := startTime.Add(time.Duration(i) * step)
				m.advance(now)
				lax, tight := roomQueries(now)
				if m.random.Float64() < 0.57 {
					m.ask(m.random.IntN(vms), lax, now, 6*time.Second)
				}
				if m.random.Float64() < 0.43 {
					m.ask(m.random.IntN(vms), tight, now, 400*time.Millisecond)
				}
				if i > steps/2 {
					for _, load := range m.tables[0].services[testService].targets {
						held += load.ownLoad.Plus(load.peerLoad).MemoryTokens
					}
				}
			}
			require.Less(t, float64(m.refused[true])/float64(m.asked[true]), 0.04, "%v of %v were refused", m.refused, m.asked)
			require.Greater(t, float64(held)/float64(steps/2*engines*26000), 0.7, "memory is kept that is not needed")
		})
	}
}

// roomModel is a fleet of tables that hear of each other's placements. The requests are counted by whether they are tight.
type roomModel struct {
	random         *rand.Rand
	tables         []*Table
	names          []Sender
	waiting        []roomWaiter
	ends           []roomEnd
	reports        []roomReport
	asked, refused map[bool]int
}

type roomWaiter struct {
	vm             int
	query          Query
	waiter         *waiter
	nextTry, until time.Time
	holding        time.Duration
}

type roomEnd struct {
	lease *Lease
	vm    int
	at    time.Time
}

type roomReport struct {
	from    int
	at      time.Time
	loads   map[string]Load
	demands []ServiceDemand
}

func newRoomModel(vms, engines int) *roomModel {
	m := &roomModel{random: rand.New(rand.NewPCG(7, uint64(vms))), asked: map[bool]int{}, refused: map[bool]int{}}
	targets := make([]roster.Target, engines)
	for i := range targets {
		targets[i] = engine(fmt.Sprint("e", i), zoneA)
	}
	for vm := range vms {
		m.names = append(m.names, Sender{VM: fmt.Sprint("vm-", vm), Zone: zoneA})
		m.tables = append(m.tables, newRoomTable(m.names[vm].VM, uint64(vm), targets...))
	}
	return m
}

func (m *roomModel) ask(vm int, q Query, now time.Time, holding time.Duration) {
	isTight := q.FirstEventObjective < 2*time.Second
	m.asked[isTight]++
	maxWait := Patience{Objective: q.FirstEventObjective, Left: 4 * q.FirstEventObjective, FirstEvent: 300 * time.Millisecond}.LongestWait()
	lease, waiting, err := m.tables[vm].pickOrEnqueue(&q, maxWait, now)
	switch {
	case lease != nil:
		m.begin(vm, lease, now, holding)
	case err != nil:
		m.refused[isTight]++
	default:
		m.waiting = append(m.waiting, roomWaiter{vm: vm, query: q, waiter: waiting, nextTry: now, until: now.Add(maxWait), holding: holding})
		m.report(vm, now)
	}
}

func (m *roomModel) begin(vm int, lease *Lease, now time.Time, holding time.Duration) {
	m.ends = append(m.ends, roomEnd{lease: lease, vm: vm, at: now.Add(holding)})
	m.report(vm, now)
}

// tryWaiting lets the waiting requests whose turn it is look for room.
func (m *roomModel) tryWaiting(now time.Time) {
	m.waiting = slices.DeleteFunc(m.waiting, func(w roomWaiter) bool {
		if now.Before(w.nextTry) {
			return false
		}
		lease, _, _ := m.tables[w.vm].pickIfFirst(&w.query, w.waiter, now)
		if lease == nil && now.Before(w.until) {
			return false
		}
		m.tables[w.vm].dequeue(&w.query, w.waiter)
		if lease == nil {
			m.refused[w.query.FirstEventObjective < 2*time.Second]++
			return true
		}
		m.begin(w.vm, lease, now, w.holding)
		return true
	})
	for i := range m.waiting {
		w := &m.waiting[i]
		if !now.Before(w.nextTry) {
			w.nextTry = now.Add(m.tables[w.vm].turnWait(&w.query, w.waiter, now))
		}
	}
}

func (m *roomModel) report(vm int, now time.Time) {
	m.reports = append(m.reports, roomReport{from: vm, at: now.Add(15 * time.Millisecond), loads: m.tables[vm].OwnLoads(), demands: m.tables[vm].OwnDemand(now)})
}

func (m *roomModel) advance(now time.Time) {
	m.ends = slices.DeleteFunc(m.ends, func(end roomEnd) bool {
		if now.Sub(end.lease.sentAt) > 250*time.Millisecond {
			end.lease.FirstEvent(now)
		}
		if end.at.After(now) {
			return false
		}
		end.lease.Done(Answered, now)
		m.report(end.vm, now)
		return true
	})
	m.reports = slices.DeleteFunc(m.reports, func(report roomReport) bool {
		if report.at.After(now) {
			return false
		}
		for to, table := range m.tables {
			if to != report.from && m.random.Float64() > 0.2 {
				table.SetPeerLoads(m.names[report.from], report.loads, now)
				table.SetPeerDemand(m.names[report.from], report.demands, now)
			}
		}
		return true
	})
	m.tryWaiting(now)
}

// TestKeptRoomIsGivenBack: memory that was kept for a burst of urgent generations must not stay empty afterwards.
func TestKeptRoomIsGivenBack(t *testing.T) {
	var estimate demandEstimate
	now := startTime
	for range 20 {
		now = now.Add(100 * time.Millisecond)
		estimate.observe(UrgentDemand{Running: 30, Waiting: 20, Tokens: 50 * 2200}, now)
	}
	require.InDelta(t, 50+2*7, estimate.keptPlaces(0), 1)
	require.InDelta(t, 34, estimate.keptPlaces(30), 1, "places that are taken are not kept again")
	for range 100 {
		now = now.Add(100 * time.Millisecond)
		estimate.observe(UrgentDemand{}, now)
	}
	require.LessOrEqual(t, estimate.keptPlaces(0), 4)
}

// TestUrgentRequestsCannotStarveOthers: however many requests of the highest priority arrive, one of the lowest goes first once
// they arrive later than its objective, one level for its lateness and one for each level between them.
func TestUrgentRequestsCannotStarveOthers(t *testing.T) {
	table := newRoomTable("vm-1", 1, engine("e1", zoneA))
	s := table.services[testService]
	lax, _ := roomQueries(startTime)
	starved := s.newWaiter(&lax, startTime)
	bound := 4*time.Second + 3*levelHeadStart
	for _, later := range []time.Duration{0, time.Second, 5 * time.Second, bound} {
		now := startTime.Add(later)
		_, tight := roomQueries(now)
		tight.Priority = 0
		q := queue{waiting: []*waiter{starved, s.newWaiter(&tight, now)}}
		require.Equal(t, later == bound, q.head(now) == starved, "%v", later)
	}
}

// TestTimeLeftOrdersOnePriority: of two requests with one priority, the one whose time runs out goes first, unless it is too late for it.
func TestTimeLeftOrdersOnePriority(t *testing.T) {
	table := newRoomTable("vm-1", 1, engine("e1", zoneA))
	s := table.services[testService]
	lax, tight := roomQueries(startTime)
	long, short := s.newWaiter(&lax, startTime), s.newWaiter(&tight, startTime)
	q := queue{waiting: []*waiter{long, short}}
	require.True(t, q.head(startTime) == short)
	require.True(t, q.head(short.inTimeUntil) == short)
	require.True(t, q.head(short.inTimeUntil.Add(time.Millisecond)) == long)
}

// TestLaterRequestsLookLater: when memory becomes free, VMs look for it in the order of what waits there. VMs of earlier builds have
// no place in that order, and with many free places nobody has to wait for a turn.
func TestLaterRequestsLookLater(t *testing.T) {
	const peers = 82
	table := newRoomTable("vm-1", 1, engine("e1", zoneA))
	table.SetPeerLoads(Sender{VM: "full"}, map[string]Load{"e1": {Requests: 5, MemoryTokens: 25000}}, startTime)
	lax, tight := roomQueries(startTime)
	s := table.services[testService]
	for i := range peers {
		peer := Sender{VM: fmt.Sprint("vm-", i+2), Zone: zoneA}
		table.SetPeerLoads(peer, nil, startTime)
		table.SetPeerDemand(peer, []ServiceDemand{{Service: testService, WaitingTokens: 3000, HeadDue: 12 * time.Second}}, startTime)
	}
	require.Zero(t, table.turnWait(&tight, s.newWaiter(&tight, startTime), startTime))
	require.Equal(t, peers*turnTime, table.turnWait(&lax, s.newWaiter(&lax, startTime), startTime))
	table.SetPeerLoads(Sender{VM: "full"}, nil, startTime)
	require.Less(t, table.turnWait(&lax, s.newWaiter(&lax, startTime), startTime), peers*turnTime/5)
}

// TestRefusedCallersReturnWhenRoomIsExpected: callers that come back before there is room are refused again.
func TestRefusedCallersReturnWhenRoomIsExpected(t *testing.T) {
	table := newRoomTable("vm-1", 1, engine("e1", zoneA))
	lax, _ := roomQueries(startTime)
	_, known := table.ReturnAfter(lax, startTime)
	require.False(t, known, "no memory has been released")
	peer := Sender{VM: "vm-2", Zone: zoneA}
	now := startTime
	for range 100 { // 10,000 tokens a second
		now = now.Add(100 * time.Millisecond)
		table.SetPeerLoads(peer, map[string]Load{"e1": {MemoryTokens: 20000}}, now)
		table.SetPeerLoads(peer, map[string]Load{"e1": {MemoryTokens: 19000}}, now)
	}
	table.SetPeerDemand(peer, []ServiceDemand{{Service: testService, WaitingTokens: 16650, HeadDue: -time.Second}}, now)
	for range 20 {
		after, known := table.ReturnAfter(lax, now) // 16,650 tokens wait before its 3,350
		require.True(t, known)
		require.GreaterOrEqual(t, after, 1800*time.Millisecond)
		require.Less(t, after, 4400*time.Millisecond)
	}
}

// TestRefusalNamesWhatIsLacking: an operator sees from a refusal whether memory, slots or time to prefill are short.
func TestRefusalNamesWhatIsLacking(t *testing.T) {
	table := newRoomTable("vm-1", 1, engine("e1", zoneA), engine("e2", zoneA))
	table.SetPeerLoads(Sender{VM: "vm-2"}, map[string]Load{"e1": {Requests: 5, MemoryTokens: 25000}, "e2": {Requests: 24}}, startTime)
	lax, _ := roomQueries(startTime)
	_, err := table.Pick(lax, startTime)
	require.True(t, apierror.Is(err, apierror.KindOverloaded))
	require.ErrorContains(t, err, "lacking: memory at 1, a slot at 1,")
}

// TestAlikeObjectivesWaitAsBefore: a service whose objectives do not compete is served by priority and arrival; nothing is told of its
// demand, and no time to return is derived from it. Objectives are those of the configuration, not of the requests seen.
func TestAlikeObjectivesWaitAsBefore(t *testing.T) {
	table := newTestTable("vm-1", 1, engine("e1", zoneA))
	table.SetObjectives(map[string]policy.ObjectiveRange{testService: {Tightest: 1500 * time.Millisecond, Loosest: 1800 * time.Millisecond}})
	s := table.services[testService]
	lax, tight := roomQueries(startTime)
	require.False(t, s.isUrgent(&tight))
	first, second, urgent := s.newWaiter(&lax, startTime), s.newWaiter(&tight, startTime.Add(time.Millisecond)), s.newWaiter(&tight, startTime.Add(time.Minute))
	urgent.priority = 1
	q := queue{waiting: []*waiter{second, first, urgent}}
	require.True(t, q.head(startTime.Add(time.Hour)) == urgent, "the lower level goes first however late it comes")
	q.remove(urgent, startTime)
	require.True(t, q.head(startTime.Add(time.Hour)) == first)
	_, w, _ := table.pickOrEnqueue(&lax, time.Second, startTime)
	require.Nil(t, w)
	table.SetPeerLoads(Sender{VM: "full"}, map[string]Load{"e1": {Requests: 5, MemoryTokens: 25900}}, startTime)
	_, w, _ = table.pickOrEnqueue(&lax, time.Second, startTime)
	require.NotNil(t, w)
	require.Empty(t, table.OwnDemand(startTime))
	s.released.record(100000, startTime)
	_, known := table.ReturnAfter(lax, startTime)
	require.False(t, known)
	lax.Priority = 0
	require.InDelta(t, urgentMemoryLimit, s.memoryLimit(&lax), 0, "the highest priority may use all memory")

	peer := Sender{VM: "vm-3", Zone: zoneA}
	table.SetPeerLoads(peer, nil, startTime)
	table.SetPeerDemand(peer, []ServiceDemand{{Service: testService, WaitingTokens: 3000, HeadDue: -time.Hour}}, startTime)
	require.Zero(t, table.turnWait(&lax, w, startTime), "a peer that is ahead by its objective only")

	table.SetObjectives(map[string]policy.ObjectiveRange{testService: {Tightest: 1500 * time.Millisecond, Loosest: 4 * time.Second}})
	require.True(t, table.ObjectivesCompete(testService), "a VM that has seen no request decides like the others")
	require.True(t, s.isUrgent(&tight))
}
