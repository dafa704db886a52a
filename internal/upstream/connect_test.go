package upstream

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestConnectTimeout guards against waiting a second for each target that is cut off where connects take milliseconds,
// and against giving up connects on a slow path or a busy machine.
func TestConnectTimeout(t *testing.T) {
	cases := map[string]struct {
		usual, timeout time.Duration
	}{
		"not timed yet": {0, time.Second},
		"near":          {3 * time.Millisecond, 200 * time.Millisecond},
		"slow path":     {60 * time.Millisecond, 480 * time.Millisecond},
		"very slow":     {400 * time.Millisecond, time.Second},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			var timer connectTimer
			if c.usual > 0 {
				for range 20 {
					timer.observe(c.usual)
				}
			}
			require.Equal(t, c.timeout, timer.timeout())
		})
	}
}
