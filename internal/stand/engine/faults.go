package engine

import (
	"sync"

	"godwitcart/internal/wire/enginewire"
)

// Faults are the faults to inject. The zero value injects none.
type Faults struct {
	// StallStreams accepts requests and generates tokens, but sends nothing until the fault is cleared.
	StallStreams bool `json:"stall_streams"`
	// LoseAnswers is the number of submissions to come that are accepted but get no response: the connection is closed.
	LoseAnswers int `json:"lose_answers"`
	// BreakStreams is the number of streams to close after their next event.
	BreakStreams int `json:"break_streams"`
	// Refuse, when set, refuses every submission with this kind.
	Refuse enginewire.RefusalKind `json:"refuse"`
	// Slow multiplies the duration of a step; values below one have no effect.
	Slow float64 `json:"slow"`
}

// faultState holds the active Faults.
type faultState struct {
	mu      sync.Mutex
	current Faults
	// changed is closed and replaced when the faults are set, to wake stalled streams.
	changed chan struct{}
}

func newFaultState() faultState { return faultState{changed: make(chan struct{})} }

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

func (f *faultState) refusal() enginewire.RefusalKind {
	faults, _ := f.get()
	return faults.Refuse
}

func (f *faultState) slowdown() float64 {
	faults, _ := f.get()
	return max(1, faults.Slow)
}

// consumeLostAnswer reports whether to close the connection without a response, and counts down LoseAnswers.
func (f *faultState) consumeLostAnswer() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return consume(&f.current.LoseAnswers)
}

// consumeBrokenStream reports whether to close the stream's connection, and counts down BreakStreams.
func (f *faultState) consumeBrokenStream() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return consume(&f.current.BreakStreams)
}

func consume(count *int) bool {
	if *count == 0 {
		return false
	}
	*count--
	return true
}
