package membership

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"godwitcart/internal/wire/enginewire"
	"godwitcart/internal/wire/platformwire"
)

// The intervals and limits of a Poller.
const (
	// pollInterval is how often a Poller checks for due probes.
	pollInterval = 200 * time.Millisecond
	// assignInterval is the minimum interval between two assignments of watched targets.
	assignInterval = time.Second
	// minProbeInterval is the shortest interval between two probes of a target by one watcher. It is also the interval
	// between two probes of a stale target that is not leaving.
	minProbeInterval = time.Second
	// leavingProbeInterval is the interval between two probes of a leaving target by a VM that does not watch it.
	leavingProbeInterval = 5 * time.Second
	// maxProbeInterval is the longest interval between two probes of a target by one watcher.
	maxProbeInterval = 2 * time.Second
	// probesPerSecond is the rate of one VM's probes of watched targets, as far as the probe intervals allow it.
	probesPerSecond = 2.5
	// ProbeTimeout bounds one probe.
	ProbeTimeout = 500 * time.Millisecond
	// staleAfter is the age of a confirmation at which VMs that do not watch the target probe it too.
	staleAfter = 2800 * time.Millisecond
	// staleScanInterval is how often a Poller scans for stale targets.
	staleScanInterval = 200 * time.Millisecond
	// staleProbesPerSecond bounds the probes of stale targets.
	staleProbesPerSecond = 5
	// maxConcurrentProbes bounds the probes in flight.
	maxConcurrentProbes = 32
	// listIntervalPerVM makes the delay between two reads grow with the list, so that the cost of reading is the
	// same at any size. In a zone with many entry VMs, one of them still reads the list every few seconds and
	// sends the changes to the others.
	listIntervalPerVM = 100 * time.Millisecond
	// listJitter is the width of the random variation of the delay, as a share of it, so that VMs do not all read at
	// once.
	listJitter = 0.2
	// DefaultListInterval is the default minimum delay between two reads of the platform's list.
	DefaultListInterval = 2 * time.Second
	// DefaultListTimeout is the default timeout of one read of the list.
	DefaultListTimeout = 2 * time.Second
)

// Prober probes targets.
type Prober interface {
	// Probe returns the target's load report. For a plain service that answers, the report is empty; if it
	// refuses because it is leaving, Leaving is set. An error means that the target could not be reached.
	Probe(ctx context.Context, target VM) (enginewire.LoadReport, error)
}

// Lister reads the platform's list of VMs.
type Lister interface {
	List(ctx context.Context) (platformwire.VMList, error)
}

// PollerOptions configures a Poller. A duration of zero means its default.
type PollerOptions struct {
	Directory    *Directory
	Prober       Prober
	Lister       Lister
	ListInterval time.Duration
	ListTimeout  time.Duration
}

// Poller keeps a Directory up to date: it reads the platform's list, probes the targets that this VM watches, and,
// at a limited rate, probes others whose confirmation has become stale.
type Poller struct {
	options      PollerOptions
	metrics      *pollerMetrics
	staleLimiter *rate.Limiter
	// staleScannedAt is the time of the last scan for stale targets; only Run uses it.
	staleScannedAt time.Time

	mu sync.Mutex
	// inFlight holds the targets that are being probed.
	inFlight map[string]bool
	// lastProbedAt is when this VM last started a probe of a target. For a newly watched target, dueWatched sets it to
	// an earlier time that depends on the rank, to spread the probes of the watchers.
	lastProbedAt map[string]time.Time
	// watcherRanks is this VM's rank among the watchers of each target that it watches.
	watcherRanks map[string]int
	running      sync.WaitGroup
}

// NewPoller returns a Poller that Run starts.
func NewPoller(options PollerOptions) *Poller {
	if options.ListInterval <= 0 {
		options.ListInterval = DefaultListInterval
	}
	if options.ListTimeout <= 0 {
		options.ListTimeout = DefaultListTimeout
	}
	return &Poller{
		options:      options,
		metrics:      newPollerMetrics(),
		staleLimiter: rate.NewLimiter(staleProbesPerSecond, staleProbesPerSecond),
		inFlight:     make(map[string]bool),
		lastProbedAt: make(map[string]time.Time),
	}
}

// Run polls until ctx ends and then waits for calls in flight.
func (p *Poller) Run(ctx context.Context) {
	p.running.Go(func() { p.readLists(ctx) })
	changes, cancel := p.options.Directory.Subscribe()
	defer cancel()
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	var assignedAt time.Time
	for {
		select {
		case <-ctx.Done():
			p.running.Wait()
			return
		case <-ticker.C:
			assignedAt = p.assignIfChanged(changes, assignedAt)
			p.startDueProbes(ctx, time.Now())
		}
	}
}

// assignIfChanged reassigns the watched targets after state changes, at most once per assignInterval. It returns the
// time of the last assignment.
func (p *Poller) assignIfChanged(changes <-chan struct{}, assignedAt time.Time) time.Time {
	now := time.Now()
	if now.Sub(assignedAt) < assignInterval {
		return assignedAt
	}
	select {
	case <-changes:
		p.assignWatchedTargets()
		return now
	default:
		return assignedAt
	}
}

// readLists reads the platform's list periodically. While the platform is unavailable, the last list remains in force.
func (p *Poller) readLists(ctx context.Context) {
	for ctx.Err() == nil {
		size := p.readList(ctx)
		select {
		case <-ctx.Done():
		case <-time.After(p.nextListDelay(size)):
		}
	}
}

// nextListDelay returns the delay after a read of a list of the given size, which is zero for a failed read.
func (p *Poller) nextListDelay(size int) time.Duration {
	delay := max(p.options.ListInterval, time.Duration(size)*listIntervalPerVM)
	return time.Duration(float64(delay) * (1 + listJitter*(rand.Float64()-0.5)))
}

// readList reads the list once and returns the number of VMs in it, or zero if that failed.
func (p *Poller) readList(ctx context.Context) int {
	ctx, cancel := context.WithTimeout(ctx, p.options.ListTimeout)
	defer cancel()
	list, err := p.options.Lister.List(ctx)
	if err == nil {
		err = p.options.Directory.ApplyList(list, time.Now())
	}
	if err != nil {
		p.metrics.listFailures.Inc(1)
		return 0
	}
	p.metrics.listReads.Inc(1)
	return len(list.VMs)
}

// assignWatchedTargets recomputes which targets this VM watches, and drops the probe times of unknown targets.
func (p *Poller) assignWatchedTargets() {
	d := p.options.Directory
	now := time.Now()
	watched := rankWatchedTargets(d.options.Self, d.options.Zone, d.AllTargets(now), d.EntryVMs(now))
	p.mu.Lock()
	defer p.mu.Unlock()
	p.watcherRanks = watched
	for name := range p.lastProbedAt {
		if _, known := d.Get(name); !known {
			delete(p.lastProbedAt, name)
		}
	}
	p.metrics.watched.Update(int64(len(watched)))
}

// startDueProbes starts the probes of the watched targets that are due and, at most once per staleScanInterval, those
// of stale targets.
func (p *Poller) startDueProbes(ctx context.Context, now time.Time) {
	for _, name := range p.dueWatched(now) {
		p.startProbe(ctx, name, now)
	}
	if now.Sub(p.staleScannedAt) < staleScanInterval {
		return
	}
	p.staleScannedAt = now
	for _, name := range p.dueStale(now) {
		p.startProbe(ctx, name, now)
	}
}

// dueWatched returns the watched targets that are due for a probe.
func (p *Poller) dueWatched(now time.Time) []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	var due []string
	interval := p.probeInterval()
	for name, rank := range p.watcherRanks {
		lastProbed, found := p.lastProbedAt[name]
		if !found {
			// The second watcher starts half an interval later, so that the probes are spread evenly.
			lastProbed = now.Add(time.Duration(rank)*interval/WatchersPerTarget - interval)
			p.lastProbedAt[name] = lastProbed
		}
		if p.isDue(name, now.Sub(lastProbed), interval, now) {
			due = append(due, name)
		}
	}
	return due
}

// isDue reports whether a watched target is due, given the time since this VM last probed it. The watchers alternate:
// this one waits until half an interval has passed since the other one's confirmation, but for at least 0.6 and at most
// 1.2 intervals since its own probe.
func (p *Poller) isDue(name string, sinceProbe, interval time.Duration, now time.Time) bool {
	if sinceProbe < interval*6/10 {
		return false
	}
	vm, _ := p.options.Directory.Get(name)
	return sinceProbe >= interval*12/10 || now.Sub(vm.ConfirmedAt) >= interval/WatchersPerTarget
}

// dueStale returns the targets whose last confirmation is older than staleAfter, as far as the rate limit allows, in
// the zones of which this VM tracks all targets. It includes leaving targets at a longer interval.
func (p *Poller) dueStale(now time.Time) []string {
	var due []string
	d := p.options.Directory
	for zone, order := range d.index.Load().zones {
		if !d.TracksAllTargets(zone) {
			continue
		}
		for _, name := range order.targets {
			vm, _ := d.Get(name)
			stale := now.Sub(vm.ConfirmedAt) >= staleAfter
			if stale && p.allowStaleProbe(name, staleInterval(vm.State), now) {
				due = append(due, name)
			}
		}
	}
	return due
}

// staleInterval returns the interval between two probes of a stale target. Leaving targets are probed too, because
// they may be restarted in place. The probes of their watchers are not enough: if a zone has too few entry VMs, the
// watchers of its targets are in other zones. Their confirmations do not spread, because gossip asks only entry VMs
// of the target's zone.
func staleInterval(state State) time.Duration {
	if state >= StateLeaving {
		return leavingProbeInterval
	}
	return minProbeInterval
}

// allowStaleProbe reports whether a stale target may be probed now, and takes a token of the rate limit if so.
func (p *Poller) allowStaleProbe(name string, interval time.Duration, now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if now.Sub(p.lastProbedAt[name]) < interval {
		return false
	}
	return p.staleLimiter.AllowN(now, 1)
}

// startProbe probes the target, unless it is gone or a probe of it is in flight. Leaving targets are probed, because
// they may be restarted in place under another incarnation.
func (p *Poller) startProbe(ctx context.Context, name string, now time.Time) {
	target, known := p.options.Directory.Get(name)
	if !known || target.State >= StateGone || !p.reserveProbe(name, now) {
		return
	}
	p.running.Go(func() { p.probe(ctx, target) })
}

func (p *Poller) reserveProbe(name string, now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.inFlight[name] || len(p.inFlight) >= maxConcurrentProbes {
		return false
	}
	p.inFlight[name] = true
	p.lastProbedAt[name] = now
	return true
}

// probeInterval returns the interval between two probes of a watched target that keeps this VM at probesPerSecond
// within the bounds. The caller holds p.mu.
func (p *Poller) probeInterval() time.Duration {
	spread := time.Duration(float64(len(p.watcherRanks)) / probesPerSecond * float64(time.Second))
	return min(max(spread, minProbeInterval), maxProbeInterval)
}

func (p *Poller) probe(ctx context.Context, target VM) {
	defer p.releaseProbe(target.Name)
	probeCtx, cancel := context.WithTimeout(ctx, ProbeTimeout)
	defer cancel()
	_ = probeTarget(probeCtx, p.options.Directory, p.options.Prober, target)
	p.metrics.probes.Inc(1)
}

func (p *Poller) releaseProbe(name string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.inFlight, name)
}

// probeTarget probes a target and records the result in the directory. The error says why the target could not be
// reached. A canceled probe is not recorded: it says nothing about the target.
func probeTarget(ctx context.Context, d *Directory, prober Prober, target VM) error {
	sentAt := time.Now()
	report, err := prober.Probe(ctx, target)
	if err != nil {
		if context.Cause(ctx) != context.Canceled {
			d.Observe(Unreachable(target.Name, sentAt))
		}
		return err
	}
	d.Observe(FromLoadReport(target.Name, report, sentAt))
	return nil
}
