package platform

import (
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"godwitcart/internal/pause"
)

// Faults are the faults to inject. The zero value injects none.
type Faults struct {
	// Outage makes every call fail with status 503.
	Outage bool `json:"outage"`
	// Freeze blocks every call until the fault is cleared or the client disconnects.
	Freeze bool `json:"freeze"`
	// DelayMillis delays the handling of each call.
	DelayMillis int64 `json:"delay_millis"`
	// LoseAnswers is the number of writes to come that are applied but get no response: the connection is closed.
	LoseAnswers int `json:"lose_answers"`
	// LoseProbability is the probability that an applied write gets no response.
	LoseProbability float64 `json:"lose_probability"`
	// WritesPerSecond, ReadsPerSecond and WeightsPerSecond set the rate limits when above zero.
	WritesPerSecond  float64 `json:"writes_per_second,omitempty"`
	ReadsPerSecond   float64 `json:"reads_per_second,omitempty"`
	WeightsPerSecond float64 `json:"weights_per_second,omitempty"`
}

// faultState holds the active Faults. changed is closed and replaced when they are set, to wake frozen calls.
type faultState struct {
	mu      sync.Mutex
	current Faults
	random  *rand.Rand
	changed chan struct{}
}

func newFaultState(seed uint64) *faultState {
	return &faultState{
		random:  rand.New(rand.NewPCG(seed, seed)),
		changed: make(chan struct{}),
	}
}

func (f *faultState) get() (Faults, <-chan struct{}) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.current, f.changed
}

func (f *faultState) set(faults Faults) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.current = faults
	close(f.changed)
	f.changed = make(chan struct{})
}

// consumeLostAnswer reports whether to drop the response to an applied write, and counts down LoseAnswers.
func (f *faultState) consumeLostAnswer() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.current.LoseAnswers > 0 {
		f.current.LoseAnswers--
		return true
	}
	return f.current.LoseProbability > 0 && f.random.Float64() < f.current.LoseProbability
}

// waitOutDelays blocks for the faults DelayMillis and Freeze. It returns false when the client has disconnected.
func (f *faultState) waitOutDelays(r *http.Request) bool {
	faults, changed := f.get()
	if faults.DelayMillis > 0 && !pause.For(r.Context(), time.Duration(faults.DelayMillis)*time.Millisecond) {
		return false
	}
	for faults.Freeze {
		select {
		case <-changed:
		case <-r.Context().Done():
			return false
		}
		faults, changed = f.get()
	}
	return true
}
