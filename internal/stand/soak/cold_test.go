package soak

import (
	"fmt"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"godwitcart/internal/stand/rig"
	"godwitcart/platform/platformtest"
)

// TestOverrunOfColdTargetIsDetected checks which requests count against the bound on a cold engine.
func TestOverrunOfColdTargetIsDetected(t *testing.T) {
	const allowed = int(coldPerSecond*coldOverage + coldSlack)
	freeze := []fault{{kind: "vm_freeze", subject: "vm-1"}}
	cases := map[string]struct {
		requests int
		after    time.Duration
		again    bool
		instance string
		faults   []fault
		found    int
	}{
		"as many as the bound":           {requests: allowed, instance: "t-1"},
		"one more":                       {requests: allowed + 1, instance: "t-1", found: 1},
		"one more by a frozen VM":        {requests: allowed + 1, instance: "t-1", faults: freeze, found: 1},
		"meant for another target":       {requests: allowed + 1, instance: "t-0"},
		"when it is warm":                {requests: allowed + 1, instance: "t-1", after: coldAgainTime},
		"cold again, before the word":    {requests: allowed + 1, instance: "t-1", again: true},
		"cold again, after the word":     {requests: allowed + 1, instance: "t-1", again: true, after: time.Second, found: 1},
		"cold again, by a frozen VM":     {requests: allowed + 1, instance: "t-1", again: true, after: time.Second, faults: freeze},
		"cold again, the store was down": {requests: allowed + 1, instance: "t-1", again: true, after: time.Second, faults: []fault{{kind: "store_down", subject: storeSubject}}},
		"held back on the way":           {requests: allowed + 1, instance: "t-1", faults: []fault{{kind: "target_stall", subject: "t-1"}}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				h := &harness{options: Options{Slack: 800 * time.Millisecond}, vms: []*vm{{Program: &rig.Program{Name: "vm-1"}, address: "127.0.0.1"}}, faults: c.faults}
				for i := range h.faults {
					h.faults[i].from = time.Now()
				}
				target := platformtest.NewTarget("t-1", "127.0.0.1:1", platformtest.NewCluster())
				h.beginCold(target, coldAgainTime, c.again)
				time.Sleep(c.after)
				for i := range c.requests {
					request := httptest.NewRequest("POST", "/lookup/1", nil)
					platformtest.SetCallerHeaders(request, fmt.Sprint(i), "key", time.Second)
					request.Header.Set("X-Expect-Instance", c.instance)
					request.RemoteAddr = "127.0.0.1:1"
					target.ServeHTTP(httptest.NewRecorder(), request)
					h.calls = append(h.calls, &call{id: fmt.Sprint(i), vm: "vm-1"})
				}
				h.checkCold()
				require.Len(t, h.violations, c.found)
			})
		})
	}
}
