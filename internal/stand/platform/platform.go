// Package platform is the stand-in of the platform: its object API, its lagging list
// of VMs and its rate-limited weight store, with faults switched on by a control handler.
package platform

import (
	"net/http"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"

	"godwitcart/internal/stand/standhttp"
	"godwitcart/internal/wire/platformwire"
)

// The call rates of a platform that does not state its own.
const (
	DefaultWritesPerSecond  = 500
	DefaultReadsPerSecond   = 2000
	DefaultWeightsPerSecond = 2
)

// burstSeconds is how many seconds of its rate a limiter lets through at once.
const burstSeconds = 0.25

// Options configure a Platform; zero rates stand for the defaults.
type Options struct {
	VMs []platformwire.VM
	// VMLag is how far the list of VMs is behind.
	VMLag            time.Duration
	WritesPerSecond  float64
	ReadsPerSecond   float64
	WeightsPerSecond float64
	// Seed decides which answers are lost.
	Seed uint64
}

// Calls counts the calls since the start.
type Calls struct {
	Reads   uint64 `json:"reads"`
	Writes  uint64 `json:"writes"`
	Watches uint64 `json:"watches"`
	Weights uint64 `json:"weights"`
	// Limited counts the calls that were refused for their rate, Lost the writes without an answer.
	Limited uint64 `json:"limited"`
	Lost    uint64 `json:"lost"`
}

// Platform is one stand-in platform.
type Platform struct {
	objects *store
	vms     *vmTable
	faults  *faultSwitch
	writes  *rate.Limiter
	reads   *rate.Limiter
	weights *rate.Limiter
	counts  counters
}

type counters struct {
	reads, writes, watches, weights, limited, lost atomic.Uint64
}

// New returns a platform without objects.
func New(options Options) *Platform {
	return &Platform{
		objects: newStore(),
		vms:     newVMTable(options.VMs, options.VMLag),
		faults:  newFaultSwitch(options.Seed),
		writes:  newLimiter(options.WritesPerSecond, DefaultWritesPerSecond),
		reads:   newLimiter(options.ReadsPerSecond, DefaultReadsPerSecond),
		weights: newLimiter(options.WeightsPerSecond, DefaultWeightsPerSecond),
	}
}

func newLimiter(perSecond, otherwise float64) *rate.Limiter {
	if perSecond <= 0 {
		perSecond = otherwise
	}
	return rate.NewLimiter(rate.Limit(perSecond), burst(perSecond))
}

func burst(perSecond float64) int { return max(1, int(perSecond*burstSeconds)) }

// Calls returns the counts of calls.
func (p *Platform) Calls() Calls {
	return Calls{
		Reads:   p.counts.reads.Load(),
		Writes:  p.counts.writes.Load(),
		Watches: p.counts.watches.Load(),
		Weights: p.counts.weights.Load(),
		Limited: p.counts.limited.Load(),
		Lost:    p.counts.lost.Load(),
	}
}

// SetFaults replaces the faults in force.
func (p *Platform) SetFaults(faults Faults) {
	setRate(p.writes, faults.WritesPerSecond)
	setRate(p.reads, faults.ReadsPerSecond)
	setRate(p.weights, faults.WeightsPerSecond)
	p.faults.set(faults)
}

func setRate(limiter *rate.Limiter, perSecond float64) {
	if perSecond <= 0 {
		return
	}
	limiter.SetLimit(rate.Limit(perSecond))
	limiter.SetBurst(burst(perSecond))
}

// PutVM adds the VM to the list or replaces it; readers see it after the lag.
func (p *Platform) PutVM(vm platformwire.VM) {
	p.vms.change(time.Now(), func(byVM map[string]platformwire.VM) { byVM[vm.Name] = vm })
}

// RemoveVM takes the VM off the list; readers see it after the lag.
func (p *Platform) RemoveVM(name string) {
	p.vms.change(time.Now(), func(byVM map[string]platformwire.VM) { delete(byVM, name) })
}

// MarkLeaving marks the VM as leaving; readers see it after the lag.
func (p *Platform) MarkLeaving(name string) {
	p.vms.change(time.Now(), func(byVM map[string]platformwire.VM) {
		if vm, ok := byVM[name]; ok {
			vm.Leaving = true
			byVM[name] = vm
		}
	})
}

// ControlHandler serves the control calls:
//
//	GET, POST /faults              Faults; a POST keeps the fields that it omits
//	GET       /calls               Calls
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
		standhttp.WriteJSON(w, http.StatusOK, p.Calls())
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
