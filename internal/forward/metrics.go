package forward

import (
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
	answers, callersLeft    metrics.Counter
	moves, movesFailed      metrics.Counter
	fromBackup              metrics.Counter
	answerTime, firstEvent  metrics.Histogram
	eventGap, continuePause metrics.Histogram
}

func newRequestMetrics() *requestMetrics {
	counter := func(name string) metrics.Counter { return metrics.GetOrRegisterCounter("forward."+name, nil) }
	histogram := func(name string) metrics.Histogram {
		return metrics.GetOrRegisterHistogram("forward."+name, nil, metrics.NewExpDecaySample(sampleSize, sampleAlpha))
	}
	return &requestMetrics{
		answers: counter("answers"), callersLeft: counter("callers_left"),
		moves: counter("moves"), movesFailed: counter("moves_failed"), fromBackup: counter("from_backup"),
		answerTime: histogram("answer_nanoseconds"), firstEvent: histogram("first_event_nanoseconds"),
		eventGap: histogram("event_gap_nanoseconds"), continuePause: histogram("continue_pause_nanoseconds"),
	}
}

func (m *requestMetrics) answered(x *exchange) {
	m.answers.Inc(1)
	m.answerTime.Update(int64(time.Since(x.arrivedAt)))
}

func (m *requestMetrics) callerLeft(*exchange) { m.callersLeft.Inc(1) }

func (m *requestMetrics) failed(_ *exchange, kind apierror.Kind) {
	metrics.GetOrRegisterCounter("forward.errors."+string(kind), nil).Inc(1)
}
