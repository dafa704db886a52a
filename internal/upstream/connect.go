package upstream

import (
	"sync"
	"time"
)

const (
	// maxConnectTimeout applies until connects have been timed, and minConnectTimeout leaves time for a busy machine.
	maxConnectTimeout = time.Second
	minConnectTimeout = 200 * time.Millisecond
	// connectTimeoutFactor is how many times the usual time a connect may take.
	connectTimeoutFactor = 8
	// connectTimeWeight is the weight of one connect in the moving average.
	connectTimeWeight = 0.1
)

// connectTimer bounds connects by the time that they usually take. A connect that takes many times as long waits for a
// target that is cut off, or for the retransmission of a lost packet, which TCP sends only after a second; another
// target answers sooner. It is safe for concurrent use.
type connectTimer struct {
	mu      sync.Mutex
	average time.Duration
}

// observe records the duration of a successful connect.
func (c *connectTimer) observe(duration time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.average == 0 {
		c.average = duration
		return
	}
	c.average += time.Duration(connectTimeWeight * float64(duration-c.average))
}

// timeout returns the time after which a connect is given up.
func (c *connectTimer) timeout() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.average == 0 {
		return maxConnectTimeout
	}
	return min(max(connectTimeoutFactor*c.average, minConnectTimeout), maxConnectTimeout)
}
