// Package retrybudget bounds the retries of each service to a share of its requests, so that retries never
// multiply the load of a service that is failing.
package retrybudget

import "sync"

// The shape of the default budget.
const (
	// DefaultRatio is the share of requests that may be retried.
	DefaultRatio = 0.1
	// DefaultSlack bounds the retries that a quiet service may save up.
	DefaultSlack = 50.0
)

// Budget holds the retries of each service. In any span of time a service gets no more of them than the
// slack plus the ratio times its requests within the span. It is safe for concurrent use.
type Budget struct {
	ratio float64
	mu    sync.Mutex
	slack float64
	saved map[string]float64
}

// New returns a budget in which every service starts with its full savings.
func New(ratio, slack float64) *Budget {
	return &Budget{ratio: ratio, slack: slack, saved: make(map[string]float64)}
}

// SetSlack changes the savings that a service may have, as when the slack is shared by more VMs.
func (b *Budget) SetSlack(slack float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.slack = slack
	for service, saved := range b.saved {
		b.saved[service] = min(saved, slack)
	}
}

// Earn records a new request of the service.
func (b *Budget) Earn(service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.saved[service] = min(b.slack, b.balance(service)+b.ratio)
}

// Spend takes one retry of the service; it reports whether there was one.
func (b *Budget) Spend(service string) bool {
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
func (b *Budget) balance(service string) float64 {
	balance, known := b.saved[service]
	if !known {
		return b.slack
	}
	return balance
}
