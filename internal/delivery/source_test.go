package delivery_test

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"godwitcart/internal/delivery"
	"godwitcart/internal/eventstream"
)

// TestCommentsWithoutEndAreGivenUp guards against a target that keeps a VM busy until the deadline by comments alone. An event
// begins the count anew.
func TestCommentsWithoutEndAreGivenUp(t *testing.T) {
	answer := delivery.New(httptest.NewRecorder(), httptest.NewRequest(http.MethodPost, "/", nil))
	source, err := answer.From("t-1", delivery.Head{Status: http.StatusOK})
	require.NoError(t, err)
	comment := []byte(":" + strings.Repeat("x", 60<<10) + "\n\n")
	for round := range 3 {
		for range 4 {
			require.NoError(t, source.SendComment(comment))
		}
		next, isNew, err := source.Admit(eventstream.Event{ID: string(rune('1' + round)), Raw: []byte("data: a\n\n")})
		require.NoError(t, err)
		require.True(t, isNew)
		require.NoError(t, source.Send(next))
	}
	for range 4 {
		require.NoError(t, source.SendComment(comment))
	}
	require.ErrorIs(t, source.SendComment(comment), delivery.ErrTooManyComments)
}
