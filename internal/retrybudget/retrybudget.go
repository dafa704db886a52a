// Package retrybudget limits the retries of each service to a share of its requests, so that retries cannot multiply
// the load on a failing service.
package retrybudget

import "sync"

// The default budget.
const (
	// DefaultRatio is the share of requests that may be retried.
	DefaultRatio = 0.1
	// DefaultSlack is the maximum balance of a service, in retries: the burst that is allowed after a quiet time.
	DefaultSlack = 50.0
)

// Budget is a token bucket of retries for each service: in any period, a service gets at most the slack plus the ratio
// times its requests in that period. It is safe for concurrent use.
type Budget struct {
	ratio    float64
	mu       sync.Mutex
	slack    float64
	balances map[string]float64
}

// New returns a budget in which every service starts with a balance of slack.
func New(ratio, slack float64) *Budget {
	return &Budget{ratio: ratio, slack: slack, balances: make(map[string]float64)}
}

// SetSlack changes the maximum balance of every service, for example when the slack is shared by more VMs.
func (b *Budget) SetSlack(slack float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.slack = slack
	for service, balance := range b.balances {
		b.balances[service] = min(balance, slack)
	}
}

// Earn credits the service with the ratio for a new request.
func (b *Budget) Earn(service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.balances[service] = min(b.slack, b.balance(service)+b.ratio)
}

// Spend takes one retry from the service's balance and reports whether there was one.
func (b *Budget) Spend(service string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	balance := b.balance(service)
	if balance < 1 {
		return false
	}
	b.balances[service] = balance - 1
	return true
}

// balance is called with mu held.
func (b *Budget) balance(service string) float64 {
	balance, known := b.balances[service]
	if !known {
		return b.slack
	}
	return balance
}
