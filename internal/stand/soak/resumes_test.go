package soak

import (
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestLostResumedStreamsAreDetected checks when too few of the streams that callers resume go on.
func TestLostResumedStreamsAreDetected(t *testing.T) {
	cases := map[string]struct {
		resumed, continued, sameVersionTargets int
		faults                                 []fault
		violated                               bool
	}{
		"all go on":             {20, 20, 2, nil, false},
		"half go on":            {20, 10, 2, nil, false},
		"few go on":             {20, 9, 2, nil, true},
		"too few to tell":       {11, 0, 2, nil, false},
		"one target is left":    {20, 0, 1, nil, false},
		"at a VM that was away": {20, 0, 2, []fault{{"vm_kill", "vm-1", at(8), at(9)}}, false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			h := &harness{faults: c.faults}
			served := func(vm, first string, ok bool) *call {
				made := &call{kind: "check", vm: vm, firstAttempt: first, sameVersionTargets: c.sameVersionTargets, sentAt: at(10), endedAt: at(11)}
				if ok {
					made.fromTarget, made.status, made.events = true, http.StatusOK, 1
				}
				return made
			}
			for range 20 {
				h.calls = append(h.calls, served("vm-2", "", true))
			}
			for i := range c.resumed {
				h.calls = append(h.calls, served("vm-1", "a", i < c.continued))
			}
			h.checkResumes()
			require.Equal(t, c.violated, len(h.violations) > 0)
		})
	}
}
