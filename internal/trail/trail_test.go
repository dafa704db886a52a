package trail

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var start = time.Unix(1_700_000_000, 0)

// TestStepsInOrder checks that a request's steps come back in their order with their inputs.
func TestStepsInOrder(t *testing.T) {
	book := New()
	book.Note("r1", start, "sent", []any{"target", "e1", "attempt", 1})
	book.Note("r2", start, "sent", []any{"target", "e2"})
	book.Note("r1", start.Add(time.Second), "request ended", []any{"outcome", "not_run", "reason", errors.New("the target refused")})
	steps, found := book.Find("r1")
	require.True(t, found)
	require.Equal(t, []Step{
		{At: start, Message: "sent", Detail: "target=e1 attempt=1"},
		{At: start.Add(time.Second), Message: "request ended", Detail: "outcome=not_run reason=the target refused"},
	}, steps)
	_, found = book.Find("r3")
	require.False(t, found)
}

// TestBounds fills a Book beyond both bounds: the oldest requests go, and of a long one the first steps and the
// last stay.
func TestBounds(t *testing.T) {
	book := New()
	for i := range 3 * keptRequests {
		book.Note(fmt.Sprint("r", i), start, "sent", nil)
	}
	require.Len(t, book.steps, keptRequests)
	_, found := book.Find(fmt.Sprint("r", 2*keptRequests-1))
	require.False(t, found)
	_, found = book.Find(fmt.Sprint("r", 2*keptRequests))
	require.True(t, found)
	for i := range 2 * keptSteps {
		book.Note("long", start, fmt.Sprint(i), nil)
	}
	steps, _ := book.Find("long")
	require.Len(t, steps, keptSteps)
	require.Equal(t, "0", steps[0].Message)
	require.Equal(t, fmt.Sprint(2*keptSteps-1), steps[keptSteps-1].Message)
}
