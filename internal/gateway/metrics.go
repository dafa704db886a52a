package gateway

import (
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"

	"godwitcart/internal/apierror"
)

// The latency histograms sample with exponential decay, which favors the last few minutes.
const (
	sampleSize  = 1028
	sampleAlpha = 0.015
	// stallThreshold is the longest gap between two tokens that does not count as a stall.
	stallThreshold = 41 * time.Millisecond
)

// classMetrics are the metrics of one priority class. Durations are in nanoseconds.
type classMetrics struct {
	requests   metrics.Counter
	firstToken metrics.Histogram
	tokenGap   metrics.Histogram
	// stall is the total time by which gaps between tokens exceeded stallThreshold.
	stall metrics.Counter
}

// classRegistry holds the metrics of each priority class. Only classes of the configuration are added, which bounds it.
type classRegistry struct {
	mu      sync.RWMutex
	byClass map[string]*classMetrics
}

var classMetricsRegistry = &classRegistry{byClass: make(map[string]*classMetrics)}

func (g *classRegistry) get(class string) *classMetrics {
	g.mu.RLock()
	found := g.byClass[class]
	g.mu.RUnlock()
	if found != nil {
		return found
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.byClass[class] == nil {
		g.byClass[class] = newClassMetrics("gateway.class." + class + ".")
	}
	return g.byClass[class]
}

func newClassMetrics(prefix string) *classMetrics {
	sample := func() metrics.Sample { return metrics.NewExpDecaySample(sampleSize, sampleAlpha) }
	return &classMetrics{
		requests:   metrics.GetOrRegisterCounter(prefix+"requests", nil),
		firstToken: metrics.GetOrRegisterHistogram(prefix+"first_token_nanoseconds", nil, sample()),
		tokenGap:   metrics.GetOrRegisterHistogram(prefix+"token_gap_nanoseconds", nil, sample()),
		stall:      metrics.GetOrRegisterCounter(prefix+"stall_nanoseconds", nil),
	}
}

// countError counts an error that is reported to a caller.
func countError(kind apierror.Kind) {
	metrics.GetOrRegisterCounter("gateway.errors."+string(kind), nil).Inc(1)
}

// tokenTimer records the time to the first token and the gaps between tokens of one stream.
type tokenTimer struct {
	metrics       *classMetrics
	previous      time.Time
	hasFirstToken bool
}

func newTokenTimer(class string, received time.Time) tokenTimer {
	return tokenTimer{metrics: classMetricsRegistry.get(class), previous: received}
}

// recordToken records that a token was sent at now.
func (t *tokenTimer) recordToken(now time.Time) {
	gap := now.Sub(t.previous)
	t.previous = now
	if !t.hasFirstToken {
		t.hasFirstToken = true
		t.metrics.firstToken.Update(gap.Nanoseconds())
		return
	}
	t.metrics.tokenGap.Update(gap.Nanoseconds())
	if gap > stallThreshold {
		t.metrics.stall.Inc((gap - stallThreshold).Nanoseconds())
	}
}
