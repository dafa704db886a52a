package soak

import (
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"godwitcart/internal/stand/rig"
	"godwitcart/platform/platformtest"
)

// TestUseOfEvacuatedZoneIsDetected checks which requests count as sent into a zone in evacuation.
func TestUseOfEvacuatedZoneIsDetected(t *testing.T) {
	cases := map[string]struct {
		after  time.Duration
		zone   string
		faults []fault
		found  int
	}{
		"within the bound":                   {time.Second, "zone-a", nil, 0},
		"after the bound":                    {3 * time.Second, "zone-a", nil, 1},
		"another zone":                       {3 * time.Second, "zone-b", nil, 0},
		"after it has ended":                 {10 * time.Second, "zone-a", nil, 0},
		"the VM was frozen":                  {3 * time.Second, "zone-a", []fault{{kind: "vm_freeze", subject: "vm-1"}}, 0},
		"the VM's link to the store was cut": {3 * time.Second, "zone-a", []fault{{kind: "store_cut", subject: "vm-1/store"}}, 0},
		"another VM was frozen":              {3 * time.Second, "zone-a", []fault{{kind: "vm_freeze", subject: "vm-2"}}, 1},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				began := time.Now()
				h := &harness{Deployment: platformtest.NewDeployment(), vms: []*vm{{Program: &rig.Program{Name: "vm-1"}, address: "127.0.0.1"}}, faults: c.faults}
				h.evacuations = []evacuation{{zone: "zone-a", from: began, to: began.Add(6 * time.Second)}}
				for i := range h.faults {
					h.faults[i].from = began
				}
				target := h.Add("t-1", "127.0.0.1:1", platformtest.PlainService, c.zone)
				time.Sleep(c.after)
				request := httptest.NewRequest("POST", "/lookup/1", nil)
				platformtest.SetCallerHeaders(request, "c", "key", time.Second)
				request.RemoteAddr = "127.0.0.1:1"
				target.ServeHTTP(httptest.NewRecorder(), request)
				h.calls = []*call{{id: "c", vm: "vm-1"}}
				h.checkEvacuations()
				require.Len(t, h.violations, c.found)
			})
		})
	}
}
