package forward

import (
	"sync"
	"time"
)

// The weights and the factor are those of TCP's retransmission timeout (RFC 6298).
const (
	meanWeight      = 1.0 / 8
	deviationWeight = 1.0 / 4
	deviationFactor = 4
)

// smoothed is a moving average of a time and of its mean deviation. The zero value has no samples.
type smoothed struct {
	mean, deviation time.Duration
	samples         int
}

func (s *smoothed) observe(sample time.Duration) {
	s.samples++
	if s.samples == 1 {
		s.mean, s.deviation = sample, sample/2
		return
	}
	difference := sample - s.mean
	s.deviation += time.Duration(deviationWeight * float64(max(difference, -difference)-s.deviation))
	s.mean += time.Duration(meanWeight * float64(difference))
}

// maxRouteDurations bounds the routes whose durations are kept; beyond it, the estimates start anew.
const maxRouteDurations = 4096

// routeDurations estimates how long the complete answers of each route take, from the first send to a target. It is safe for concurrent use.
type routeDurations struct {
	mu      sync.Mutex
	byRoute map[string]*smoothed
}

func newRouteDurations() *routeDurations {
	return &routeDurations{byRoute: make(map[string]*smoothed)}
}

// observe records the time from the first send of a request to the end of its answer.
func (d *routeDurations) observe(route string, duration time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	estimate := d.byRoute[route]
	if estimate == nil {
		if len(d.byRoute) >= maxRouteDurations {
			clear(d.byRoute)
		}
		estimate = &smoothed{}
		d.byRoute[route] = estimate
	}
	estimate.observe(duration)
}

// expected returns the time in which most answers of the route are complete: their mean and one deviation. It is not known
// before the first one.
func (d *routeDurations) expected(route string) (duration time.Duration, known bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	estimate := d.byRoute[route]
	if estimate == nil {
		return 0, false
	}
	return estimate.mean + estimate.deviation, true
}

// completesWithin reports whether a new answer of the route is expected to be complete within the time. Without an estimate
// it returns true.
func (d *routeDurations) completesWithin(route string, available time.Duration) bool {
	expected, known := d.expected(route)
	return !known || expected <= available
}
