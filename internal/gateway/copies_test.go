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

const letterBody = `{"model":"letter","prompt":"len=40 renewal","stream":true}`

func keyed(entry int, body string) call {
	return call{entry: entry, path: "/v1/completions", body: body, header: map[string]string{"Idempotency-Key": "k-1"}}
}

// TestCopyThroughAnotherVMJoinsTheRunningAnswer repeats a letter through another entry VM while the
// first is still read: both callers get the same whole generation and it runs once.
func TestCopyThroughAnotherVMJoinsTheRunningAnswer(t *testing.T) {
	h := newHarness(t)
	first := h.do(keyed(0, letterBody))
	head := readEvents(t, first.Body, 3)
	second := readEvents(t, h.do(keyed(1, letterBody)).Body, 1000)
	rest := readEvents(t, first.Body, 1000)
	require.Equal(t,
		requireWhole(t, joinTokens(t, append(head, rest...)), 40),
		requireWhole(t, joinTokens(t, second), 40))
	require.Len(t, h.ran(), 1)
}

// TestCopyAfterTheCallerLostItsVM cuts the first caller off; its repeat gets the whole answer.
func TestCopyAfterTheCallerLostItsVM(t *testing.T) {
	h := newHarness(t)
	first := h.do(keyed(0, letterBody))
	readEvents(t, first.Body, 3)
	h.entries[0].CloseClientConnections()
	requireWhole(t, joinTokens(t, readEvents(t, h.do(keyed(1, letterBody)).Body, 1000)), 40)
	require.Len(t, h.ran(), 1)
}

// TestCopyNeedsNoRoom: a copy reads an answer that exists, so it does not wait in the queue of an entry VM
// that has no target with room.
func TestCopyNeedsNoRoom(t *testing.T) {
	h := newHarness(t)
	readEvents(t, h.do(keyed(0, letterBody)).Body, 1000)
	h.full[1].Store(true)
	requireWhole(t, joinTokens(t, readEvents(t, h.do(keyed(1, letterBody)).Body, 1000)), 40)
	require.Len(t, h.ran(), 1)
	plain := call{path: "/services/counter-api/margin", body: "check", header: map[string]string{"Idempotency-Key": "m-1"}}
	require.Equal(t, http.StatusOK, h.do(plain).StatusCode)
	plain.entry = 1
	requireError(t, h.do(plain), http.StatusConflict, "conflict")
}

// TestDeadlineOfOneCopyLeavesTheOther gives the first copy a deadline that passes in the middle: the second,
// which joined its attempt, gets the whole answer.
func TestDeadlineOfOneCopyLeavesTheOther(t *testing.T) {
	h := newHarness(t)
	long := `{"model":"letter","prompt":"len=1500 renewal","stream":true}`
	hasty := keyed(0, long)
	hasty.header["Godwitcart-Deadline-Ms"] = "1000"
	first := h.do(hasty)
	readEvents(t, first.Body, 3)
	second := h.do(keyed(1, long))
	events := readEvents(t, first.Body, 5000)
	require.Equal(t, "error", events[len(events)-1].name)
	requireWhole(t, joinTokens(t, readEvents(t, second.Body, 5000)), 1500)
	require.Len(t, h.ran(), 1)
}

func TestCopyOfAnEndedRequestGetsItsAnswer(t *testing.T) {
	h := newHarness(t)
	whole := `{"model":"letter","prompt":"len=6 renewal"}`
	var answers [2]struct {
		Choices []struct{ Text string }
	}
	for entry := range answers {
		response := h.do(keyed(entry, whole))
		require.Equal(t, http.StatusOK, response.StatusCode)
		require.NoError(t, json.NewDecoder(response.Body).Decode(&answers[entry]))
	}
	require.Equal(t, answers[0], answers[1])
	require.Len(t, h.ran(), 1)
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

func TestKeyReusedForOtherContentIsRefused(t *testing.T) {
	h := newHarness(t)
	readEvents(t, h.do(keyed(0, letterBody)).Body, 1000)
	requireError(t, h.do(keyed(1, `{"model":"letter","prompt":"another"}`)), http.StatusConflict, "conflict")
	require.Len(t, h.ran(), 1)
}

// TestCopiesAreNotToldNotRunWhileThePlatformIsAway: with the claims out of reach it is not known
// whether an earlier copy ran, so "not run" would be a guess. Nothing new reaches a target, and the
// caller is told when to come back; then it gets the first copy's answer.
func TestCopiesAreNotToldNotRunWhileThePlatformIsAway(t *testing.T) {
	h := newHarness(t)
	readEvents(t, h.do(keyed(0, letterBody)).Body, 1000)
	h.store.SetOutage(true)
	response := h.do(keyed(1, letterBody))
	requireError(t, response, http.StatusServiceUnavailable, "unavailable")
	require.NotEmpty(t, response.Header.Get("Retry-After"))
	require.Len(t, h.ran(), 1)
	h.store.SetOutage(false)
	require.Eventually(t, func() bool { return h.do(keyed(1, letterBody)).StatusCode == http.StatusOK }, patience, poll)
	require.Len(t, h.ran(), 1)
}

// TestCopyWaitsForAClaimWhoseAttemptIsNotSentYet claims a letter on behalf of another VM that then
// gives it up: the copy, which came in between, runs.
func TestCopyWaitsForAClaimWhoseAttemptIsNotSentYet(t *testing.T) {
	h := newHarness(t)
	record := claim.Record{
		Key: claim.Key("acme", "k-1"), Digest: digestOf(letterBody), AttemptID: "other", Target: "engine-a", State: claim.StateClaimed,
	}
	_, won, err := h.books[0].Claim(t.Context(), record)
	require.NoError(t, err)
	require.True(t, won)
	answered := make(chan []event)
	go func() { answered <- readEvents(t, h.do(keyed(1, letterBody)).Body, 1000) }()
	require.Eventually(t, func() bool { return h.gates[1].Active() == 1 }, patience, poll)
	h.books[0].Release(record.Key, record.AttemptID)
	requireWhole(t, joinTokens(t, <-answered), 40)
	require.Len(t, h.ran(), 1)
}

// TestRefusedEverywhereReleasesTheClaim lets a copy run later.
func TestRefusedEverywhereReleasesTheClaim(t *testing.T) {
	h := newHarness(t)
	for _, stand := range h.engines {
		stand.SetFaults(engine.Faults{Refuse: enginewire.RefusedLeaving})
	}
	requireError(t, h.do(keyed(0, letterBody)), http.StatusServiceUnavailable, "overloaded")
	for _, stand := range h.engines {
		stand.SetFaults(engine.Faults{})
	}
	require.Eventually(t, func() bool { return h.do(keyed(1, letterBody)).StatusCode == http.StatusOK }, patience, poll)
}

// TestCopyOfAPlainCallIsTold repeats a call that may run once.
func TestCopyOfAPlainCallIsTold(t *testing.T) {
	h := newHarness(t)
	c := call{path: "/services/counter-api/margin", body: "check", header: map[string]string{"Idempotency-Key": "m-1"}}
	require.Equal(t, http.StatusOK, h.do(c).StatusCode)
	c.entry = 1
	require.Contains(t, []int{http.StatusConflict, http.StatusBadGateway}, h.do(c).StatusCode)
	require.Len(t, h.service.Ran().Calls, 1)
}
