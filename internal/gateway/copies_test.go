package gateway_test

import (
	"encoding/json"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"godwitcart/internal/claim"
	"godwitcart/internal/stand/engine"
	"godwitcart/internal/wire/enginewire"
)

const nonIdempotentBody = `{"model":"letter","prompt":"len=40 renewal","stream":true}`

func callWithKey(entryVM int, body string) call {
	return call{entryVM: entryVM, path: "/v1/completions", body: body, header: map[string]string{"Idempotency-Key": "k-1"}}
}

// A non-idempotent request is repeated through another entry VM while its stream is still being read. Both callers
// must receive the same complete generation, and it must run once.
func TestDuplicateOnAnotherVMJoinsRunningGeneration(t *testing.T) {
	h := newHarness(t)
	first := h.do(callWithKey(0, nonIdempotentBody))
	head := readEvents(t, first.Body, 3)
	second := readEvents(t, h.do(callWithKey(1, nonIdempotentBody)).Body, 1000)
	rest := readEvents(t, first.Body, 1000)
	require.Equal(t,
		requireCompleteGeneration(t, joinTokens(t, append(head, rest...)), 40),
		requireCompleteGeneration(t, joinTokens(t, second), 40))
	require.Len(t, h.engineAttempts(), 1)
}

// The first caller is disconnected during the stream; the duplicate must receive the whole generation.
func TestDuplicateAfterDisconnectReceivesWholeGeneration(t *testing.T) {
	h := newHarness(t)
	first := h.do(callWithKey(0, nonIdempotentBody))
	readEvents(t, first.Body, 3)
	h.entryVMs[0].CloseClientConnections()
	requireCompleteGeneration(t, joinTokens(t, readEvents(t, h.do(callWithKey(1, nonIdempotentBody)).Body, 1000)), 40)
	require.Len(t, h.engineAttempts(), 1)
}

// A duplicate reads an existing response, so it must not queue for target capacity on an entry VM where all targets
// are full.
func TestDuplicateNeedsNoTargetCapacity(t *testing.T) {
	h := newHarness(t)
	readEvents(t, h.do(callWithKey(0, nonIdempotentBody)).Body, 1000)
	h.full[1].Store(true)
	requireCompleteGeneration(t, joinTokens(t, readEvents(t, h.do(callWithKey(1, nonIdempotentBody)).Body, 1000)), 40)
	require.Len(t, h.engineAttempts(), 1)
	plain := call{path: "/services/counter-api/margin", body: "check", header: map[string]string{"Idempotency-Key": "m-1"}}
	require.Equal(t, http.StatusOK, h.do(plain).StatusCode)
	plain.entryVM = 1
	requireError(t, h.do(plain), http.StatusConflict, "conflict")
}

// The deadline of the first request passes during the stream. A duplicate that joined its attempt must still receive
// the whole generation.
func TestDeadlineOfOneDuplicateDoesNotAffectTheOther(t *testing.T) {
	h := newHarness(t)
	body := `{"model":"letter","prompt":"len=1500 renewal","stream":true}`
	shortDeadline := callWithKey(0, body)
	shortDeadline.header["Godwitcart-Deadline-Ms"] = "1000"
	first := h.do(shortDeadline)
	readEvents(t, first.Body, 3)
	second := h.do(callWithKey(1, body))
	events := readEvents(t, first.Body, 5000)
	require.Equal(t, "error", events[len(events)-1].name)
	requireCompleteGeneration(t, joinTokens(t, readEvents(t, second.Body, 5000)), 1500)
	require.Len(t, h.engineAttempts(), 1)
}

func TestDuplicateOfCompletedRequestReceivesSameResponse(t *testing.T) {
	h := newHarness(t)
	body := `{"model":"letter","prompt":"len=6 renewal"}`
	var answers [2]struct {
		Choices []struct{ Text string }
	}
	for entryVM := range answers {
		response := h.do(callWithKey(entryVM, body))
		require.Equal(t, http.StatusOK, response.StatusCode)
		require.NoError(t, json.NewDecoder(response.Body).Decode(&answers[entryVM]))
	}
	require.Equal(t, answers[0], answers[1])
	require.Len(t, h.engineAttempts(), 1)
}

func requireError(t *testing.T, response *http.Response, status int, kind string) {
	t.Helper()
	var body struct {
		Error struct{ Type, Remedy string }
	}
	require.NoError(t, json.NewDecoder(response.Body).Decode(&body))
	require.Equal(t, status, response.StatusCode)
	require.Equal(t, kind, body.Error.Type)
	require.NotEmpty(t, body.Error.Remedy)
}

func TestIdempotencyKeyReusedForOtherContentIsRejected(t *testing.T) {
	h := newHarness(t)
	readEvents(t, h.do(callWithKey(0, nonIdempotentBody)).Body, 1000)
	requireError(t, h.do(callWithKey(1, `{"model":"letter","prompt":"another"}`)), http.StatusConflict, "conflict")
	require.Len(t, h.engineAttempts(), 1)
}

// TestDuplicateIsNotReportedAsNotRunDuringPlatformOutage: while claims cannot be read, it is unknown whether an earlier
// duplicate ran, so the error must not be "not run". No attempt must be started, and the error must have a Retry-After.
// After the outage the duplicate must receive the first response.
func TestDuplicateIsNotReportedAsNotRunDuringPlatformOutage(t *testing.T) {
	h := newHarness(t)
	readEvents(t, h.do(callWithKey(0, nonIdempotentBody)).Body, 1000)
	h.store.SetOutage(true)
	response := h.do(callWithKey(1, nonIdempotentBody))
	requireError(t, response, http.StatusServiceUnavailable, "unavailable")
	require.NotEmpty(t, response.Header.Get("Retry-After"))
	require.Len(t, h.engineAttempts(), 1)
	h.store.SetOutage(false)
	require.Eventually(t, func() bool { return h.do(callWithKey(1, nonIdempotentBody)).StatusCode == http.StatusOK }, eventuallyTimeout, pollInterval)
	require.Len(t, h.engineAttempts(), 1)
}

// Another VM claims the request and releases the claim without sending the attempt. A duplicate that arrives in
// between must wait and then run.
func TestDuplicateWaitsForClaimWithoutSentAttempt(t *testing.T) {
	h := newHarness(t)
	record := claim.Record{
		Key: claim.Key("acme", "k-1"), Digest: digestOf(nonIdempotentBody), AttemptID: "other", Target: "engine-a", State: claim.StateClaimed,
	}
	_, claimed, err := h.claimManagers[0].Claim(t.Context(), record)
	require.NoError(t, err)
	require.True(t, claimed)
	received := make(chan []event)
	go func() { received <- readEvents(t, h.do(callWithKey(1, nonIdempotentBody)).Body, 1000) }()
	require.Eventually(t, func() bool { return h.gateways[1].Active() == 1 }, eventuallyTimeout, pollInterval)
	h.claimManagers[0].Release(record.Key, record.AttemptID)
	requireCompleteGeneration(t, joinTokens(t, <-received), 40)
	require.Len(t, h.engineAttempts(), 1)
}

// After all targets refused a request, a duplicate must be able to run.
func TestRefusalByAllTargetsReleasesClaim(t *testing.T) {
	h := newHarness(t)
	for _, standIn := range h.engines {
		standIn.SetFaults(engine.Faults{Refuse: enginewire.RefusedLeaving})
	}
	requireError(t, h.do(callWithKey(0, nonIdempotentBody)), http.StatusServiceUnavailable, "overloaded")
	for _, standIn := range h.engines {
		standIn.SetFaults(engine.Faults{})
	}
	require.Eventually(t, func() bool { return h.do(callWithKey(1, nonIdempotentBody)).StatusCode == http.StatusOK }, eventuallyTimeout, pollInterval)
}

// The response of a plain call is not stored, so a duplicate of a non-idempotent call is answered with an error.
func TestDuplicatePlainCallIsRejected(t *testing.T) {
	h := newHarness(t)
	c := call{path: "/services/counter-api/margin", body: "check", header: map[string]string{"Idempotency-Key": "m-1"}}
	require.Equal(t, http.StatusOK, h.do(c).StatusCode)
	c.entryVM = 1
	require.Contains(t, []int{http.StatusConflict, http.StatusBadGateway}, h.do(c).StatusCode)
	require.Len(t, h.service.Activity().Calls, 1)
}
