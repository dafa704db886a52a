package trail

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var start = time.Unix(1_700_000_000, 0)

// TestStepsInOrder checks that a request's steps are returned in order with their inputs.
func TestStepsInOrder(t *testing.T) {
	recorder := New()
	recorder.Record("r1", start, "sent", []any{"target", "e1", "attempt", 1})
	recorder.Record("r2", start, "sent", []any{"target", "e2"})
	recorder.Record("r1", start.Add(time.Second), "request ended", []any{"outcome", "not_run", "reason", errors.New("the target refused")})
	steps, found := recorder.Steps("r1")
	require.True(t, found)
	require.Equal(t, []Step{
		{At: start, Message: "sent", Detail: "target=e1 attempt=1"},
		{At: start.Add(time.Second), Message: "request ended", Detail: "outcome=not_run reason=the target refused"},
	}, steps)
	_, found = recorder.Steps("r3")
	require.False(t, found)
}

// TestBounds exceeds both limits of a Recorder: the oldest requests are evicted, and of a request with too many steps
// the first ones and the last one are kept.
func TestBounds(t *testing.T) {
	recorder := New()
	for i := range 3 * maxRequests {
		recorder.Record(fmt.Sprint("r", i), start, "sent", nil)
	}
	require.Len(t, recorder.steps, maxRequests)
	_, found := recorder.Steps(fmt.Sprint("r", 2*maxRequests-1))
	require.False(t, found)
	_, found = recorder.Steps(fmt.Sprint("r", 2*maxRequests))
	require.True(t, found)
	for i := range 2 * maxStepsPerRequest {
		recorder.Record("long", start, fmt.Sprint(i), nil)
	}
	steps, _ := recorder.Steps("long")
	require.Len(t, steps, maxStepsPerRequest)
	require.Equal(t, "0", steps[0].Message)
	require.Equal(t, fmt.Sprint(2*maxStepsPerRequest-1), steps[maxStepsPerRequest-1].Message)
}
