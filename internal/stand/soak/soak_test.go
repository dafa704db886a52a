package soak

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// TestOnlyKnownViolationsAreExcused guards against a known violation that hides another one.
func TestOnlyKnownViolationsAreExcused(t *testing.T) {
	known := []string{"answer_lost"}
	require.True(t, (&Report{}).CleanBut(nil))
	require.True(t, (&Report{Violations: map[string]int{"answer_lost": 2}}).CleanBut(known))
	require.False(t, (&Report{Violations: map[string]int{"answer_lost": 2}}).CleanBut(nil))
	require.False(t, (&Report{Violations: map[string]int{"answer_lost": 2, "ran_twice": 1}}).CleanBut(known))
}
