package failures

import (
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"os"
	"slices"
	"sync"
	"time"

	"github.com/charmbracelet/log"
	"github.com/cockroachdb/errors"

	"godwitcart/internal/pause"
	"godwitcart/internal/stand/journal"
	"godwitcart/internal/stand/load"
)

// The load of a run.
const (
	requestsPerSecond = 15
	requestDeadline   = 25 * time.Second
	requestGrace      = 3 * time.Second
	callerSilence     = 6 * time.Second
	medianTokens      = 40
	tokensSigma       = 1
	maxTokens         = 600
	promptBytes       = 300
	longestStagger    = 6 * time.Second
)

// Options configure a run.
type Options struct {
	// Binaries is the directory of the programs.
	Binaries string
	// Directory receives settings, logs and the journal.
	Directory string
	Seed      uint64
	// Duration is how long requests start.
	Duration time.Duration
	// Rollouts lets operators roll versions out and back, too.
	Rollouts bool
	// Faults is false for a run that is the measure of the others.
	Faults bool
	// PlannedOnly leaves out all faults but the planned stops.
	PlannedOnly bool
	// Rate is the number of requests a second, and MedianTokens the median of the output length; zero means
	// the default.
	Rate         float64
	MedianTokens float64
	// MemoryTokens is the memory of each engine; zero means the default, which is short on purpose.
	MemoryTokens int
}

// Report is the result of a run.
type Report struct {
	Verdict
	Availability
	Seed    uint64  `json:"seed"`
	Seconds float64 `json:"seconds"`
	// Faults lists what was done.
	Faults []string `json:"faults"`
	// Baseline is the availability of the same load without faults, when it was measured.
	Baseline *Availability `json:"baseline,omitempty"`
	// Summary holds the callers' times.
	Summary load.Summary `json:"summary"`
}

// Availability tells how well callers were served.
type Availability struct {
	// AnsweredShare is the share of callers that received their whole answer.
	AnsweredShare float64 `json:"answered_share"`
	// WorstGapSeconds is the longest time in which no caller received its whole answer.
	WorstGapSeconds float64 `json:"worst_gap_seconds"`
}

// Run starts the fleet, sends the load, injects the faults, and judges. The error tells that
// the run itself failed.
func Run(ctx context.Context, options Options) (Report, error) {
	f, err := newFleet(options)
	if err != nil {
		return Report{}, err
	}
	defer f.stop()
	if err := f.start(ctx); err != nil {
		return Report{}, err
	}
	log.Info("the fleet is ready", "entries", entryCount, "engines", engineCount, "services", serviceCount)
	i := &injector{fleet: f, random: newDrawer(options.Seed, f), plannedOnly: options.PlannedOnly}
	operators := newOperators(f, options.Rollouts)
	records := i.runWithLoad(ctx, options, operators)
	if i.err != nil {
		return Report{}, errors.Wrap(i.err, "a fault could not be injected or lifted")
	}
	var stale []string
	var settled time.Duration
	if options.Rollouts {
		stale, settled = f.staleOrders(ctx)
	}
	if err := f.writeAnswers(records); err != nil {
		return Report{}, err
	}
	entries, err := readJournal(f.file("journal"))
	if err != nil {
		return Report{}, err
	}
	return report(options, History{
		Records: records, Journal: entries, Faults: i.faults,
		Changes: operators.changes, Observations: operators.observations, StaleOrders: stale, OrdersSettled: settled,
		Rollouts: int(operators.rolledOut.Load()), Zones: f.entryZones(),
	}), ctx.Err()
}

// writeAnswers keeps what the callers received, one JSON line a request, for whoever follows an example.
func (f *fleet) writeAnswers(records []load.Record) error {
	var text bytes.Buffer
	encoder := json.NewEncoder(&text)
	for _, record := range records {
		if err := encoder.Encode(record); err != nil {
			return errors.Wrap(err, "encode the answers")
		}
	}
	return f.writeText("answers", text.String())
}

func readJournal(path string) ([]journal.Entry, error) {
	if _, err := os.Stat(path); errors.Is(err, os.ErrNotExist) {
		return nil, nil
	}
	return journal.Read(path)
}

// runWithLoad sends the load while the injector and the operators work, and returns what the
// callers received.
func (i *injector) runWithLoad(ctx context.Context, options Options, o *operators) []load.Record {
	var work sync.WaitGroup
	injecting, stop := context.WithCancel(ctx)
	defer stop()
	if options.Faults {
		work.Go(func() { i.injectAll(injecting, options.Duration) })
	}
	work.Go(func() { o.run(injecting) })
	records := load.Run(ctx, i.fleet.load(options))
	stop()
	work.Wait()
	return records
}

// injectAll carries out the faults at their times, rests, and then stops in turn what can be stopped.
func (i *injector) injectAll(ctx context.Context, duration time.Duration) {
	started := time.Now()
	if i.plannedOnly {
		i.stopUntil(ctx, started.Add(duration))
		return
	}
	var running sync.WaitGroup
	for _, a := range i.random.faults(duration) {
		pause.For(ctx, time.Until(started.Add(a.after)))
		if ctx.Err() != nil {
			break
		}
		running.Go(func() { i.do(ctx, a) })
	}
	running.Wait()
	pause.For(ctx, settle)
	i.stopUntil(ctx, started.Add(duration))
}

// stopUntil makes planned stops until a time.
func (i *injector) stopUntil(ctx context.Context, end time.Time) {
	stopping, cancel := context.WithDeadline(ctx, end)
	defer cancel()
	i.plannedStops(stopping)
}

func (f *fleet) load(options Options) load.Options {
	l := load.Options{
		Keys: accountKeys(), Model: model, Classes: []string{shortClass, longClass}, Services: []string{plainService},
		Rate: cmp.Or(options.Rate, requestsPerSecond), Duration: options.Duration, Seed: options.Seed,
		Mix:           load.Mix{Stream: 5, Whole: 2, Plain: 3},
		NonIdempotent: 0.35, Duplicated: 0.3, Stagger: longestStagger, Leaving: 0.05,
		MedianTokens: cmp.Or(options.MedianTokens, medianTokens), Sigma: tokensSigma, MaxTokens: maxTokens, PromptBytes: promptBytes,
		Deadline: requestDeadline, Grace: requestGrace, Silence: callerSilence,
	}
	for _, m := range f.entries {
		l.Entries = append(l.Entries, "http://"+m.vm.Address)
		l.Ready = append(l.Ready, m.ReadyURL)
	}
	return l
}

func report(options Options, history History) Report {
	r := Report{
		Verdict:      Judge(history),
		Availability: measure(history.Records),
		Seed:         options.Seed,
		Seconds:      options.Duration.Seconds(),
		Faults:       []string{},
		Summary:      load.Summarize(history.Records),
	}
	for _, fault := range history.Faults {
		r.Faults = append(r.Faults, fault.String())
	}
	return r
}

// measure computes the availability from the ends of complete answers.
func measure(records []load.Record) Availability {
	var ends []time.Time
	callers := 0
	for _, record := range records {
		for _, answer := range record.Answers {
			if answer.Outcome != load.OutcomeLeft {
				callers++
			}
			if answer.Outcome == load.OutcomeAnswered {
				ends = append(ends, answer.Ended)
			}
		}
	}
	if callers == 0 {
		return Availability{}
	}
	return Availability{
		AnsweredShare:   float64(len(ends)) / float64(callers),
		WorstGapSeconds: worstGap(records, ends).Seconds(),
	}
}

// worstGap returns the longest time without an end, between the first and the last request's start.
func worstGap(records []load.Record, ends []time.Time) time.Duration {
	slices.SortFunc(ends, time.Time.Compare)
	last, final := records[0].Started, records[len(records)-1].Started
	var worst time.Duration
	for _, end := range ends {
		if end.After(final) {
			break
		}
		worst = max(worst, end.Sub(last))
		last = end
	}
	return max(worst, final.Sub(last))
}
