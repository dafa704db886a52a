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

// TestSequencerDeliversEachTokenOnceInOrder passes events with duplicates and bounded reordering, as resumed streams
// produce them, to a sequencer. Each token must be returned once and in order.
func TestSequencerDeliversEachTokenOnceInOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		total := rapid.IntRange(0, 60).Draw(t, "total")
		start := rapid.IntRange(0, total).Draw(t, "start")
		sequencer := request.NewSequencer(attempt, start)
		var delivered []int
		for !sequencer.Done() {
			index := rapid.IntRange(max(0, sequencer.Next()-3), min(total, sequencer.Next()+3)).Draw(t, "index")
			event := token(index)
			if index == total {
				event = lastEvent(total)
			}
			ready, err := sequencer.Accept(event, nil)
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

func TestSequencerRejectsEventsOfAnotherGeneration(t *testing.T) {
	cases := map[string]enginewire.TokenEvent{
		"another attempt":                            {AttemptID: "attempt-2", Index: 2, Text: "t"},
		"last event before tokens that were sent":    lastEvent(1),
		"last event of another attempt's generation": {AttemptID: "attempt-2", Index: 2, FinishReason: enginewire.FinishStop},
		"last event with a text":                     {AttemptID: attempt, Index: 2, Text: "t", FinishReason: enginewire.FinishStop},
		"last event for an unknown reason":           {AttemptID: attempt, Index: 2, FinishReason: "error"},
	}
	for name, event := range cases {
		t.Run(name, func(t *testing.T) {
			sequencer := request.NewSequencer(attempt, 2)
			ready, err := sequencer.Accept(event, nil)
			require.Empty(t, ready)
			require.Equal(t, apierror.KindGenerationLost, apierror.KindOf(err))
		})
	}
}

// The last event names an end before a token that arrives earlier or later.
func TestSequencerEndsBeforeTokenThatArrived(t *testing.T) {
	for name, events := range map[string][]enginewire.TokenEvent{
		"token first":    {token(1), lastEvent(0)},
		"buffered last":  {lastEvent(1), token(2), token(0)},
		"buffered token": {token(2), lastEvent(1), token(0)},
	} {
		t.Run(name, func(t *testing.T) {
			sequencer := request.NewSequencer(attempt, 0)
			var err error
			for _, event := range events {
				if _, err = sequencer.Accept(event, nil); err != nil {
					break
				}
			}
			require.Equal(t, apierror.KindGenerationLost, apierror.KindOf(err))
			require.False(t, sequencer.Done())
		})
	}
}

func TestSequencerBoundsBufferedEvents(t *testing.T) {
	sequencer := request.NewSequencer(attempt, 0)
	var err error
	for index := 1; err == nil && index < 1<<16; index++ {
		_, err = sequencer.Accept(token(index), nil)
	}
	require.Equal(t, apierror.KindGenerationLost, apierror.KindOf(err))
}

func TestSequencerIgnoresEventsAfterTheLast(t *testing.T) {
	sequencer := request.NewSequencer(attempt, 0)
	_, err := sequencer.Accept(lastEvent(0), nil)
	require.NoError(t, err)
	ready, err := sequencer.Accept(token(0), nil)
	require.NoError(t, err)
	require.Empty(t, ready)
	require.True(t, sequencer.Done())
}
