// Package platform is a stand-in for the platform. It simulates the object API, the VM list, which lags behind, and the
// rate-limited weight store; a control handler injects faults.
package platform

import (
	"net/http"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"

	"godwitcart/internal/stand/standhttp"
	"godwitcart/internal/wire/platformwire"
)

// Default rate limits.
const (
	DefaultWritesPerSecond  = 500
	DefaultReadsPerSecond   = 2000
	DefaultWeightsPerSecond = 2
)

// burstSeconds is the burst of a rate limiter in seconds of its rate.
const burstSeconds = 0.25

// Options configures a Platform. A zero rate selects the default.
type Options struct {
	VMs []platformwire.VM
	// VMLag is the age of the VM list that readers get.
	VMLag            time.Duration
	WritesPerSecond  float64
	ReadsPerSecond   float64
	WeightsPerSecond float64
	// Seed is the random seed of Faults.LoseProbability.
	Seed uint64
}

// CallCounts counts the calls since the platform was created.
type CallCounts struct {
	Reads   uint64 `json:"reads"`
	Writes  uint64 `json:"writes"`
	Watches uint64 `json:"watches"`
	Weights uint64 `json:"weights"`
	// Limited counts the calls refused by a rate limit, Lost the applied writes whose response was dropped.
	Limited uint64 `json:"limited"`
	Lost    uint64 `json:"lost"`
}

// Platform simulates one platform.
type Platform struct {
	objects       *store
	vms           *laggedVMList
	faults        *faultState
	writeLimiter  *rate.Limiter
	readLimiter   *rate.Limiter
	weightLimiter *rate.Limiter
	counts        callCounters
}

type callCounters struct {
	reads, writes, watches, weights, limited, lost atomic.Uint64
}

// New returns a platform with an empty object store.
func New(options Options) *Platform {
	return &Platform{
		objects:       newStore(),
		vms:           newLaggedVMList(options.VMs, options.VMLag),
		faults:        newFaultState(options.Seed),
		writeLimiter:  newLimiter(options.WritesPerSecond, DefaultWritesPerSecond),
		readLimiter:   newLimiter(options.ReadsPerSecond, DefaultReadsPerSecond),
		weightLimiter: newLimiter(options.WeightsPerSecond, DefaultWeightsPerSecond),
	}
}

func newLimiter(perSecond, fallback float64) *rate.Limiter {
	if perSecond <= 0 {
		perSecond = fallback
	}
	return rate.NewLimiter(rate.Limit(perSecond), burstSize(perSecond))
}

func burstSize(perSecond float64) int { return max(1, int(perSecond*burstSeconds)) }

// CallCounts returns the call counts since the platform was created.
func (p *Platform) CallCounts() CallCounts {
	return CallCounts{
		Reads:   p.counts.reads.Load(),
		Writes:  p.counts.writes.Load(),
		Watches: p.counts.watches.Load(),
		Weights: p.counts.weights.Load(),
		Limited: p.counts.limited.Load(),
		Lost:    p.counts.lost.Load(),
	}
}

// SetFaults replaces the active faults and sets the rate limits that are above zero. A rate of zero keeps the present
// limit.
func (p *Platform) SetFaults(faults Faults) {
	setRate(p.writeLimiter, faults.WritesPerSecond)
	setRate(p.readLimiter, faults.ReadsPerSecond)
	setRate(p.weightLimiter, faults.WeightsPerSecond)
	p.faults.set(faults)
}

func setRate(limiter *rate.Limiter, perSecond float64) {
	if perSecond <= 0 {
		return
	}
	limiter.SetLimit(rate.Limit(perSecond))
	limiter.SetBurst(burstSize(perSecond))
}

// PutVM adds or replaces the VM in the list. Readers see the change after Options.VMLag.
func (p *Platform) PutVM(vm platformwire.VM) {
	p.vms.change(time.Now(), func(byName map[string]platformwire.VM) { byName[vm.Name] = vm })
}

// RemoveVM removes the VM from the list. Readers see the change after Options.VMLag.
func (p *Platform) RemoveVM(name string) {
	p.vms.change(time.Now(), func(byName map[string]platformwire.VM) { delete(byName, name) })
}

// MarkLeaving marks the VM as leaving. Readers see the change after Options.VMLag.
func (p *Platform) MarkLeaving(name string) {
	p.vms.change(time.Now(), func(byName map[string]platformwire.VM) {
		if vm, ok := byName[name]; ok {
			vm.Leaving = true
			byName[name] = vm
		}
	})
}

// ControlHandler serves the control API of the tests:
//
//	GET, POST /faults              reads or updates Faults; a POST keeps the fields that it omits
//	GET       /calls               returns CallCounts
//	PUT       /vms/{name}          adds or replaces a platformwire.VM
//	DELETE    /vms/{name}          removes it
//	POST      /vms/{name}/leaving  marks it as leaving
func (p *Platform) ControlHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /faults", func(w http.ResponseWriter, _ *http.Request) {
		faults, _ := p.faults.get()
		standhttp.WriteJSON(w, http.StatusOK, faults)
	})
	mux.HandleFunc("POST /faults", p.postFaults)
	mux.HandleFunc("GET /calls", func(w http.ResponseWriter, _ *http.Request) {
		standhttp.WriteJSON(w, http.StatusOK, p.CallCounts())
	})
	mux.HandleFunc("PUT /vms/{name}", p.putVM)
	mux.HandleFunc("DELETE /vms/{name}", func(w http.ResponseWriter, r *http.Request) {
		p.RemoveVM(r.PathValue("name"))
		w.WriteHeader(http.StatusNoContent)
	})
	mux.HandleFunc("POST /vms/{name}/leaving", func(w http.ResponseWriter, r *http.Request) {
		p.MarkLeaving(r.PathValue("name"))
		w.WriteHeader(http.StatusNoContent)
	})
	return mux
}

func (p *Platform) postFaults(w http.ResponseWriter, r *http.Request) {
	faults, _ := p.faults.get()
	if err := standhttp.ReadJSON(w, r, &faults); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	p.SetFaults(faults)
	standhttp.WriteJSON(w, http.StatusOK, faults)
}

func (p *Platform) putVM(w http.ResponseWriter, r *http.Request) {
	var vm platformwire.VM
	if err := standhttp.ReadJSON(w, r, &vm); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	vm.Name = r.PathValue("name")
	p.PutVM(vm)
	w.WriteHeader(http.StatusNoContent)
}
