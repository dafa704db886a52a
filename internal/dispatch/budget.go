package dispatch

import "sync"

// The shape of a retry budget.
const (
	// retriesPerRequest is the share of requests that may be retried.
	retriesPerRequest = 0.1
	// maxSavedRetries bounds the retries that a quiet service may save up.
	maxSavedRetries = 50.0
)

// RetryBudget bounds retries to a share of the requests of each service, so that retries never
// multiply the load of a service that is failing. It is safe for concurrent use.
type RetryBudget struct {
	mu    sync.Mutex
	saved map[string]float64
}

// NewRetryBudget returns a budget in which every service starts with its full savings.
func NewRetryBudget() *RetryBudget {
	return &RetryBudget{saved: make(map[string]float64)}
}

// Earn records a new request of the service.
func (b *RetryBudget) Earn(service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.saved[service] = min(maxSavedRetries, b.balance(service)+retriesPerRequest)
}

// Spend takes one retry of the service; it reports whether there was one.
func (b *RetryBudget) Spend(service string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	balance := b.balance(service)
	if balance < 1 {
		return false
	}
	b.saved[service] = balance - 1
	return true
}

// balance is called with mu held.
func (b *RetryBudget) balance(service string) float64 {
	balance, known := b.saved[service]
	if !known {
		return maxSavedRetries
	}
	return balance
}
