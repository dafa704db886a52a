package soak

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"godwitcart/internal/stand/rig"
	"godwitcart/platform/platformtest"
)

// TestIgnoredStatementsAreDetected checks which requests count as sent in spite of a target's statement.
func TestIgnoredStatementsAreDetected(t *testing.T) {
	freeze := func(now time.Time) []fault { return []fault{{kind: "vm_freeze", subject: "vm-1", from: now}} }
	cases := map[string]struct {
		statement func(target *platformtest.Target)
		// later is when more requests are sent, from the answer with the statement, and by which VM.
		later    time.Duration
		vm       string
		fault    func(now time.Time) []fault
		violated string
	}{
		"leaving, used soon":          {func(target *platformtest.Target) { target.SetLeaving(true) }, time.Second, "vm-1", nil, ""},
		"leaving, used late":          {func(target *platformtest.Target) { target.SetLeaving(true) }, 3 * time.Second, "vm-1", nil, "leaving_target_used"},
		"leaving, used by another VM": {func(target *platformtest.Target) { target.SetLeaving(true) }, 3 * time.Second, "vm-2", nil, ""},
		"leaving, the VM was frozen":  {func(target *platformtest.Target) { target.SetLeaving(true) }, 3 * time.Second, "vm-1", freeze, ""},
		"pause, requests at once":     {func(target *platformtest.Target) { target.SetRetryAfter("3") }, 100 * time.Millisecond, "vm-1", nil, ""},
		"pause ignored":               {func(target *platformtest.Target) { target.SetRetryAfter("3") }, time.Second, "vm-1", nil, "pause_ignored"},
		"pause of another VM":         {func(target *platformtest.Target) { target.SetRetryAfter("3") }, time.Second, "vm-2", nil, ""},
		"pause ignored through it":    {func(target *platformtest.Target) { target.SetRetryAfter("3") }, time.Second, "vm-2 through vm-1", nil, "pause_ignored"},
		"carrier was frozen":          {func(target *platformtest.Target) { target.SetRetryAfter("3") }, time.Second, "vm-2 through vm-1", freeze, ""},
		"pause over":                  {func(target *platformtest.Target) { target.SetRetryAfter("3") }, 3100 * time.Millisecond, "vm-1", nil, ""},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				h := &harness{Deployment: platformtest.NewDeployment(), vms: []*vm{
					{Program: &rig.Program{Name: "vm-1"}, address: "127.0.0.1"}, {Program: &rig.Program{Name: "vm-2"}, address: "127.0.0.2"},
				}}
				target := h.Add("t-1", "127.0.0.1:1", platformtest.PlainService, "zone")
				if c.fault != nil {
					h.faults = c.fault(time.Now())
				}
				send := func(sender string) {
					vm, through, relayed := strings.Cut(sender, " through ")
					if !relayed {
						through = vm
					}
					id := fmt.Sprint(len(h.calls))
					request := httptest.NewRequest(http.MethodPost, "/lookup/1", nil)
					platformtest.SetCallerHeaders(request, id, "key", time.Second)
					request.Header.Set("X-Expect-Instance", "t-1")
					request.RemoteAddr = strings.Replace(through, "vm-", "127.0.0.", 1) + ":1"
					answer := httptest.NewRecorder()
					sentAt := time.Now()
					target.ServeHTTP(answer, request)
					h.calls = append(h.calls, &call{id: id, vm: vm, sentAt: sentAt, endedAt: time.Now(), fromTarget: answer.Code == http.StatusOK, complete: true})
				}
				c.statement(target)
				send("vm-1")
				time.Sleep(c.later)
				target.SetRetryAfter("") // only the first request is turned away
				for range 3 {
					send(c.vm)
				}
				h.checkStatements()
				names := make(map[string]bool)
				for _, violation := range h.violations {
					names[violation.Guarantee] = true
				}
				if c.violated == "" {
					require.Empty(t, names)
				} else {
					require.Equal(t, map[string]bool{c.violated: true}, names)
				}
			})
		})
	}
}
