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

// routeDurations estimates how long the complete streams of each route take. It is safe for concurrent use.
type routeDurations struct {
	mu      sync.Mutex
	byRoute map[string]*smoothed
}

func newRouteDurations() *routeDurations {
	return &routeDurations{byRoute: make(map[string]*smoothed)}
}

// observe records the time from the arrival of a request to the end of its stream.
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

// completesWithin reports whether a new stream of the route is expected to end within the time: most do within their
// mean and one deviation. Without an estimate it returns true.
func (d *routeDurations) completesWithin(route string, available time.Duration) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	estimate := d.byRoute[route]
	return estimate == nil || estimate.mean+estimate.deviation <= available
}
