package forward

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestSilenceLimit guards against a limit below the gaps that a healthy stream shows, as between long prompts, and
// against one that leaves no time to continue within the route's maximum gap.
func TestSilenceLimit(t *testing.T) {
	const maxGap = 180 * time.Millisecond
	repeat := func(count int, gaps ...time.Duration) []time.Duration {
		var all []time.Duration
		for range count {
			all = append(all, gaps...)
		}
		return all
	}
	cases := map[string]struct {
		gaps     []time.Duration
		maxGap   time.Duration
		known    bool
		min, max time.Duration
	}{
		"too few gaps":           {gaps: repeat(7, 30*time.Millisecond), maxGap: maxGap},
		"steady":                 {gaps: repeat(50, 30*time.Millisecond), maxGap: maxGap, known: true, min: 121 * time.Millisecond, max: 130 * time.Millisecond},
		"steady, no maximum gap": {gaps: repeat(50, 30*time.Millisecond), known: true, min: defaultSilence, max: defaultSilence},
		"between long prompts":   {gaps: repeat(20, 30*time.Millisecond, 30*time.Millisecond, 400*time.Millisecond), maxGap: maxGap, known: true, min: 400 * time.Millisecond, max: time.Second},
		"slow engine":            {gaps: repeat(20, 300*time.Millisecond), maxGap: maxGap, known: true, min: 300 * time.Millisecond, max: 400 * time.Millisecond},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			var gaps smoothed
			for _, gap := range c.gaps {
				gaps.observe(gap)
			}
			limit, known := silenceLimit(gaps, c.maxGap)
			require.Equal(t, c.known, known)
			require.GreaterOrEqual(t, limit, c.min)
			require.LessOrEqual(t, limit, c.max)
		})
	}
}
