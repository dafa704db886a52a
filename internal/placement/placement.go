// Package placement chooses the target of each request and of each copy of a running generation.
//
// A Table holds the targets on the platform's list, the loads that this VM and its peers have sent to them, and the
// recent outcomes at each target. Pick filters the targets of a service, scores the remaining ones and reserves the
// best, so that the next decision counts load that no report shows yet. Callers pass in the current time. A Limiter
// decides whether a target that has named a request limit may get a request; it is asked and told here alone, but for
// requests that were reserved before and are counted when they are sent.
package placement

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"godwitcart/internal/policy"
	"godwitcart/internal/roster"
)

// Load is the load that one entry VM has placed on one target.
type Load struct {
	// Requests counts the requests in progress.
	Requests int
	// PrefillTokens counts the prompt tokens of requests that have had no event yet.
	PrefillTokens int
	// MemoryTokens is the memory of the generations in tokens, copies included.
	MemoryTokens int
}

func (l *Load) add(other Load) {
	l.Requests += other.Requests
	l.PrefillTokens += other.PrefillTokens
	l.MemoryTokens += other.MemoryTokens
}

// Plus returns the sum of both loads.
func (l Load) Plus(other Load) Load {
	l.add(other)
	return l
}

// SamePlacement reports whether both loads differ at most by the tokens that running generations have produced.
func (l Load) SamePlacement(other Load) bool {
	return l.Requests == other.Requests && l.PrefillTokens == other.PrefillTokens
}

func (l *Load) subtract(other Load) {
	l.Requests -= other.Requests
	l.PrefillTokens -= other.PrefillTokens
	l.MemoryTokens -= other.MemoryTokens
}

// Query describes a request that needs a target.
type Query struct {
	Service string
	// Zone is the preferred zone. A request that stays in its zone costs less and survives a partition between
	// zones.
	Zone string
	// MemoryTokens is the memory of an engine of the service in tokens; zero marks a plain service.
	MemoryTokens int
	// PromptTokens is the length of the prompt, and OutputTokens the expected length of the output.
	PromptTokens int
	OutputTokens int
	// FirstEventObjective is the latency objective of the first event; zero means none.
	FirstEventObjective time.Duration
	// Priority orders the requests that wait for capacity; the lowest value is served first.
	Priority int
	// Version is the software version that the target must have if VersionFixed is set: the request continues a stream
	// that began there.
	Version      string
	VersionFixed bool
	// RecordedVersion limits the query to targets of versions that SetRecordedVersions has named: what begins there may be
	// resumed by a caller that does not know its version.
	RecordedVersion bool
	// Excluded lists the ids of targets that must not be chosen.
	Excluded []string
	// Copy reserves memory for a copy of a running generation instead of placing a request. It is refused while memory
	// is short.
	Copy bool
	// NotResumable means that a generation is lost if its engine cannot be reached any more, as during a partition
	// between zones.
	NotResumable bool
	// Move means that another engine sends the generation's memory, so that almost no prefill is needed.
	Move bool
	// ObjectiveEnds is when the first event has to arrive; zero means no objective.
	ObjectiveEnds time.Time
	// Interruption shortens the wait for capacity when this VM shuts down; nil for none.
	Interruption *Interruption

	// kept is the memory that the query has to leave free at the current choice.
	kept *keptRoom
	// lacking counts the targets by what they lacked at the last choice.
	lacking shortages
}

func (q *Query) load() Load {
	load := Load{MemoryTokens: q.memory()}
	if !q.Copy {
		load.Requests = 1
	}
	load.PrefillTokens = q.prefill()
	return load
}

// memory returns the tokens to reserve for the generation from its start. Other generations end while it grows, so
// only half of its expected output counts.
func (q *Query) memory() int { return q.PromptTokens + q.OutputTokens/2 }

// prefill returns the number of prompt tokens that the target has to prefill.
func (q *Query) prefill() int {
	if q.Copy || q.Move {
		return 0
	}
	return q.PromptTokens
}

// FixVersion limits the query to targets of the software version.
func (q *Query) FixVersion(version string) { q.Version, q.VersionFixed = version, true }

// accepts reports whether the target may take work of the query, with free capacity or without.
func (q *Query) accepts(t *target, now time.Time) bool {
	// A copy brings no answer, so it must not take the place of the request that ends the pause.
	return t.pause.allows(now) && !(q.Copy && t.pause.unanswered) && q.acceptsAfterPause(t, now)
}

// acceptsAfterPause is accepts for a target that may want no requests for a time.
func (q *Query) acceptsAfterPause(t *target, now time.Time) bool {
	return t.isServing(now) && q.fits(t)
}

// fits reports whether the query names no reason against the target.
func (q *Query) fits(t *target) bool {
	return !slices.Contains(q.Excluded, t.ID) && (!q.VersionFixed || t.Version == q.Version) && (!q.RecordedVersion || t.service.recorded[t.Version])
}

// Outcome is how a request ended at its target.
type Outcome int

// Outcomes of a request.
const (
	// Answered means that the caller received the target's response, or a part of its stream.
	Answered Outcome = iota
	// Refused means that the target stated that it did not run the request.
	Refused
	// Failed means that the target returned an error of its own or broke off its response.
	Failed
	// Unreachable means that no connection could be made.
	Unreachable
	// Canceled means that the caller disconnected or the deadline passed.
	Canceled
	// Moved means that the request continues at another target.
	Moved
)

// Sender identifies an entry VM or, with an empty VM, all loads on the targets of a zone.
type Sender struct {
	VM   string
	Zone string
}

// Options configures a Table.
type Options struct {
	Self Sender
	// OnLoadChange is called with the lock held when the load of an engine has changed; it may be nil.
	OnLoadChange func()
	// Limits decides on requests to targets with a request limit; nil means that targets have none.
	Limits Limiter
	// Seed makes the random choices reproducible.
	Seed uint64
}

// Table is one VM's view of all targets. It is safe for concurrent use.
type Table struct {
	mu           sync.Mutex
	random       *rand.Rand
	targets      map[string]*target
	services     map[string]*service
	self         Sender
	onLoadChange func()
	limits       Limiter
	peerLoads    map[Sender]peerReport
	// reportsExpireAt is a time until which no entry of peerLoads expires.
	reportsExpireAt time.Time
	// zoneAggregates counts the entries of peerLoads that are totals of a whole zone.
	zoneAggregates int
	// recordedVersions holds what SetRecordedVersions has named, by service.
	recordedVersions map[string]map[string]bool
	// objectives holds the latency objectives of generations by service.
	objectives map[string]policy.ObjectiveRange
	// departed holds targets that left the list during a pause or while they had work of this VM, by id.
	departed map[string]*target
	// evacuations holds the zones in evacuation, and those that this VM does not choose again yet.
	evacuations map[string]*zoneEvacuation
	// capacityChanged is closed and replaced when capacity may have become free.
	capacityChanged chan struct{}
}

// service is the state that the targets of a service share.
type service struct {
	targets []*target
	// queue holds the requests that wait for capacity.
	queue queue
	// versionQueues holds the queues of streams that continue at a software version.
	versionQueues map[string]*queue
	// versions counts the targets of each software version.
	versions map[string]*versionCount
	// recorded are the versions that SetRecordedVersions has named.
	recorded map[string]bool
	// versionsListed holds when a target of each software version was last listed.
	versionsListed map[string]time.Time
	// prefillRate is a moving average of the observed prefill rate, in tokens per millisecond.
	prefillRate float64
	// ownUrgent and peerUrgent are the demands for memory for urgent generations of this VM and of its peers.
	ownUrgent, peerUrgent UrgentDemand
	urgentEstimate        demandEstimate
	// objectives are those that the configuration in force sets for generations.
	objectives policy.ObjectiveRange
	// released is the memory that generations have released.
	released releaseMeter
	// serviceTime is a moving average of the time from sending a request to the end of its answer; zero before the first.
	serviceTime time.Duration
}

type target struct {
	roster.Target
	service *service
	// leaving is set while this incarnation is leaving or not listed, and saidLeaving once it is known to leave for good.
	leaving     bool
	saidLeaving bool
	ownLoad     Load
	peerLoad    Load
	health      health
	pause       requestedPause
	// evacuation is that of the target's zone; nil for none.
	evacuation *zoneEvacuation
	// slowStartUntil is when the target has warmed up after its start.
	slowStartUntil time.Time
}

type peerReport struct {
	receivedAt time.Time
	loads      map[string]Load
	// waitingVMs is the number of VMs of the report where requests wait for capacity.
	waitingVMs int
	// demands are the demands for memory that the report states, by service.
	demands map[string]peerDemand
}

const (
	// peerLoadTTL is how long a peer's report counts; a stopped VM sends no more reports.
	peerLoadTTL = 3 * time.Second
)

// NewTable returns a Table without targets.
func NewTable(options Options) *Table {
	limits := options.Limits
	if limits == nil {
		limits = unlimited{}
	}
	return &Table{
		limits:           limits,
		random:           rand.New(rand.NewPCG(options.Seed, 0)),
		targets:          make(map[string]*target),
		recordedVersions: make(map[string]map[string]bool),
		services:         make(map[string]*service),
		self:             options.Self,
		onLoadChange:     options.OnLoadChange,
		peerLoads:        make(map[Sender]peerReport),
		departed:         make(map[string]*target),
		evacuations:      make(map[string]*zoneEvacuation),
		capacityChanged:  make(chan struct{}),
	}
}

// ReplaceTargets replaces the known targets by the listed ones.
func (t *Table) ReplaceTargets(listed map[string]roster.Target, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for id, entry := range listed {
		current := t.targets[id]
		if current == nil || !current.SameIncarnation(entry) {
			current = t.recallDeparted(entry, now)
			t.targets[id] = current
			if entry.WarmupRemaining > 0 {
				current.slowStartUntil = now.Add(entry.WarmupRemaining)
			}
		}
		current.leaving = current.saidLeaving || entry.Leaving
		current.Target = entry
		current.evacuation = t.evacuations[entry.Zone]
	}
	for id, current := range t.targets {
		if _, found := listed[id]; !found {
			current.leaving = true
			t.rememberDeparted(current, now)
			delete(t.targets, id)
		}
	}
	t.expirePeerReports(now)
	t.regroupTargets(now)
	t.wakeWaiters()
}

func (t *Table) regroupTargets(now time.Time) {
	for _, s := range t.services {
		s.targets = s.targets[:0]
	}
	for _, member := range t.targets {
		s := t.services[member.Service]
		if s == nil {
			s = &service{prefillRate: defaultPrefillRate, versionsListed: make(map[string]time.Time), versionQueues: make(map[string]*queue)}
			t.services[member.Service] = s
		}
		member.service, s.objectives, s.recorded = s, t.objectives[member.Service], t.recordedVersions[member.Service]
		s.targets = append(s.targets, member)
	}
	for _, s := range t.services {
		// A fixed order makes the random choices reproducible.
		slices.SortFunc(s.targets, func(a, b *target) int { return cmp.Compare(a.ID, b.ID) })
		s.countVersions()
		s.recordVersions(now)
	}
	t.recomputePeerLoads()
	t.recomputePeerDemand(now)
}

// MarkLeaving records that the target announced that it is leaving; this incarnation gets no new work any more.
func (t *Table) MarkLeaving(leaving roster.Target) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if current := t.listed(leaving); current != nil {
		current.leaving, current.saidLeaving = true, true
		current.service.countVersions()
	}
}

// Withdraw records that the target is leaving or not listed any more; it gets no new work unless ReplaceTargets lists it as
// serving.
func (t *Table) Withdraw(gone roster.Target) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if current := t.listed(gone); current != nil {
		current.leaving = true
		current.service.countVersions()
	}
}

// listed returns the target that is listed in the incarnation, or nil. The caller holds the lock.
func (t *Table) listed(wanted roster.Target) *target {
	if current := t.targets[wanted.ID]; current != nil && current.SameIncarnation(wanted) {
		return current
	}
	return nil
}

// zoneSurcharge returns the score penalty of a target in another zone.
func (t *Table) zoneSurcharge() float64 {
	if t.zoneAggregates > 0 {
		return aggregatedZoneCost
	}
	return crossZoneCost
}

// ZoneOf returns the zone of the listed target at host:port, and whether there is one.
func (t *Table) ZoneOf(address string) (zone string, listed bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, member := range t.targets {
		if member.Address == address {
			return member.Zone, true
		}
	}
	return "", false
}

// HasUsableTarget reports whether a target may take work of the query, with free capacity or without.
func (t *Table) HasUsableTarget(q Query, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.services[q.Service]
	return s != nil && t.hasCandidate(s, &q, now)
}

// hasCandidate is HasUsableTarget with the lock held by the caller.
func (t *Table) hasCandidate(s *service, q *Query, now time.Time) bool {
	return slices.ContainsFunc(s.targets, func(candidate *target) bool { return q.accepts(candidate, now) })
}

func (t *target) canTakeWork(now time.Time) bool {
	return t.isServing(now) && t.pause.allows(now)
}

// isServing reports whether the target takes work, unless it wants none for a time.
func (t *target) isServing(now time.Time) bool {
	return t.isServingInService(now) && !t.evacuation.blocks(now)
}

// isServingInService is isServing for a target whose zone may be in evacuation.
func (t *target) isServingInService(now time.Time) bool { return !t.leaving && t.health.available(now) }
