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
	callerIdleTimeout = 6 * time.Second
	medianTokens      = 40
	tokensSigma       = 1
	maxTokens         = 600
	promptBytes       = 300
	maxStagger        = 6 * time.Second
)

// Options configures a run.
type Options struct {
	// Binaries is the directory of the programs.
	Binaries string
	// Directory receives settings, logs and the journal.
	Directory string
	Seed      uint64
	// Duration is the time in which requests are started.
	Duration time.Duration
	// Rollouts also lets operators roll out and withdraw a model version.
	Rollouts bool
	// Faults enables fault injection; a run without it gives the baseline for others.
	Faults bool
	// PlannedOnly disables all faults except planned stops.
	PlannedOnly bool
	// Rate is the number of requests per second, and MedianTokens the median output length; zero means the default.
	Rate         float64
	MedianTokens float64
	// MemoryTokens is the number of tokens, prompts included, that the running generations of each engine may hold.
	// Zero means the default, which is too low for the load on purpose.
	MemoryTokens int
}

// Report is the result of a run.
type Report struct {
	Verdict
	Availability
	Seed    uint64  `json:"seed"`
	Seconds float64 `json:"seconds"`
	// Faults describes the injected faults.
	Faults []string `json:"faults"`
	// Baseline is the availability under the same load without faults; nil when it was not measured.
	Baseline *Availability `json:"baseline,omitempty"`
	// Summary holds the counts and latencies that callers saw.
	Summary load.Summary `json:"summary"`
}

// Availability summarizes how well callers were served.
type Availability struct {
	// AnsweredShare is the share of callers that received a complete answer, without those that disconnected.
	AnsweredShare float64 `json:"answered_share"`
	// WorstGapSeconds is the longest time in which no caller received a complete answer.
	WorstGapSeconds float64 `json:"worst_gap_seconds"`
}

// Run starts the fleet, sends the load, injects the faults, and checks the results. Violated guarantees are in the
// report; an error means that the run itself failed.
func Run(ctx context.Context, options Options) (Report, error) {
	f, err := newFleet(options)
	if err != nil {
		return Report{}, err
	}
	defer f.stop()
	if err := f.start(ctx); err != nil {
		return Report{}, err
	}
	log.Info("fleet ready", "entries", entryCount, "engines", engineCount, "services", serviceCount)
	i := &injector{fleet: f, generator: newFaultGenerator(options.Seed, f), plannedOnly: options.PlannedOnly}
	operators := newOperators(f, options.Rollouts)
	records := i.runWithLoad(ctx, options, operators)
	if i.err != nil {
		return Report{}, errors.Wrap(i.err, "inject or lift a fault")
	}
	var unapplied []string
	var settleDuration time.Duration
	if options.Rollouts {
		unapplied, settleDuration = f.waitForOrders(ctx)
	}
	if err := f.writeAnswers(records); err != nil {
		return Report{}, err
	}
	entries, err := readJournal(f.file("journal"))
	if err != nil {
		return Report{}, err
	}
	return newReport(options, History{
		Records: records, Journal: entries, Faults: i.faults,
		Changes: operators.changes, Observations: operators.observations, UnappliedOrders: unapplied, OrderSettleTime: settleDuration,
		Rollouts: int(operators.acceptedRollouts.Load()), Zones: f.entryZones(),
	}), ctx.Err()
}

// writeAnswers writes what the callers received as one JSON line per request, to help investigate violations.
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

// runWithLoad sends the load while the injector and the operators run, and returns what the callers received.
func (i *injector) runWithLoad(ctx context.Context, options Options, o *operators) []load.Record {
	var work sync.WaitGroup
	injectCtx, stop := context.WithCancel(ctx)
	defer stop()
	if options.Faults {
		work.Go(func() { i.injectFaults(injectCtx, options.Duration) })
	}
	work.Go(func() { o.run(injectCtx) })
	records := load.Run(ctx, i.fleet.loadOptions(options))
	stop()
	work.Wait()
	return records
}

// injectFaults injects the faults at their times, waits for settleTime, and then makes planned stops until the
// duration has passed.
func (i *injector) injectFaults(ctx context.Context, duration time.Duration) {
	started := time.Now()
	if i.plannedOnly {
		i.runPlannedStopsUntil(ctx, started.Add(duration))
		return
	}
	var running sync.WaitGroup
	for _, a := range i.generator.faults(duration) {
		pause.For(ctx, time.Until(started.Add(a.startAfter)))
		if ctx.Err() != nil {
			break
		}
		running.Go(func() { i.execute(ctx, a) })
	}
	running.Wait()
	pause.For(ctx, settleTime)
	i.runPlannedStopsUntil(ctx, started.Add(duration))
}

// runPlannedStopsUntil makes planned stops until end.
func (i *injector) runPlannedStopsUntil(ctx context.Context, end time.Time) {
	stopsCtx, cancel := context.WithDeadline(ctx, end)
	defer cancel()
	i.runPlannedStops(stopsCtx)
}

func (f *fleet) loadOptions(options Options) load.Options {
	l := load.Options{
		Keys: accountKeys(), Model: model, Classes: []string{shortClass, longClass}, Services: []string{plainService},
		Rate: cmp.Or(options.Rate, requestsPerSecond), Duration: options.Duration, Seed: options.Seed,
		Mix:                load.Mix{Stream: 5, Whole: 2, Plain: 3},
		NonIdempotentShare: 0.35, DuplicateShare: 0.3, MaxStagger: maxStagger, DisconnectShare: 0.05,
		MedianTokens: cmp.Or(options.MedianTokens, medianTokens), Sigma: tokensSigma, MaxTokens: maxTokens, PromptBytes: promptBytes,
		Deadline: requestDeadline, DeadlineGrace: requestGrace, IdleTimeout: callerIdleTimeout,
	}
	for _, m := range f.entries {
		l.EntryURLs = append(l.EntryURLs, "http://"+m.vm.Address)
		l.ReadyURLs = append(l.ReadyURLs, m.ReadyURL)
	}
	return l
}

func newReport(options Options, history History) Report {
	r := Report{
		Verdict:      Check(history),
		Availability: measureAvailability(history.Records),
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

// measureAvailability computes the availability from the end times of complete answers.
func measureAvailability(records []load.Record) Availability {
	var ends []time.Time
	callers := 0
	for _, record := range records {
		for _, answer := range record.Answers {
			if answer.Outcome != load.OutcomeDisconnected {
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

// worstGap returns the longest time without a completed answer between the starts of the first and the last request.
// It sorts ends.
func worstGap(records []load.Record, ends []time.Time) time.Duration {
	slices.SortFunc(ends, time.Time.Compare)
	previous, lastStart := records[0].Started, records[len(records)-1].Started
	var worst time.Duration
	for _, end := range ends {
		if end.After(lastStart) {
			break
		}
		worst = max(worst, end.Sub(previous))
		previous = end
	}
	return max(worst, lastStart.Sub(previous))
}
