package platform

import (
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"godwitcart/internal/pause"
)

// Faults are the failures that the control listener switches on. The zero value is none.
type Faults struct {
	// Outage answers every call with 503.
	Outage bool `json:"outage"`
	// Freeze holds every call until it is lifted or the caller gives up.
	Freeze bool `json:"freeze"`
	// DelayMillis is added before each call is handled.
	DelayMillis int64 `json:"delay_millis"`
	// LoseAnswers is how many of the next writes take effect without an answer.
	LoseAnswers int `json:"lose_answers"`
	// LoseProbability is the chance that a write takes effect without an answer.
	LoseProbability float64 `json:"lose_probability"`
	// WritesPerSecond, ReadsPerSecond and WeightsPerSecond change the call rates when above zero.
	WritesPerSecond  float64 `json:"writes_per_second,omitempty"`
	ReadsPerSecond   float64 `json:"reads_per_second,omitempty"`
	WeightsPerSecond float64 `json:"weights_per_second,omitempty"`
}

// faultSwitch holds the current Faults. lifted is closed and replaced at every change.
type faultSwitch struct {
	mu     sync.Mutex
	now    Faults
	random *rand.Rand
	lifted chan struct{}
}

func newFaultSwitch(seed uint64) *faultSwitch {
	return &faultSwitch{
		random: rand.New(rand.NewPCG(seed, seed)),
		lifted: make(chan struct{}),
	}
}

func (f *faultSwitch) get() (Faults, <-chan struct{}) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.now, f.lifted
}

func (f *faultSwitch) set(faults Faults) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.now = faults
	close(f.lifted)
	f.lifted = make(chan struct{})
}

// losesAnswer reports whether the answer to a write that took effect is to be lost.
func (f *faultSwitch) losesAnswer() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.now.LoseAnswers > 0 {
		f.now.LoseAnswers--
		return true
	}
	return f.now.LoseProbability > 0 && f.random.Float64() < f.now.LoseProbability
}

// pass waits out delay and freeze. It returns false when the caller is gone.
func (f *faultSwitch) pass(r *http.Request) bool {
	faults, lifted := f.get()
	if faults.DelayMillis > 0 && !pause.For(r.Context(), time.Duration(faults.DelayMillis)*time.Millisecond) {
		return false
	}
	for faults.Freeze {
		select {
		case <-lifted:
		case <-r.Context().Done():
			return false
		}
		faults, lifted = f.get()
	}
	return true
}
