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

// The rhythm of a Poller.
const (
	// pollTick is how often a Poller looks what is due.
	pollTick = 200 * time.Millisecond
	// assignInterval is the shortest pause between two assignments of watchers.
	assignInterval = time.Second
	// minProbeInterval and maxProbeInterval bound the pause between two probes of a target by one watcher.
	minProbeInterval = time.Second
	// leavingProbeInterval is the pause between two probes of a leaving target by a VM that does not watch it.
	leavingProbeInterval = 5 * time.Second
	maxProbeInterval     = 2 * time.Second
	// probesPerSecond is what the probes of one VM are spread to within these bounds.
	probesPerSecond = 2.5
	// ProbeTimeout bounds one probe.
	ProbeTimeout = 500 * time.Millisecond
	// staleAfter is the age of a confirmation at which a VM that is no watcher probes by itself.
	staleAfter = 2800 * time.Millisecond
	// staleScanInterval is how often a Poller looks for such targets.
	staleScanInterval = 200 * time.Millisecond
	// staleProbesPerSecond bounds those probes.
	staleProbesPerSecond = 5
	// maxProbes bounds the probes in flight.
	maxProbes = 32
	// listIntervalPerVM lets the pause between two reads grow with the list, so that reading costs the
	// same at any size. In a zone with many entry VMs, one of them reads it every few seconds all the
	// same, and tells the others what is new.
	listIntervalPerVM = 100 * time.Millisecond
	// listJitter is the share by which a pause is varied, so that VMs do not read all at once.
	listJitter = 0.2
	// DefaultListInterval is the least pause between two reads of the platform's list.
	DefaultListInterval = 2 * time.Second
	// DefaultListTimeout bounds one read of the list.
	DefaultListTimeout = 2 * time.Second
)

// Prober asks targets for their own word.
type Prober interface {
	// Probe returns the target's load report. A plain service that answers has an empty report, and one
	// that refuses because it is leaving has Leaving set. An error means that it could not be reached.
	Probe(ctx context.Context, target VM) (enginewire.LoadReport, error)
}

// Lister reads the platform's list of VMs.
type Lister interface {
	List(ctx context.Context) (platformwire.VMList, error)
}

// PollerOptions configures a Poller. Zero durations stand for the defaults.
type PollerOptions struct {
	Directory    *Directory
	Prober       Prober
	Lister       Lister
	ListInterval time.Duration
	ListTimeout  time.Duration
}

// Poller keeps a Directory fresh: it reads the platform's list, probes the targets that this VM
// watches, and probes, within a bound, others that no watcher has confirmed for too long.
type Poller struct {
	options PollerOptions
	metrics *pollerMetrics
	stale   *rate.Limiter
	// scannedAt is when stale targets were last looked for; only Run uses it.
	scannedAt time.Time

	mu      sync.Mutex
	probing map[string]bool
	probed  map[string]time.Time
	watched map[string]int
	running sync.WaitGroup
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
		options: options,
		metrics: newPollerMetrics(),
		stale:   rate.NewLimiter(staleProbesPerSecond, staleProbesPerSecond),
		probing: make(map[string]bool),
		probed:  make(map[string]time.Time),
	}
}

// Run polls until ctx ends and then waits for what is in flight.
func (p *Poller) Run(ctx context.Context) {
	p.running.Go(func() { p.readLists(ctx) })
	changes, cancel := p.options.Directory.Subscribe()
	defer cancel()
	ticker := time.NewTicker(pollTick)
	defer ticker.Stop()
	var assigned time.Time
	for {
		select {
		case <-ctx.Done():
			p.running.Wait()
			return
		case <-ticker.C:
			assigned = p.assignIfChanged(changes, assigned)
			p.probeDue(ctx, time.Now())
		}
	}
}

// assignIfChanged assigns after changes, but no more often than once in an assignInterval. It returns
// when it last did.
func (p *Poller) assignIfChanged(changes <-chan struct{}, assigned time.Time) time.Time {
	now := time.Now()
	if now.Sub(assigned) < assignInterval {
		return assigned
	}
	select {
	case <-changes:
		p.assign()
		return now
	default:
		return assigned
	}
}

// readLists reads the platform's list again and again. While the platform is away the last list stays.
func (p *Poller) readLists(ctx context.Context) {
	for ctx.Err() == nil {
		size := p.readList(ctx)
		select {
		case <-ctx.Done():
		case <-time.After(p.listPause(size)):
		}
	}
}

// listPause returns the pause after a reading of the given size; a failed one has size zero.
func (p *Poller) listPause(size int) time.Duration {
	pause := max(p.options.ListInterval, time.Duration(size)*listIntervalPerVM)
	return time.Duration(float64(pause) * (1 + listJitter*(rand.Float64()-0.5)))
}

// readList reads the list once and returns the number of VMs in it, or zero.
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

// assign works out anew which targets this VM watches.
func (p *Poller) assign() {
	d := p.options.Directory
	now := time.Now()
	watched := duties(d.options.Self, d.options.Zone, d.AllTargets(now), d.Entries(now))
	p.mu.Lock()
	defer p.mu.Unlock()
	p.watched = watched
	for name := range p.probed {
		if _, known := d.Get(name); !known {
			delete(p.probed, name)
		}
	}
	p.metrics.watched.Update(int64(len(watched)))
}

// probeDue starts the probes that are due.
func (p *Poller) probeDue(ctx context.Context, now time.Time) {
	for _, name := range p.dueWatched(now) {
		p.start(ctx, name, now)
	}
	if now.Sub(p.scannedAt) < staleScanInterval {
		return
	}
	p.scannedAt = now
	for _, name := range p.dueStale(now) {
		p.start(ctx, name, now)
	}
}

// dueWatched returns the watched targets that are due.
func (p *Poller) dueWatched(now time.Time) []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	var due []string
	interval := p.interval()
	for name, rank := range p.watched {
		last, before := p.probed[name]
		if !before {
			// The second watcher begins half an interval later, so that probes are spread.
			last = now.Add(time.Duration(rank)*interval/WatchersPerTarget - interval)
			p.probed[name] = last
		}
		if p.isDue(name, now.Sub(last), interval, now) {
			due = append(due, name)
		}
	}
	return due
}

// isDue reports whether a watched target is due, given the time since this VM probed it. The watchers
// take turns: this one waits until half an interval has passed since the other one's confirmation.
func (p *Poller) isDue(name string, since, interval time.Duration, now time.Time) bool {
	if since < interval*6/10 {
		return false
	}
	vm, _ := p.options.Directory.Get(name)
	return since >= interval*12/10 || now.Sub(vm.ConfirmedAt) >= interval/WatchersPerTarget
}

// dueStale returns targets that no watcher has confirmed for too long, within the bound. Those that are
// leaving are left to their watchers, which find them when they are started again.
func (p *Poller) dueStale(now time.Time) []string {
	var due []string
	d := p.options.Directory
	for zone, order := range d.layout.Load().zones {
		if !d.KeepsFresh(zone) {
			continue
		}
		for _, name := range order.targets {
			vm, _ := d.Get(name)
			stale := now.Sub(vm.ConfirmedAt) >= staleAfter
			if stale && p.mayProbeStale(name, staleInterval(vm.State), now) {
				due = append(due, name)
			}
		}
	}
	return due
}

// staleInterval is the pause between two probes of a stale target. One that is leaving may be started
// again in place; where its zone has too few entry VMs, the watchers' word of it reaches nobody by
// the gossip, which asks the VMs of the target's zone.
func staleInterval(state State) time.Duration {
	if state >= StateLeaving {
		return leavingProbeInterval
	}
	return minProbeInterval
}

func (p *Poller) mayProbeStale(name string, interval time.Duration, now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if now.Sub(p.probed[name]) < interval {
		return false
	}
	return p.stale.AllowN(now, 1)
}

// start probes the target, unless the list has dropped it or a probe of it is in flight. One that is
// leaving may be started again in place, under another incarnation.
func (p *Poller) start(ctx context.Context, name string, now time.Time) {
	target, known := p.options.Directory.Get(name)
	if !known || target.State >= StateGone || !p.take(name, now) {
		return
	}
	p.running.Go(func() { p.probe(ctx, target) })
}

func (p *Poller) take(name string, now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.probing[name] || len(p.probing) >= maxProbes {
		return false
	}
	p.probing[name] = true
	p.probed[name] = now
	return true
}

// interval spreads this VM's probes. The caller holds the lock.
func (p *Poller) interval() time.Duration {
	spread := time.Duration(float64(len(p.watched)) / probesPerSecond * float64(time.Second))
	return min(max(spread, minProbeInterval), maxProbeInterval)
}

func (p *Poller) probe(ctx context.Context, target VM) {
	defer p.release(target.Name)
	probeCtx, cancel := context.WithTimeout(ctx, ProbeTimeout)
	defer cancel()
	_ = Confirm(probeCtx, p.options.Directory, p.options.Prober, target)
	p.metrics.probes.Inc(1)
}

func (p *Poller) release(name string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.probing, name)
}

// Confirm probes a target and tells the directory what it said. A dispatcher uses it before it sends
// to a target that has no fresh confirmation. The error says why the target could not be reached.
func Confirm(ctx context.Context, d *Directory, prober Prober, target VM) error {
	asked := time.Now()
	report, err := prober.Probe(ctx, target)
	if err != nil {
		if context.Cause(ctx) != context.Canceled {
			d.Observe(Unreachable(target.Name, asked))
		}
		return err
	}
	d.Observe(Reported(target.Name, report, asked))
	return nil
}
