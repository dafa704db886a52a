package fleet

import (
	"context"
	"maps"
	"net/netip"
	"slices"
	"time"

	"godwitcart/internal/origin"
	"godwitcart/internal/poison"
	"godwitcart/internal/targetlimit"
)

// helpSilence is the time without a digest after which a VM is not asked for help: it may be frozen. Digests are sent each
// idleInterval at least.
const helpSilence = 1200 * time.Millisecond

// maxQueuedMessages limits the messages to single VMs that wait to be sent. What does not fit is lost like a datagram.
const maxQueuedMessages = 1024

// directMessage is a digest that carries a message and nothing else, for one VM or, with an empty vm, for all.
type directMessage struct {
	vm     string
	digest digest
}

// originMessage is an origin.Message.
type originMessage struct {
	//lint:ignore U1000 the codec reads its tag
	_msgpack  struct{} `msgpack:",as_array"`
	Kind      uint8
	Attempt   string
	Service   string
	Version   string
	Account   string
	TTLMillis int64
}

// SendOrigin sends a message about where a stream began to another VM. It does not block; the message may be lost.
func (f *Fleet) SendOrigin(vm string, message origin.Message) {
	record := message.Record
	f.sendDirect(vm, digest{Origin: &originMessage{
		Kind: uint8(message.Kind), Attempt: record.Attempt, Service: record.Service, Version: record.Version,
		Account: record.Account, TTLMillis: record.TTL.Milliseconds(),
	}})
}

func (m *originMessage) unpack() origin.Message {
	return origin.Message{Kind: origin.Kind(m.Kind), Record: origin.Record{
		Attempt: m.Attempt, Service: m.Service, Version: m.Version, Account: m.Account, TTL: time.Duration(m.TTLMillis) * time.Millisecond,
	}}
}

// poisonMessage is a poison.Message.
type poisonMessage struct {
	//lint:ignore U1000 the codec reads its tag
	_msgpack        struct{} `msgpack:",as_array"`
	Kind            uint8
	Target          string
	StartedAt       int64
	Request         uint64
	Features        []uint64
	AgeMillis       int64
	RemainingMillis int64
	Failures        int
}

// poisonAddition holds the fields of a poison.Message that builds up to c669ad0 do not know; poisonMessage cannot get them, see
// codec.go.
type poisonAddition struct {
	NamesRequest   bool  `msgpack:"n,omitempty"`
	DurationMillis int64 `msgpack:"d,omitempty"`
}

// SendPoison sends a message about requests that crash their targets to another VM or, without a name, to all. It does not
// block; the message may be lost.
func (f *Fleet) SendPoison(vm string, message poison.Message) {
	packed := poisonMessage{
		Kind: uint8(message.Kind), Target: message.Target.ID, StartedAt: message.Target.StartedAt, Request: message.Request,
		AgeMillis: message.Age.Milliseconds(), RemainingMillis: message.Remaining.Milliseconds(), Failures: message.Failures,
	}
	for _, feature := range message.Features {
		packed.Features = append(packed.Features, uint64(feature))
	}
	// VMs that do not know the message take it for a guest digest without loads, which has no effect.
	f.sendDirect(vm, digest{Guest: true, Poison: &packed, PoisonAddition: poisonAddition{NamesRequest: message.NamesRequest, DurationMillis: message.Duration.Milliseconds()}})
}

func (m *poisonMessage) unpack(addition poisonAddition) poison.Message {
	message := poison.Message{
		Kind: poison.Kind(m.Kind), Target: targetlimit.Incarnation{ID: m.Target, StartedAt: m.StartedAt}, Request: m.Request,
		Age: time.Duration(m.AgeMillis) * time.Millisecond, Remaining: time.Duration(m.RemainingMillis) * time.Millisecond, Failures: m.Failures,
		NamesRequest: addition.NamesRequest, Duration: time.Duration(addition.DurationMillis) * time.Millisecond,
	}
	for _, feature := range m.Features {
		message.Features = append(message.Features, poison.Feature(feature))
	}
	return message
}

func (f *Fleet) sendDirect(vm string, message digest) {
	message.VM = f.options.Self.Name
	select {
	case f.direct <- directMessage{vm: vm, digest: message}:
	default:
	}
}

// sendDirectMessages sends the queued messages to single VMs until ctx is done.
func (f *Fleet) sendDirectMessages(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case out := <-f.direct:
			f.sendTo(&out.digest, f.directRecipients(out.vm))
		}
	}
}

// directRecipients returns the other VM of that name or, without a name, all other VMs of the directory.
func (f *Fleet) directRecipients(vm string) []Member {
	f.mu.Lock()
	defer f.mu.Unlock()
	if vm == "" {
		return slices.Collect(maps.Values(f.members))
	}
	if member, found := f.members[vm]; found {
		return []Member{member}
	}
	return nil
}

// handleDirect passes on a message to this VM alone, and reports whether the digest is one.
func (f *Fleet) handleDirect(received *digest, now time.Time) bool {
	switch {
	case received.Permit != nil:
		f.handlePermit(received, now)
	case received.Origin != nil:
		if f.options.Origins != nil {
			f.options.Origins.HandleMessage(received.VM, received.Origin.unpack())
		}
	case received.Poison != nil:
		if f.options.Poison != nil {
			f.options.Poison.HandleMessage(received.VM, received.Poison.unpack(received.PoisonAddition))
		}
	case received.Pause != nil:
		f.handlePause(received)
	default:
		return false
	}
	return true
}

// Others returns the other entry VMs of the directory, and whether each is known to be of no help on the way to targets: it
// says that it is cut off from them, or has fallen silent.
func (f *Fleet) Others() map[Member]bool {
	now := time.Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	others := make(map[Member]bool, len(f.members))
	for name, member := range f.members {
		remote := f.peers[name]
		// In a large fleet nothing is heard of most VMs, and at the start of any not yet.
		isLost := remote == nil && f.isMesh() && now.Sub(f.discoveredAt[name]) > peerTimeout
		others[member] = isLost || remote != nil && (remote.cutOff || now.Sub(remote.heardAt) > helpSilence)
	}
	return others
}

// IsMember reports whether another entry VM of the directory has the address.
func (f *Fleet) IsMember(address netip.Addr) bool {
	_, found := f.memberAt(address)
	return found
}

// memberAt returns the other entry VM of the directory with the address.
func (f *Fleet) memberAt(address netip.Addr) (Member, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, member := range f.members {
		if member.Address.Addr() == address {
			return member, true
		}
	}
	return Member{}, false
}

// VMs returns all entry VMs of the directory, this one included, or nil before the directory has been read.
func (f *Fleet) VMs() []Member {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.members == nil {
		return nil
	}
	vms := []Member{f.options.Self}
	for _, member := range f.members {
		vms = append(vms, member)
	}
	return vms
}
