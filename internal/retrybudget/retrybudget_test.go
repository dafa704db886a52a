package retrybudget_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"godwitcart/internal/retrybudget"
)

// TestRetriesAreBoundedByTheRequests spends all that a service has saved and then counts what its
// requests earn: at most one retry in ten requests, and nothing from another service.
func TestRetriesAreBoundedByTheRequests(t *testing.T) {
	budget := retrybudget.New(retrybudget.DefaultRatio, retrybudget.DefaultSlack)
	for budget.Spend("drafter") {
	}
	require.True(t, budget.Spend("cardstat"))
	spent := 0
	const requests = 1000
	for range requests {
		budget.Earn("drafter")
		if budget.Spend("drafter") {
			spent++
		}
	}
	require.LessOrEqual(t, spent, requests/10)
	require.Positive(t, spent)
}
