package engine

import (
	"sync"

	"godwitcart/internal/wire/enginewire"
)

// Faults are the failures that the control listener switches on. The zero value is none.
type Faults struct {
	// StallStreams accepts calls and generates but sends nothing until it is lifted.
	StallStreams bool `json:"stall_streams"`
	// LoseAnswers is how many of the next submissions are taken and then cut off without an answer.
	LoseAnswers int `json:"lose_answers"`
	// BreakStreams is how many streams are cut off after their next event.
	BreakStreams int `json:"break_streams"`
	// Refuse, when set, refuses every submission with this kind.
	Refuse enginewire.RefusalKind `json:"refuse"`
	// Slow multiplies the time of a step when above one.
	Slow float64 `json:"slow"`
}

// faultSwitch holds the current Faults under its own lock.
type faultSwitch struct {
	mu  sync.Mutex
	now Faults
	// changed is closed and replaced at every change.
	changed chan struct{}
}

func newFaultSwitch() faultSwitch { return faultSwitch{changed: make(chan struct{})} }

func (f *faultSwitch) get() (Faults, <-chan struct{}) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.now, f.changed
}

func (f *faultSwitch) set(faults Faults) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.now = faults
	close(f.changed)
	f.changed = make(chan struct{})
}

func (f *faultSwitch) refusal() enginewire.RefusalKind {
	faults, _ := f.get()
	return faults.Refuse
}

func (f *faultSwitch) slowness() float64 {
	faults, _ := f.get()
	return max(1, faults.Slow)
}

// takeLostAnswer reports whether this submission's answer is to be lost.
func (f *faultSwitch) takeLostAnswer() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return take(&f.now.LoseAnswers)
}

// takeBrokenStream reports whether this stream is to be cut off.
func (f *faultSwitch) takeBrokenStream() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return take(&f.now.BreakStreams)
}

func take(count *int) bool {
	if *count == 0 {
		return false
	}
	*count--
	return true
}
