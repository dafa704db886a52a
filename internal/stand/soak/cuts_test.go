package soak

import (
	"fmt"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"godwitcart/internal/stand/rig"
)

// violated returns the names of the guarantees that were violated.
func (h *harness) violated() map[string]bool {
	names := make(map[string]bool)
	for _, violation := range h.violations {
		names[violation.Guarantee] = true
	}
	return names
}

// TestCutOffVMsThatServeLessAreDetected checks which calls count for VMs that are cut off from all targets.
func TestCutOffVMsThatServeLessAreDetected(t *testing.T) {
	cases := map[string]struct {
		// served is how many of 40 calls are served at the VM that is cut off, sent is when.
		served   int
		sent     float64
		faults   []fault
		violated bool
	}{
		"nobody is served":            {0, 5, nil, true},
		"as at the others":            {40, 5, nil, false},
		"two thirds":                  {28, 5, nil, false},
		"less":                        {24, 5, nil, true},
		"few fail":                    {31, 5, nil, false},
		"soon after the cut":          {0, 1, nil, false},
		"after the cut":               {0, 20, nil, false},
		"the VM was frozen":           {0, 5, []fault{{"vm_freeze", "vm-1", at(4), at(5)}}, false},
		"the others were frozen":      {0, 5, []fault{{"vm_freeze", "vm-2", at(4), at(6)}}, false},
		"the VM is cut off the store": {0, 5, []fault{{"store_cut", "vm-1/store", at(4), at(5)}}, false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			h := &harness{vms: threeVMs(), faults: c.faults, pathCuts: []pathCut{{from: at(0), to: at(10), vms: map[string]bool{"vm-1": true}}}}
			for i := range 40 {
				for vm, served := range map[string]bool{"vm-1": i < c.served, "vm-2": true} {
					status := http.StatusServiceUnavailable
					if served {
						status = http.StatusOK
					}
					h.calls = append(h.calls, &call{id: fmt.Sprint(vm, i), vm: vm, sentAt: at(c.sent), endedAt: at(c.sent + 0.1), status: status, fromTarget: served, complete: true})
				}
			}
			h.checkCuts()
			require.Equal(t, c.violated, h.violated()["cut_off_vms_serve_less"], "%v", h.violations)
		})
	}
}

// threeVMs returns vm-1, vm-2 and vm-3.
func threeVMs() []*vm {
	var vms []*vm
	for i := range 3 {
		vms = append(vms, &vm{Program: &rig.Program{Name: fmt.Sprint("vm-", i+1)}, address: fmt.Sprint("127.0.0.", i+1)})
	}
	return vms
}

// TestCallsWithoutACarrierAreNotJudged checks that a call at a VM that is cut off counts unless all others were down at that
// very time.
func TestCallsWithoutACarrierAreNotJudged(t *testing.T) {
	cut := &pathCut{from: at(0), to: at(10), vms: map[string]bool{"vm-1": true}}
	c := &call{vm: "vm-1", sentAt: at(5), endedAt: at(5.1)}
	for name, test := range map[string]struct {
		faults    []fault
		noCarrier bool
	}{
		"all sound":                       {nil, false},
		"one is frozen":                   {[]fault{{"vm_freeze", "vm-2", at(4), at(6)}}, false},
		"one is frozen, the other stops":  {[]fault{{"vm_freeze", "vm-2", at(4), at(6)}, {"vm_stop", "vm-3", at(3), at(9)}}, true},
		"one was frozen, the other stops": {[]fault{{"vm_freeze", "vm-2", at(3), at(4.9)}, {"vm_stop", "vm-3", at(3), at(9)}}, false},
		"other faults":                    {[]fault{{"vm_reload", "vm-2", at(4), at(6)}, {"vm_stop", "vm-3", at(3), at(9)}}, false},
	} {
		h := &harness{vms: threeVMs(), faults: test.faults}
		require.Equal(t, test.noCarrier, h.hasNoCarrier(cut, c), name)
	}
}

// TestFallsOfBrittleTargetsAreDetected checks which falls count.
func TestFallsOfBrittleTargetsAreDetected(t *testing.T) {
	calls := []*call{
		{id: "calm-1", vm: "vm-1", sentAt: at(5), endedAt: at(5)}, {id: "calm-2", vm: "vm-1", sentAt: at(5), endedAt: at(5)},
		{id: "frozen-1", vm: "vm-2", sentAt: at(5), endedAt: at(5)}, {id: "frozen-2", vm: "vm-2", sentAt: at(5), endedAt: at(5)},
	}
	calm, frozen := []string{"calm-1", "calm-2", "frozen-1"}, []string{"frozen-1", "frozen-2", "calm-1"}
	for name, c := range map[string]struct {
		targets  int
		falls    [][]string
		violated bool
	}{
		"two of three":                   {3, [][]string{calm, calm}, false},
		"three of three":                 {3, [][]string{calm, calm, calm}, true},
		"three of ten":                   {10, [][]string{calm, calm, calm}, false},
		"one by a VM that was disturbed": {3, [][]string{calm, calm, frozen}, false},
	} {
		t.Run(name, func(t *testing.T) {
			h := &harness{calls: calls, faults: []fault{{"vm_freeze", "vm-2", at(4), at(5)}}, brittleTimes: []brittleTime{{from: at(0), targets: c.targets, falls: c.falls}}}
			h.checkFalls()
			require.Equal(t, c.violated, h.violated()["brittle_targets_fell"])
		})
	}
}
