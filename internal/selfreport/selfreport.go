// Package selfreport asks targets themselves whether they are leaving while the platform's list of targets cannot be read.
//
// A target announces on the list that it is leaving. While the list cannot be read nobody learns of it, and the generations
// that run there break off. One VM of each zone therefore asks the targets of its zone and passes on what it hears. An answer
// can only take a target out of use, never bring it back: only the list does that.
package selfreport

import (
	"context"
	"sync"
	"time"

	"github.com/charmbracelet/log"
	"github.com/rcrowley/go-metrics"

	"godwitcart/internal/pause"
	"godwitcart/internal/roster"
)

const (
	// askInterval is the least time between two rounds. A target that leaves serves for a second or two after its
	// notice, and its generations need most of that to move.
	askInterval = 200 * time.Millisecond
	// intervalPerTarget is added to a round for each target, which bounds the rate of requests in a large zone.
	intervalPerTarget = 5 * time.Millisecond
	// idleCheckInterval is the time between two checks whether the list can be read.
	idleCheckInterval = 100 * time.Millisecond
	// answerTimeout bounds one request. A target answers within milliseconds, whatever it runs.
	answerTimeout = 300 * time.Millisecond
	// afterOutage is how long targets are still asked once the list can be read again: until those that could not
	// write to it have done so.
	afterOutage = 2 * time.Second
	// maxConcurrent bounds the requests that are open at a time.
	maxConcurrent = 16
)

// Report is what a target says of itself.
type Report struct {
	// Leaving is set if the target accepts no new work.
	Leaving bool
	// StartedAt is when the process that answered started, in Unix milliseconds, or zero if it does not say.
	StartedAt int64
	// Queued is the number of requests that wait at the target, some hundred milliseconds ago.
	Queued int
}

// Source reads a target's report.
type Source interface {
	Report(ctx context.Context, address string) (Report, error)
}

// Options configures a Watcher.
type Options struct {
	Source Source
	// Targets returns the targets to ask: those that this VM answers for and that are not known to be leaving.
	Targets func() []roster.Target
	// IsListLost reports whether the list cannot be read, and IsAsker whether this VM asks on behalf of its zone.
	IsListLost, IsAsker func() bool
	// Leaving is called with each target that says that it is leaving.
	Leaving func(roster.Target)
	Logger  *log.Logger
}

// Watcher asks targets whether they are leaving while the list cannot be read.
type Watcher struct {
	options     Options
	lastLostAt  time.Time
	asked, told metrics.Counter
}

// NewWatcher returns a Watcher; Run starts it.
func NewWatcher(options Options) *Watcher {
	return &Watcher{
		options: options,
		asked:   metrics.GetOrRegisterCounter("selfreport.asked", metrics.DefaultRegistry),
		told:    metrics.GetOrRegisterCounter("selfreport.leaving", metrics.DefaultRegistry),
	}
}

// Run asks until ctx is done, and then returns nil.
func (w *Watcher) Run(ctx context.Context) error {
	for {
		wait := idleCheckInterval
		if w.isDue(time.Now()) {
			targets := w.options.Targets()
			w.askAll(ctx, targets)
			wait = roundInterval(len(targets))
		}
		if !pause.For(ctx, wait) {
			return nil
		}
	}
}

// isDue reports whether this VM asks now.
func (w *Watcher) isDue(now time.Time) bool {
	if w.options.IsListLost() {
		w.lastLostAt = now
	}
	return !w.lastLostAt.IsZero() && now.Sub(w.lastLostAt) < afterOutage && w.options.IsAsker()
}

// roundInterval returns the time between two rounds over that many targets.
func roundInterval(targets int) time.Duration {
	return askInterval + time.Duration(targets)*intervalPerTarget
}

func (w *Watcher) askAll(ctx context.Context, targets []roster.Target) {
	var asking sync.WaitGroup
	slots := make(chan struct{}, maxConcurrent)
	for _, target := range targets {
		slots <- struct{}{}
		asking.Go(func() {
			defer func() { <-slots }()
			w.ask(ctx, target)
		})
	}
	asking.Wait()
}

// ask asks one target. No answer says nothing: the way to the target may be cut.
func (w *Watcher) ask(ctx context.Context, target roster.Target) {
	ctx, cancel := context.WithTimeout(ctx, answerTimeout)
	defer cancel()
	w.asked.Inc(1)
	report, err := w.options.Source.Report(ctx, target.Address)
	if err != nil || !report.concerns(target) || !report.Leaving {
		return
	}
	w.told.Inc(1)
	w.options.Logger.Info("target says that it is leaving while the list cannot be read", "target", target.ID, "service", target.Service)
	w.options.Leaving(target)
}

// concerns reports whether the process that answered may be the target: another one may have got its address.
func (r Report) concerns(target roster.Target) bool {
	return r.StartedAt == 0 || target.StartedAt == 0 || r.StartedAt == target.StartedAt
}
