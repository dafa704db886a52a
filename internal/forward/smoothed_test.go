package forward

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestRouteDurations checks that the estimate follows each route's own streams, and that a route without streams is
// taken to complete.
func TestRouteDurations(t *testing.T) {
	durations := newRouteDurations()
	for range 30 {
		durations.observe("letters", 8*time.Second)
		durations.observe("checks", 300*time.Millisecond)
	}
	require.False(t, durations.completesWithin("letters", 7*time.Second))
	require.True(t, durations.completesWithin("letters", 12*time.Second))
	require.True(t, durations.completesWithin("checks", time.Second))
	require.True(t, durations.completesWithin("unknown", time.Second))
}
