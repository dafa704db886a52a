package targetlimit

import (
	"fmt"
	"hash/fnv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"
	"github.com/rcrowley/go-metrics"

	"godwitcart/internal/roster"
)

const (
	// coldShare is the part of a service's cold rate that the turns of all VMs add up to.
	coldShare = 0.85
	// turnLifetime is how long a VM may use its turn. Within one second of requests, turns of that much more time count.
	turnLifetime = 400 * time.Millisecond
	// ColdSendDelay is how long after its reservation a request may be sent to a cold target.
	ColdSendDelay = 200 * time.Millisecond
	// clockTolerance is by how much the clocks of VMs may differ in any case without a breach of the bound.
	clockTolerance = 200 * time.Millisecond
	// maxTurnsAhead bounds the turns that requests without one use up in advance.
	maxTurnsAhead = 8
	// minWakeDelay keeps requests that wait for a turn from looking for it without a pause.
	minWakeDelay = time.Millisecond
	// maxWaitingAtCold is the number of requests of a VM that wait for their turn at cold targets. Cold times are short, and
	// at their end a target takes all that its slots hold.
	maxWaitingAtCold = 32
)

// ColdRule is what a service declares about cold targets.
type ColdRule struct {
	// PerSecond is the number of requests a second that a cold target takes from all VMs; zero means that it has no limit.
	PerSecond float64
	// Start is how long a target is cold after a start.
	Start time.Duration
}

// ColdBound bounds what a cold target gets in any second: Overage times ColdRule.PerSecond, plus Slack.
type ColdBound struct{ Overage, Slack float64 }

// turnRate returns the turns a second of all VMs together. It is below the bound also for the requests of a second that are
// sent at the end of their turns, late, or by clocks that differ by up to clockTolerance.
func (r ColdRule) turnRate(bound ColdBound) float64 {
	counted := (time.Second + turnLifetime + ColdSendDelay + clockTolerance).Seconds()
	return min(coldShare*r.PerSecond, (bound.Overage*r.PerSecond+bound.Slack)/counted)
}

// ColdOptions configures ColdTargets.
type ColdOptions struct {
	Logger *log.Logger
	Bound  ColdBound
	// Rule returns the rule in force of a service. It must not block.
	Rule func(service string) ColdRule
	// WallClock returns the time of day at now in nanoseconds; nil means that now has it.
	WallClock func(now time.Time) int64
	// TurnComes is called when requests that wait for a turn should try again after the given time. It must not block.
	TurnComes func(after time.Duration)
}

// ColdTargets limits the requests to targets that have just started or have become cold again. Each VM of the directory has
// turns of its own, spread over time by its position, so that VMs need not talk to each other in the short time that a
// target is cold. A nil ColdTargets limits nothing.
//
// Invariants: at any time all turns are spaced by the rate of the service, whatever each VM has heard and whenever; a turn is
// used once, within turnLifetime; a VM that does not know the directory, or that learned of the cold time after its turn
// began, has no turn.
type ColdTargets struct {
	options ColdOptions
	metrics coldMetrics
	// activeUntil is the latest end of a cold time in nanoseconds since created. Without one, requests take no lock.
	activeUntil atomic.Int64
	created     time.Time

	mu sync.Mutex
	// position is the place of this VM among the vms of the directory; vms is zero before it has been read.
	position, vms int
	targets       map[Incarnation]*coldTarget
	listed        map[string]roster.Target
}

// coldTarget is a target that is cold until the given time.
type coldTarget struct {
	until time.Time
	// spentUntil is the time of day up to which this VM has no turns left.
	spentUntil int64
	// wakeAt is when the requests that wait are woken next.
	wakeAt time.Time
}

// NewColdTargets returns ColdTargets of which none is cold.
func NewColdTargets(options ColdOptions) *ColdTargets {
	return &ColdTargets{options: options, metrics: newColdMetrics(), created: time.Now(), targets: make(map[Incarnation]*coldTarget)}
}

// SetVMs sets the entry VMs of the directory. VMs that know the same directory have different turns.
func (c *ColdTargets) SetVMs(self string, vms []string) {
	position := 0
	for _, vm := range vms {
		if vm < self {
			position++
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.position, c.vms = position, len(vms)
}

// Stated records that a target says that it is cold for the remaining time. It never shortens a cold time, since what is
// heard may be old.
func (c *ColdTargets) Stated(target roster.Target, remaining time.Duration, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.begin(target, remaining, "stated", now)
}

// BeginZone records that the targets of the zone may be cold from now on: they got no requests for a time.
func (c *ColdTargets) BeginZone(zone string, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, target := range c.listed {
		if target.Zone == zone {
			c.begin(target, c.options.Rule(target.Service).Start, "zone taken back", now)
		}
	}
}

// Unreachable records that a target could not be reached and gets no requests of this VM until the given time. It may have
// started again by then, before this VM learns of it from the list.
func (c *ColdTargets) Unreachable(target roster.Target, until, now time.Time) {
	if c == nil {
		return
	}
	rule := c.options.Rule(target.Service)
	if rule.PerSecond <= 0 {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.begin(target, until.Sub(now)+rule.Start, "unreachable", now)
}

// begin requires the lock.
func (c *ColdTargets) begin(target roster.Target, remaining time.Duration, reason string, now time.Time) {
	if remaining <= 0 {
		return
	}
	until := now.Add(remaining)
	known := c.targets[IncarnationOf(target)]
	if known == nil || !now.Before(known.until) {
		known = &coldTarget{until: until, spentUntil: c.wallClock(now)}
		c.targets[IncarnationOf(target)] = known
		if rule := c.options.Rule(target.Service); rule.PerSecond > 0 {
			c.metrics.began.Inc(1)
			c.options.Logger.Info("target is cold", "target", target.ID, "reason", reason, "remaining_ms", remaining.Milliseconds(), "turns_per_second", rule.turnRate(c.options.Bound), "vms", c.vms)
		}
	}
	known.until = latest(known.until, until)
	c.activeUntil.Store(max(c.activeUntil.Load(), int64(known.until.Sub(c.created))))
}

// Retain drops the targets whose cold time has ended, and those that have started again or are no longer listed.
func (c *ColdTargets) Retain(listed map[string]roster.Target, now time.Time) {
	if c == nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.listed = listed
	for incarnation, known := range c.targets {
		current, found := listed[incarnation.ID]
		if !now.Before(known.until) || found && IncarnationOf(current) != incarnation {
			delete(c.targets, incarnation)
		}
	}
	c.metrics.cold.Update(int64(len(c.targets)))
}

// isActive reports whether a target may be cold.
func (c *ColdTargets) isActive(now time.Time) bool {
	return c != nil && int64(now.Sub(c.created)) < c.activeUntil.Load()
}

// inForce returns the target's cold time and its rate of turns, or nil if the target has no limit. The caller holds mu.
func (c *ColdTargets) inForce(target roster.Target, now time.Time) (*coldTarget, float64) {
	known := c.targets[IncarnationOf(target)]
	if known == nil || !now.Before(known.until) {
		return nil, 0
	}
	rule := c.options.Rule(target.Service)
	if rule.PerSecond <= 0 {
		return nil, 0
	}
	return known, rule.turnRate(c.options.Bound)
}

// isCold reports whether requests to the target need turns.
func (c *ColdTargets) isCold(target roster.Target, now time.Time) bool {
	if !c.isActive(now) {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	known, _ := c.inForce(target, now)
	return known != nil
}

// mayTake reports whether the target is not cold, or this VM has a turn there.
func (c *ColdTargets) mayTake(target roster.Target, now time.Time) bool {
	if !c.isActive(now) {
		return true
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	known, rate := c.inForce(target, now)
	return known == nil || c.vms > 0 && c.nextTurn(known, target.ID, rate, now) <= c.wallClock(now)
}

// take uses a turn up, or one of the next if there is none.
func (c *ColdTargets) take(target roster.Target, now time.Time) {
	if !c.isActive(now) {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	known, rate := c.inForce(target, now)
	if known == nil {
		return
	}
	c.metrics.sent.Inc(1)
	if c.vms == 0 {
		c.metrics.withoutTurn.Inc(1)
		return
	}
	turn := c.nextTurn(known, target.ID, rate, now)
	ahead := time.Duration(turn - c.wallClock(now))
	if ahead > 0 {
		c.metrics.withoutTurn.Inc(1)
	}
	if ahead <= maxTurnsAhead*c.period(rate) {
		known.spentUntil = turn
	}
}

// wait returns the time until this VM's next turn, or until the target is no longer cold. It has the waiting requests woken
// then.
func (c *ColdTargets) wait(target roster.Target, now time.Time) (wait time.Duration, cold bool) {
	if !c.isActive(now) {
		return 0, false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	known, rate := c.inForce(target, now)
	if known == nil {
		return 0, false
	}
	wait = known.until.Sub(now)
	if c.vms > 0 {
		wait = min(wait, max(time.Duration(c.nextTurn(known, target.ID, rate, now)-c.wallClock(now)), 0))
	}
	if wakeAt := now.Add(max(wait, minWakeDelay)); c.options.TurnComes != nil && (!now.Before(known.wakeAt) || wakeAt.Before(known.wakeAt)) {
		known.wakeAt = wakeAt
		c.options.TurnComes(wakeAt.Sub(now))
	}
	return wait, true
}

// describe returns how long the target is still cold and its rate of turns; empty if it is not.
func (c *ColdTargets) describe(target roster.Target, now time.Time) string {
	if !c.isActive(now) {
		return ""
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	known, rate := c.inForce(target, now)
	if known == nil {
		return ""
	}
	return fmt.Sprintf("cold for %d ms, %.1f/s from %d VMs", known.until.Sub(now).Milliseconds(), rate, c.vms)
}

// period returns the time between two turns of one VM. The caller holds mu.
func (c *ColdTargets) period(rate float64) time.Duration {
	return time.Duration(float64(c.vms) / rate * float64(time.Second))
}

// nextTurn returns the time of day at which this VM's first turn begins that is neither used nor over. VMs agree on their
// turns by the time of day, without a message. The caller holds mu, and vms is not zero.
func (c *ColdTargets) nextTurn(known *coldTarget, target string, rate float64, now time.Time) int64 {
	// Targets begin with different VMs, so that a VM's turns at several targets do not fall together.
	place := (uint64(c.position) + uint64(hashOf(target))) % uint64(c.vms)
	offset := int64(float64(place) / rate * float64(time.Second))
	// If the clock was set back, what is spent lies ahead, and this VM has no turns until then.
	after := max(c.wallClock(now)-int64(turnLifetime), known.spentUntil)
	period := int64(c.period(rate))
	return after + period - (after-offset)%period
}

func (c *ColdTargets) wallClock(now time.Time) int64 {
	if c.options.WallClock != nil {
		return c.options.WallClock(now)
	}
	return now.UnixNano()
}

func hashOf(name string) uint32 {
	hash := fnv.New32a()
	_, _ = hash.Write([]byte(name)) // never fails
	return hash.Sum32()
}

// coldMetrics are the metrics of ColdTargets.
type coldMetrics struct {
	cold metrics.Gauge
	// began counts cold times, sent the requests to cold targets, and withoutTurn those that had no turn.
	began, sent, withoutTurn metrics.Counter
}

func newColdMetrics() coldMetrics {
	counter := func(name string) metrics.Counter {
		return metrics.GetOrRegisterCounter("targetlimit."+name, nil)
	}
	return coldMetrics{
		cold:  metrics.GetOrRegisterGauge("targetlimit.cold", nil),
		began: counter("cold_began"), sent: counter("cold_sent"), withoutTurn: counter("cold_sent_without_turn"),
	}
}
