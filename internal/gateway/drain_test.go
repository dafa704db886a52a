package gateway_test

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestRequestsThatWaitWhenDrainEndsGetNoAnswer guards against requests that wait for a target when the time to drain is over, are
// not passed on, and lose their connections without an answer.
func TestRequestsThatWaitWhenDrainEndsGetNoAnswer(t *testing.T) {
	for name, c := range map[string]call{
		"generation": {body: `{"model":"sheet","prompt":"len=30"}`, path: "/v1/completions"},
		"plain call": {body: "check", path: "/services/counter-api/margin"},
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t)
			h.full[0].Store(true)
			answered := make(chan *http.Response, 1)
			go func() { answered <- h.do(c) }()
			require.Eventually(t, func() bool { return h.gateways[0].Active() == 1 }, 10*time.Second, time.Millisecond)
			ended, cancel := context.WithCancel(t.Context())
			cancel()
			require.Zero(t, h.gateways[0].Drain(ended), "a request would be cut off without an answer")
			requireError(t, <-answered, http.StatusServiceUnavailable, "not_run")
		})
	}
}

// TestGenerationThatRunsWhenDrainEndsIsCutOff guards against an answer "not run" to a request that may have run, when the time to
// drain is over.
func TestGenerationThatRunsWhenDrainEndsIsCutOff(t *testing.T) {
	h := newHarness(t)
	answered := make(chan *http.Response, 1)
	go func() { answered <- h.do(call{body: `{"model":"sheet","prompt":"len=5000"}`, path: "/v1/completions"}) }()
	require.Eventually(t, func() bool { return len(h.engineAttempts()) == 1 }, 10*time.Second, time.Millisecond)
	ended, cancel := context.WithCancel(t.Context())
	cancel()
	require.Zero(t, h.gateways[0].Drain(ended))
	requireError(t, <-answered, http.StatusBadGateway, "outcome_unknown")
}
