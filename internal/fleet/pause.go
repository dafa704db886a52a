package fleet

import (
	"net/netip"
	"time"

	"godwitcart/internal/roster"
)

// Pause is the word of a target that it wants no requests from the address of a VM, as one VM tells it to another that
// shares this address with it: one of them carries connections of the other.
type Pause struct {
	Target    string
	StartedAt int64
	Address   string
	// Remaining is the time until the pause ends.
	Remaining time.Duration
	// ForCarrier is set if the recipient carries the connections, so that the target turned its address away.
	ForCarrier bool
}

// Of returns the target with the fields that identify its run.
func (p *Pause) Of() roster.Target {
	return roster.Target{ID: p.Target, StartedAt: p.StartedAt, Address: p.Address}
}

// Pauses handles messages about targets that ask for a pause.
type Pauses interface {
	HandlePause(from netip.Addr, pause Pause)
}

// pauseMessage is a Pause.
type pauseMessage struct {
	//lint:ignore U1000 the codec reads its tag
	_msgpack        struct{} `msgpack:",as_array"`
	Target          string
	StartedAt       int64
	Address         string
	RemainingMillis int64
	ForCarrier      bool
}

// pauseResendDelays are the times after which a pause is told again. They are shorter than the time that a target allows
// until its word is followed.
var pauseResendDelays = []time.Duration{60 * time.Millisecond, 200 * time.Millisecond}

// SendPause tells the VM at the IP address of a pause, and repeats it, since datagrams are lost. It does not block.
func (f *Fleet) SendPause(to netip.Addr, pause Pause) {
	ends := time.Now().Add(pause.Remaining)
	send := func() {
		member, found := f.memberAt(to)
		if remaining := time.Until(ends); found && remaining > 0 {
			// VMs that do not know the message take it for a guest digest without loads, which has no effect.
			f.sendDirect(member.Name, digest{Guest: true, Pause: &pauseMessage{
				Target: pause.Target, StartedAt: pause.StartedAt, Address: pause.Address, RemainingMillis: remaining.Milliseconds(), ForCarrier: pause.ForCarrier,
			}})
		}
	}
	send()
	for _, delay := range pauseResendDelays {
		time.AfterFunc(delay, send)
	}
}

func (m *pauseMessage) unpack() Pause {
	return Pause{Target: m.Target, StartedAt: m.StartedAt, Address: m.Address, Remaining: time.Duration(m.RemainingMillis) * time.Millisecond, ForCarrier: m.ForCarrier}
}

// handlePause passes on the word of another VM of the directory.
func (f *Fleet) handlePause(received *digest) {
	f.mu.Lock()
	member, found := f.members[received.VM]
	f.mu.Unlock()
	if found && f.options.Pauses != nil {
		f.options.Pauses.HandlePause(member.Address.Addr(), received.Pause.unpack())
	}
}
