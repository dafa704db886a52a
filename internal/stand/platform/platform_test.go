package platform

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"godwitcart/internal/wire/platformwire"
)

func sendRequest(t *testing.T, p *Platform, method, path, body string) (int, []byte) {
	t.Helper()
	request := httptest.NewRequestWithContext(t.Context(), method, path, strings.NewReader(body))
	recorder := httptest.NewRecorder()
	aborted := true
	func() {
		defer func() { _ = recover() }() // http.ErrAbortHandler
		p.Handler().ServeHTTP(recorder, request)
		aborted = false
	}()
	if aborted {
		return 0, nil
	}
	return recorder.Code, recorder.Body.Bytes()
}

func decode[T any](t *testing.T, data []byte) T {
	t.Helper()
	var value T
	require.NoError(t, json.Unmarshal(data, &value))
	return value
}

const createBody = `{"value":"YQ==","expected_version":0}`

func TestConditionalUpdates(t *testing.T) {
	p := New(Options{})
	status, _ := sendRequest(t, p, http.MethodPut, "/v1/objects/claims/1", createBody)
	require.Equal(t, http.StatusOK, status)
	status, body := sendRequest(t, p, http.MethodPut, "/v1/objects/claims/1", createBody)
	require.Equal(t, http.StatusConflict, status)
	require.EqualValues(t, 1, decode[platformwire.ErrorResponse](t, body).Current.Version)
	status, _ = sendRequest(t, p, http.MethodPut, "/v1/objects/claims/1", `{"value":"Yg==","expected_version":1}`)
	require.Equal(t, http.StatusOK, status)
	status, _ = sendRequest(t, p, http.MethodDelete, "/v1/objects/claims/1?expected_version=1", "")
	require.Equal(t, http.StatusConflict, status)
	status, _ = sendRequest(t, p, http.MethodDelete, "/v1/objects/claims/1?expected_version=2", "")
	require.Equal(t, http.StatusOK, status)
	status, _ = sendRequest(t, p, http.MethodGet, "/v1/objects/claims/1", "")
	require.Equal(t, http.StatusNotFound, status)

	_, body = sendRequest(t, p, http.MethodGet, "/v1/watch?prefix=claims/&after=0&wait_millis=0", "")
	changes := decode[platformwire.WatchResponse](t, body)
	require.Len(t, changes.Events, 3)
	require.True(t, changes.Events[2].Deleted)
	require.EqualValues(t, 3, changes.Revision)
}

func TestWatchIgnoresOtherPrefixes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := New(Options{})
		time.AfterFunc(time.Second, func() { p.objects.put("other", nil, 0) })
		time.AfterFunc(2*time.Second, func() { p.objects.put("mine/1", nil, 0) })
		started := time.Now()
		_, body := sendRequest(t, p, http.MethodGet, "/v1/watch?prefix=mine/&after=0&wait_millis=5000", "")
		require.Len(t, decode[platformwire.WatchResponse](t, body).Events, 1)
		require.Equal(t, 2*time.Second, time.Since(started))
		_, body = sendRequest(t, p, http.MethodGet, "/v1/watch?prefix=mine/&after=2&wait_millis=5000", "")
		require.Empty(t, decode[platformwire.WatchResponse](t, body).Events)
		require.Equal(t, 7*time.Second, time.Since(started))
	})
}

func TestWatchReportsCompaction(t *testing.T) {
	p := New(Options{})
	for range maxEvents + 1 {
		object := p.objects.get("key")
		p.objects.put("key", nil, object.Version)
	}
	_, body := sendRequest(t, p, http.MethodGet, "/v1/watch?prefix=&after=1&wait_millis=0", "")
	require.True(t, decode[platformwire.WatchResponse](t, body).Compacted)
}

func TestRateLimits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := New(Options{WritesPerSecond: 8, WeightsPerSecond: 1})
		accepted := 0
		for range 10 {
			if status, _ := sendRequest(t, p, http.MethodPut, "/v1/objects/k", createBody); status != http.StatusTooManyRequests {
				accepted++
			}
		}
		require.Equal(t, 2, accepted)
		time.Sleep(time.Second)
		status, _ := sendRequest(t, p, http.MethodPost, "/v1/weights", `{"model":"m"}`)
		require.Equal(t, http.StatusOK, status)
		status, body := sendRequest(t, p, http.MethodPost, "/v1/weights", `{"model":"m"}`)
		require.Equal(t, http.StatusTooManyRequests, status)
		require.Positive(t, decode[platformwire.ErrorResponse](t, body).RetryAfterMillis)
		require.EqualValues(t, 9, p.CallCounts().Limited)
	})
}

func TestFaults(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := New(Options{})
		p.SetFaults(Faults{LoseAnswers: 1})
		status, _ := sendRequest(t, p, http.MethodPut, "/v1/objects/lost", createBody)
		require.Zero(t, status, "the response was dropped")
		require.EqualValues(t, 1, p.objects.get("lost").Version, "the write was applied")
		p.SetFaults(Faults{Outage: true})
		status, _ = sendRequest(t, p, http.MethodPut, "/v1/objects/lost", createBody)
		require.Equal(t, http.StatusServiceUnavailable, status)
		p.SetFaults(Faults{Freeze: true, DelayMillis: 500})
		time.AfterFunc(time.Minute, func() { p.SetFaults(Faults{}) })
		started := time.Now()
		status, _ = sendRequest(t, p, http.MethodGet, "/v1/objects/lost", "")
		require.Equal(t, http.StatusOK, status)
		require.Equal(t, time.Minute, time.Since(started))
	})
}

func TestVMListLags(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := New(Options{VMs: []platformwire.VM{{Name: "a"}, {Name: "b"}}, VMLag: 10 * time.Second})
		list := func() []platformwire.VM {
			_, body := sendRequest(t, p, http.MethodGet, "/v1/vms", "")
			return decode[platformwire.VMList](t, body).VMs
		}
		p.MarkLeaving("a")
		time.Sleep(5 * time.Second)
		p.RemoveVM("b")
		p.PutVM(platformwire.VM{Name: "c"})
		require.Equal(t, []platformwire.VM{{Name: "a"}, {Name: "b"}}, list())
		time.Sleep(6 * time.Second)
		require.Equal(t, []platformwire.VM{{Name: "a", Leaving: true}, {Name: "b"}}, list())
		time.Sleep(6 * time.Second)
		require.Equal(t, []platformwire.VM{{Name: "a", Leaving: true}, {Name: "c"}}, list())
	})
}

func TestAddressOverridesApplyToVMList(t *testing.T) {
	p := New(Options{VMs: []platformwire.VM{{Name: "a", Address: "x:1"}, {Name: "b", Address: "x:2", PeerAddress: "x:3"}}})
	overrides := AddressOverrides{"a": {Address: "y:1"}, "b": {PeerAddress: "y:3"}}
	recorder := httptest.NewRecorder()
	p.HandlerWithOverrides(overrides).ServeHTTP(recorder, httptest.NewRequest(http.MethodGet, "/v1/vms", nil))
	seen := decode[platformwire.VMList](t, recorder.Body.Bytes()).VMs
	require.Equal(t, []platformwire.VM{{Name: "a", Address: "y:1"}, {Name: "b", Address: "x:2", PeerAddress: "y:3"}}, seen)
}
