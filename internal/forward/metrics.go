package forward

import (
	"strings"
	"time"

	"github.com/rcrowley/go-metrics"

	"godwitcart/internal/apierror"
)

// Parameters of the exponentially decaying samples of the latency histograms: they cover about five minutes.
const (
	sampleSize  = 1028
	sampleAlpha = 0.015
)

// requestMetrics counts the outcomes of requests and measures their latencies.
type requestMetrics struct {
	responses, callerDisconnects metrics.Counter
	moves, movesFailed           metrics.Counter
	backupSwitches, stalls       metrics.Counter
	// runsLeft counts the runs that were left, by what became known of them.
	runsLeft map[leaveOutcome]metrics.Counter
	// unprovenEnds counts responses that ended without proof that their stream had.
	unprovenEnds             metrics.Counter
	responseTime, firstEvent metrics.Histogram
	eventGap, resumeGap      metrics.Histogram
	roomWait                 metrics.Histogram
}

func newRequestMetrics() *requestMetrics {
	counter := func(name string) metrics.Counter { return metrics.GetOrRegisterCounter("forward."+name, nil) }
	histogram := func(name string) metrics.Histogram {
		return metrics.GetOrRegisterHistogram("forward."+name, nil, metrics.NewExpDecaySample(sampleSize, sampleAlpha))
	}
	runsLeft := make(map[leaveOutcome]metrics.Counter)
	for _, outcome := range []leaveOutcome{leftStopped, leftAbsent, leftUnreachable, leftUnanswered, leftKept, leftUnasked} {
		runsLeft[outcome] = counter("runs_left." + strings.ReplaceAll(string(outcome), " ", "_"))
	}
	return &requestMetrics{
		runsLeft:  runsLeft,
		responses: counter("answers"), callerDisconnects: counter("callers_left"),
		moves: counter("moves"), movesFailed: counter("moves_failed"), backupSwitches: counter("from_backup"), stalls: counter("stalls"), unprovenEnds: counter("unproven_ends"),
		responseTime: histogram("answer_nanoseconds"), firstEvent: histogram("first_event_nanoseconds"),
		eventGap: histogram("event_gap_nanoseconds"), resumeGap: histogram("continue_pause_nanoseconds"),
		roomWait: histogram("room_wait_nanoseconds"),
	}
}

func (m *requestMetrics) recordResponse(x *exchange) {
	m.responses.Inc(1)
	m.responseTime.Update(int64(time.Since(x.arrivedAt)))
}

func (m *requestMetrics) recordLeft(outcome leaveOutcome) { m.runsLeft[outcome].Inc(1) }

func (m *requestMetrics) recordDisconnect(*exchange) { m.callerDisconnects.Inc(1) }

func (m *requestMetrics) recordError(_ *exchange, kind apierror.Kind) {
	metrics.GetOrRegisterCounter("forward.errors."+string(kind), nil).Inc(1)
}
