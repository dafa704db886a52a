package request_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"godwitcart/internal/request"
)

func TestMayRetry(t *testing.T) {
	cases := []struct {
		name          string
		state         request.AttemptState
		nonIdempotent bool
		delivered     int
		want          bool
	}{
		{"refused, may run once", request.AttemptRefused, true, 0, true},
		{"not sent, may run once", request.AttemptNotSent, true, 0, true},
		{"unknown, may run once", request.AttemptUnknown, true, 0, false},
		{"running, may run once", request.AttemptRunning, true, 0, false},
		{"unknown, idempotent", request.AttemptUnknown, false, 0, true},
		{"unknown, idempotent, a token delivered", request.AttemptUnknown, false, 1, false},
		{"refused, a token delivered", request.AttemptRefused, false, 1, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			require.Equal(t, c.want, request.MayRetry(c.state, c.nonIdempotent, c.delivered))
		})
	}
}

var allStates = []request.State{
	request.StateWaiting, request.StateDispatched, request.StateStreaming, request.StatePreempted,
	request.StateAnswered, request.StateRefused, request.StateFailed, request.StateCanceled,
}

// Applies random transitions to a record and checks the invariants of the state machine.
func TestRecordRejectsTransitionsFromFinalStates(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		registry := request.NewRegistry()
		record := registry.Register(&request.Request{ID: "r"}, func(string) {})
		dispatched := false
		for range 20 {
			before := record.State()
			next := rapid.SampledFrom(allStates).Draw(t, "next")
			err := record.Transition(request.Step{At: time.Now(), State: next})
			if before.Final() {
				require.Error(t, err)
			}
			if err != nil {
				require.Equal(t, before, record.State())
				continue
			}
			dispatched = dispatched || next == request.StateDispatched
			if next == request.StateStreaming {
				require.True(t, dispatched)
			}
		}
		snapshot, found := registry.Find("r")
		require.True(t, found)
		require.Equal(t, record.State(), snapshot.State)
		require.Equal(t, snapshot.State.Final(), registry.Active() == 0)
	})
}

func TestRegistryCancelsOnlyActiveRequests(t *testing.T) {
	registry := request.NewRegistry()
	var cancelReason string
	record := registry.Register(&request.Request{ID: "r"}, func(reason string) { cancelReason = reason })
	require.True(t, registry.Cancel("r", "operator"))
	require.Equal(t, "operator", cancelReason)
	require.NoError(t, record.Transition(request.Step{State: request.StateCanceled}))
	require.False(t, registry.Cancel("r", "again"))
	require.Len(t, registry.Snapshots(), 1)
}
