package fleet

import (
	"time"

	"godwitcart/internal/evacuation"
)

const (
	// evacuationRepeatInterval and evacuationRepeatTime are how often and how long a VM tells the others that the zones in
	// evacuation have changed. A reader goes on to tell them with its status.
	evacuationRepeatInterval = 400 * time.Millisecond
	evacuationRepeatTime     = 2 * time.Second
)

// Evacuations keeps which zones are in evacuation. Its methods do not block.
type Evacuations interface {
	// Known returns the newest known state, and false if no zone has been in evacuation.
	Known(now time.Time) (evacuation.State, bool)
	// Hear records a state that a peer has told, and reports whether it changed anything.
	Hear(peer string, told evacuation.State, now time.Time) bool
}

// evacuationState is an evacuation.State.
type evacuationState struct {
	//lint:ignore U1000 the codec reads its tag
	_msgpack  struct{} `msgpack:",as_array"`
	Revision  uint64
	AgeMillis int64
	Zones     []string
}

// AnnounceEvacuations tells the other VMs that the zones in evacuation have changed: at once if this VM reads for its zone,
// and else with its next digests.
func (f *Fleet) AnnounceEvacuations() {
	f.mu.Lock()
	now := time.Now()
	f.evacuationsChangedAt, f.evacuationsSentAt = now, time.Time{}
	reader := f.actsAsReader(now)
	f.mu.Unlock()
	if reader {
		f.SendSoon()
	}
}

// addEvacuations adds the zones in evacuation to a digest with a status, and to some of those after a change. The caller
// holds mu.
func (f *Fleet) addEvacuations(out *digest, hasStatus bool, now time.Time) {
	isChange := now.Sub(f.evacuationsChangedAt) < evacuationRepeatTime && now.Sub(f.evacuationsSentAt) >= evacuationRepeatInterval
	if f.options.Evacuations == nil || !hasStatus && !isChange {
		return
	}
	if known, ever := f.options.Evacuations.Known(now); ever {
		f.evacuationsSentAt = now
		out.Evacuations = &evacuationState{Revision: known.Revision, AgeMillis: known.Age.Milliseconds(), Zones: known.Zones}
	}
}

// hearEvacuations passes on what a peer's digest says of zones in evacuation.
func (f *Fleet) hearEvacuations(received *digest, now time.Time) {
	told := received.Evacuations
	if f.options.Evacuations == nil || told == nil {
		return
	}
	age := time.Duration(max(told.AgeMillis, 0)) * time.Millisecond
	if f.options.Evacuations.Hear(received.VM, evacuation.State{Revision: told.Revision, Zones: told.Zones, Age: age}, now) {
		f.AnnounceEvacuations()
	}
}
