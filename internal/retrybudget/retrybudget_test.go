package retrybudget_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"godwitcart/internal/retrybudget"
)

// TestRetriesBoundedByRequests checks that a service with an empty balance gets at most one retry per ten requests, and
// that the balance of another service is not affected.
func TestRetriesBoundedByRequests(t *testing.T) {
	budget := retrybudget.New(retrybudget.DefaultRatio, retrybudget.DefaultSlack)
	for budget.Spend("drafter") {
	}
	require.True(t, budget.Spend("cardstat"))
	retries := 0
	const requests = 1000
	for range requests {
		budget.Earn("drafter")
		if budget.Spend("drafter") {
			retries++
		}
	}
	require.LessOrEqual(t, retries, requests/10)
	require.Positive(t, retries)
}
