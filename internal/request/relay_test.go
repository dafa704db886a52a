package request_test

import (
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"godwitcart/internal/apierror"
	_ "godwitcart/internal/rapidseed"
	"godwitcart/internal/request"
	"godwitcart/internal/wire/enginewire"
)

const attempt = "attempt-1"

func token(index int) enginewire.TokenEvent {
	return enginewire.TokenEvent{AttemptID: attempt, Index: index, Text: "t"}
}

func lastEvent(index int) enginewire.TokenEvent {
	return enginewire.TokenEvent{AttemptID: attempt, Index: index, FinishReason: enginewire.FinishStop}
}

// TestRelayDeliversEachTokenOnceInOrder feeds a relay with repeats and bounded reordering, as
// resumed streams produce them, and compares with the plain sequence.
func TestRelayDeliversEachTokenOnceInOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		total := rapid.IntRange(0, 60).Draw(t, "total")
		start := rapid.IntRange(0, total).Draw(t, "start")
		relay := request.NewRelay(attempt, start)
		var delivered []int
		for !relay.Done() {
			index := rapid.IntRange(max(0, relay.Next()-3), min(total, relay.Next()+3)).Draw(t, "index")
			event := token(index)
			if index == total {
				event = lastEvent(total)
			}
			ready, err := relay.Accept(event, nil)
			require.NoError(t, err)
			for _, next := range ready {
				if next.FinishReason == "" {
					delivered = append(delivered, next.Index)
				}
			}
		}
		require.Len(t, delivered, total-start)
		for i, index := range delivered {
			require.Equal(t, start+i, index)
		}
	})
}

func TestRelayRefusesWhatIsNotItsGeneration(t *testing.T) {
	cases := map[string]enginewire.TokenEvent{
		"another attempt":                 {AttemptID: "attempt-2", Index: 2, Text: "t"},
		"an end before what was sent":     lastEvent(1),
		"an end of another attempt's run": {AttemptID: "attempt-2", Index: 2, FinishReason: enginewire.FinishStop},
	}
	for name, event := range cases {
		t.Run(name, func(t *testing.T) {
			relay := request.NewRelay(attempt, 2)
			ready, err := relay.Accept(event, nil)
			require.Empty(t, ready)
			require.Equal(t, apierror.KindGenerationLost, apierror.KindOf(err))
		})
	}
}

func TestRelayBoundsWhatItHolds(t *testing.T) {
	relay := request.NewRelay(attempt, 0)
	var err error
	for index := 1; err == nil && index < 1<<16; index++ {
		_, err = relay.Accept(token(index), nil)
	}
	require.Equal(t, apierror.KindGenerationLost, apierror.KindOf(err))
}

func TestRelayIgnoresWhatFollowsTheEnd(t *testing.T) {
	relay := request.NewRelay(attempt, 0)
	_, err := relay.Accept(lastEvent(0), nil)
	require.NoError(t, err)
	ready, err := relay.Accept(token(0), nil)
	require.NoError(t, err)
	require.Empty(t, ready)
	require.True(t, relay.Done())
}
