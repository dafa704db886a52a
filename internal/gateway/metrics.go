package gateway

import (
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"

	"godwitcart/internal/apierror"
)

// The sample of a latency histogram: the last few minutes weigh most.
const (
	sampleSize  = 1028
	sampleAlpha = 0.015
	// stallGap is the longest gap between two tokens that does not count as stall.
	stallGap = 41 * time.Millisecond
)

// classMetrics are the figures of one priority class, in nanoseconds where they are times.
type classMetrics struct {
	requests   metrics.Counter
	firstToken metrics.Histogram
	tokenGap   metrics.Histogram
	// stall sums what gaps between tokens take beyond stallGap.
	stall metrics.Counter
}

// classRegistry holds the metrics of the classes; their number is that of the configuration's classes.
type classRegistry struct {
	mu      sync.RWMutex
	byClass map[string]*classMetrics
}

var classes = &classRegistry{byClass: make(map[string]*classMetrics)}

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

// countError counts an error that a caller is told.
func countError(kind apierror.Kind) {
	metrics.GetOrRegisterCounter("gateway.errors."+string(kind), nil).Inc(1)
}

// tokenClock measures the times of one stream's tokens.
type tokenClock struct {
	metrics *classMetrics
	last    time.Time
	started bool
}

func newTokenClock(class string, received time.Time) tokenClock {
	return tokenClock{metrics: classes.get(class), last: received}
}

// tick records that a token left at now.
func (c *tokenClock) tick(now time.Time) {
	gap := now.Sub(c.last)
	c.last = now
	if !c.started {
		c.started = true
		c.metrics.firstToken.Update(gap.Nanoseconds())
		return
	}
	c.metrics.tokenGap.Update(gap.Nanoseconds())
	if gap > stallGap {
		c.metrics.stall.Inc((gap - stallGap).Nanoseconds())
	}
}
