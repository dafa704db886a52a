package service

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"godwitcart/internal/wire/enginewire"
)

func sendCall(t *testing.T, s *Service, attempt string) (recorder *httptest.ResponseRecorder, aborted bool) {
	request := httptest.NewRequestWithContext(t.Context(), http.MethodPut, "/cards/7", strings.NewReader("body "+attempt))
	request.Header.Set(enginewire.HeaderAttempt, attempt)
	recorder = httptest.NewRecorder()
	defer func() { aborted = recover() != nil }()
	s.Handler().ServeHTTP(recorder, request)
	return recorder, false
}

func checkHealth(s *Service) int {
	recorder := httptest.NewRecorder()
	s.Handler().ServeHTTP(recorder, httptest.NewRequest(http.MethodGet, healthPath, nil))
	return recorder.Code
}

func TestCallIsEchoedAndRecorded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := New(Options{Name: "cardstat-1"})
		answer, _ := sendCall(t, s, "a1")
		require.Equal(t, "body a1", answer.Body.String())
		require.Equal(t, "/cards/7", answer.Header().Get("Echo-Path"))
		record := s.Activity().Calls[0]
		require.Equal(t, "a1", record.AttemptID)
		require.Equal(t, "body a1", record.BodyHead)
		require.True(t, record.Ended)
	})
}

func TestConcurrencyLimitAndDrain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := New(Options{Concurrency: 1, Latency: time.Second})
		var group sync.WaitGroup
		group.Go(func() {
			answer, _ := sendCall(t, s, "runs")
			require.Equal(t, http.StatusOK, answer.Code)
		})
		synctest.Wait()
		answer, _ := sendCall(t, s, "full")
		require.Equal(t, string(enginewire.RefusedQueueFull), answer.Header().Get(enginewire.HeaderRefused))
		require.Equal(t, http.StatusOK, checkHealth(s))
		s.Drain()
		require.Equal(t, http.StatusServiceUnavailable, checkHealth(s))
		group.Wait()
		answer, _ = sendCall(t, s, "late")
		require.Equal(t, string(enginewire.RefusedLeaving), answer.Header().Get(enginewire.HeaderRefused))
		require.Equal(t, enginewire.RefusedLeaving, s.Activity().Calls[2].Refused)
	})
}

func TestFaults(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := New(Options{})
		s.SetFaults(Faults{LoseAnswers: 1})
		_, aborted := sendCall(t, s, "lost")
		require.True(t, aborted)
		require.True(t, s.Activity().Calls[0].Ended, "the call ran although its response was lost")
		s.SetFaults(Faults{Stall: true})
		time.AfterFunc(time.Minute, func() { s.SetFaults(Faults{}) })
		started := time.Now()
		answer, _ := sendCall(t, s, "stalled")
		require.Equal(t, http.StatusOK, answer.Code)
		require.Equal(t, time.Minute+DefaultLatency, time.Since(started))
	})
}
