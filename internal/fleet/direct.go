package fleet

import (
	"context"
	"time"

	"godwitcart/internal/origin"
)

// maxQueuedMessages limits the messages to single VMs that wait to be sent. What does not fit is lost like a datagram.
const maxQueuedMessages = 1024

// directMessage is a digest for one VM that carries a message and nothing else.
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
			f.mu.Lock()
			member, found := f.members[out.vm]
			f.mu.Unlock()
			if found {
				f.sendTo(&out.digest, []Member{member})
			}
		}
	}
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
	default:
		return false
	}
	return true
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
