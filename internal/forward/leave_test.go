package forward

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// TestDenialAfterAFailedConnection guards against a run that is started anew since its engine's denial was dropped: the engine could not be
// reached at first, and then said that it does not run the generation.
func TestDenialAfterAFailedConnection(t *testing.T) {
	left := &departure{settled: make(chan struct{}), kept: make(chan struct{}), done: make(chan struct{})}
	left.settle(leftUnreachable)
	require.False(t, left.isAbsent(), "the engine has not answered")
	left.settle(leftAbsent)
	left.answer = leftAbsent
	close(left.done)
	require.True(t, left.isAbsent())
	require.True(t, left.awaitAnswer(t.Context(), askTimeout))
}
