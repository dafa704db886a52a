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

// TestRequestsThatCrashEnginesAreDetected checks which requests count as sent in spite of the crashes of engines, and
// which refusals count as refusals of sound ones.
func TestRequestsThatCrashEnginesAreDetected(t *testing.T) {
	cases := map[string]struct {
		cause                       crashCause
		crashes, sent, soundRefused int
		later                       time.Duration
		faults                      []fault
		violated                    string
	}{
		"soon":                     {partCause, 5, 9, 0, time.Second, nil, ""},
		"late":                     {partCause, 5, 4, 0, 4 * time.Second, nil, "crashing_requests_sent"},
		"late, few":                {partCause, 5, 3, 0, 4 * time.Second, nil, ""},
		"four crashes":             {partCause, 4, 9, 0, 4 * time.Second, nil, ""},
		"late, the VM was frozen":  {partCause, 5, 9, 0, 4 * time.Second, []fault{{kind: "vm_freeze", subject: "vm-1"}}, ""},
		"sound requests refused":   {partCause, 3, 0, 5, 4 * time.Second, nil, "sound_requests_refused"},
		"request, three crashes":   {peekCause, 3, 4, 0, 4 * time.Second, nil, "crashing_requests_sent"},
		"request, late, few":       {checkCause, 3, 3, 0, 4 * time.Second, nil, ""},
		"few of them, or too soon": {partCause, 3, 0, 5, time.Second, nil, ""},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				h := &harness{Deployment: platformtest.NewDeployment(), crashes: make(map[crashCause][]time.Time)}
				target := h.Add("t-1", "127.0.0.1:1", platformtest.EngineService, "zone")
				for _, f := range c.faults {
					f.from = time.Now()
					h.faults = append(h.faults, f)
				}
				for range c.crashes {
					h.crashes[c.cause] = append(h.crashes[c.cause], time.Now())
				}
				time.Sleep(c.later)
				for i := range 10 {
					h.calls = append(h.calls, &call{id: fmt.Sprint("sound-", i), kind: "check", vm: "vm-1", sentAt: time.Now(), refusedAsCrashing: i < c.soundRefused})
				}
				for i := range c.sent {
					sent := &call{id: fmt.Sprint("bad-", i), kind: "check", vm: "vm-1", sentAt: time.Now(), crashCause: c.cause}
					h.calls = append(h.calls, sent)
					request := httptest.NewRequest(http.MethodPost, "/checks/1", nil)
					platformtest.SetCallerHeaders(request, sent.id, "key", time.Second)
					target.ServeHTTP(httptest.NewRecorder(), request)
				}
				h.checkCrashes()
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
