package soak

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"godwitcart/platform/platformtest"
)

// TestExceededLimitIsDetected checks which requests count against a target's request limit.
func TestExceededLimitIsDetected(t *testing.T) {
	const perSecond = 2.0
	cases := map[string]struct {
		// gap is the time between two requests, from the moment at which the target names its limit.
		gap      time.Duration
		fault    func(now time.Time) []fault
		violated bool
	}{
		"within the limit": {500 * time.Millisecond, nil, false},
		"over the limit":   {100 * time.Millisecond, nil, true},
		"by a VM that was frozen": {100 * time.Millisecond, func(now time.Time) []fault {
			return []fault{{kind: "vm_freeze", subject: "vm-1", from: now}}
		}, false},
		"at a target that was slow": {100 * time.Millisecond, func(now time.Time) []fault {
			return []fault{{kind: "target_slow", subject: "t-1", from: now}}
		}, false},
		"while the store was down": {100 * time.Millisecond, func(now time.Time) []fault {
			return []fault{{kind: "store_down", subject: storeSubject, from: now}}
		}, true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				h := &harness{}
				if c.fault != nil {
					h.faults = c.fault(time.Now())
				}
				target := platformtest.NewTarget("t-1", "127.0.0.1:1", platformtest.NewCluster())
				from := time.Now()
				for i := 0; time.Since(from) < 10*time.Second; i++ {
					id := fmt.Sprint(i)
					request := httptest.NewRequest(http.MethodPost, "/lookup/1", nil)
					platformtest.SetCallerHeaders(request, id, "key", time.Second)
					target.ServeHTTP(httptest.NewRecorder(), request)
					h.calls = append(h.calls, &call{id: id, vm: "vm-1"})
					time.Sleep(c.gap)
				}
				h.limits = []limitPeriod{{target: target, perSecond: perSecond, from: from, to: time.Now()}}
				h.checkLimits()
				require.Equal(t, c.violated, len(h.violations) > 0)
			})
		})
	}
}
