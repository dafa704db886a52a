package fleet

import (
	"time"

	"godwitcart/internal/targetlimit"
)

// coordinationInterval is the least time between two checks of who coordinates the request limits.
const coordinationInterval = 100 * time.Millisecond

// Limits keeps the request limits of targets. Its methods do not block.
type Limits interface {
	// Active reports whether a target has a limit in force.
	Active() bool
	Announcements(relay bool, now time.Time) []targetlimit.Announcement
	Hear(vm string, announcements []targetlimit.Announcement, now time.Time)
	SetCoordination(coordination targetlimit.Coordination, now time.Time)
	HandleMessage(vm string, message targetlimit.Message, now time.Time)
}

type limitAnnouncement struct {
	//lint:ignore U1000 the codec reads its tag
	_msgpack  struct{} `msgpack:",as_array"`
	Target    string
	StartedAt int64
	Limited   bool
	PerSecond float64
	AgeMillis int64
	Brittle   int
}

// permitMessage is a targetlimit.Message: an Ask unless IsAnswer or IsTurnedAway is set.
type permitMessage struct {
	//lint:ignore U1000 the codec reads its tag
	_msgpack  struct{} `msgpack:",as_array"`
	Target    string
	StartedAt int64
	Number    uint32
	IsAnswer  bool
	// Positive is Ask.Urgent or Answer.Granted, and Millis is Ask.Patience or Answer.Wait.
	Positive bool
	Millis   int64
	// IsTurnedAway is set if the target had no room for a request; the other fields but its identity are empty.
	IsTurnedAway bool
}

// coordinateLimits brings the coordination of Options.Limits up to date while a limit is in force.
func (f *Fleet) coordinateLimits(now time.Time) {
	if f.options.Limits == nil || !f.options.Limits.Active() {
		return
	}
	f.mu.Lock()
	isDue := now.Sub(f.coordinatedAt) >= coordinationInterval
	var coordination targetlimit.Coordination
	if isDue {
		f.coordinatedAt = now
		coordination = f.electCoordinator(now)
	}
	f.mu.Unlock()
	if isDue {
		f.options.Limits.SetCoordination(coordination, now)
	}
}

// electCoordinator returns the coordination among the live VMs with which this VM exchanges digests directly. The
// caller holds mu.
func (f *Fleet) electCoordinator(now time.Time) targetlimit.Coordination {
	if f.members == nil {
		return targetlimit.Coordination{}
	}
	var peers []targetlimit.Peer
	for name, remote := range f.peers {
		if now.Sub(remote.heardAt) <= peerTimeout && (f.isMesh() || remote.zone == f.options.Self.Zone) {
			peers = append(peers, targetlimit.Peer{Name: name, Coordinator: remote.limitCoordinator})
		}
	}
	return targetlimit.Elect(f.options.Self.Name, peers, max(1+len(f.members), 1+len(peers), f.size.Known))
}

// addLimits adds the known limits to a digest, and the coordinator that this VM takes. The caller holds mu.
func (f *Fleet) addLimits(out *digest, reader bool, now time.Time) {
	if f.options.Limits == nil {
		return
	}
	coordinator := ""
	if f.options.Limits.Active() {
		coordinator = f.electCoordinator(now).Coordinator
	}
	if coordinator != "" {
		out.LimitCoordinator = targetlimit.Rank(coordinator)
	}
	relay := reader || coordinator == f.options.Self.Name
	for _, known := range f.options.Limits.Announcements(relay, now) {
		out.Limits = append(out.Limits, limitAnnouncement{
			Target: known.Target.ID, StartedAt: known.Target.StartedAt, Limited: known.Limited, PerSecond: known.PerSecond,
			AgeMillis: known.Age.Milliseconds(), Brittle: known.Brittle,
		})
	}
}

// hearLimits passes on the limits in a peer's digest.
func (f *Fleet) hearLimits(received *digest, now time.Time) {
	if f.options.Limits == nil || len(received.Limits) == 0 {
		return
	}
	heard := make([]targetlimit.Announcement, len(received.Limits))
	for i, limit := range received.Limits {
		heard[i] = targetlimit.Announcement{
			Target:    targetlimit.Incarnation{ID: limit.Target, StartedAt: limit.StartedAt},
			Statement: targetlimit.Statement{Limited: limit.Limited, PerSecond: limit.PerSecond, Brittle: limit.Brittle},
			Age:       time.Duration(limit.AgeMillis) * time.Millisecond,
		}
	}
	f.options.Limits.Hear(received.VM, heard, now)
}

// SendPermit sends a message about a permit to another VM, or to all without a name. It does not block; the message may be lost.
func (f *Fleet) SendPermit(vm string, message targetlimit.Message) {
	packed := packPermit(message)
	f.sendDirect(vm, digest{Permit: &packed})
}

// handlePermit passes on a message about a permit.
func (f *Fleet) handlePermit(received *digest, now time.Time) {
	if f.options.Limits != nil {
		f.options.Limits.HandleMessage(received.VM, received.Permit.unpack(), now)
	}
}

func packPermit(message targetlimit.Message) permitMessage {
	if ask := message.Ask; ask != nil {
		return permitMessage{Target: ask.Target.ID, StartedAt: ask.Target.StartedAt, Number: ask.Number, Positive: ask.Urgent, Millis: ask.Patience.Milliseconds()}
	}
	if target := message.TurnedAway; target != nil {
		return permitMessage{Target: target.ID, StartedAt: target.StartedAt, IsTurnedAway: true}
	}
	answer := message.Answer
	// Rounded up, so that a permit is not used before it is due.
	wait := (answer.Wait + time.Millisecond - 1).Milliseconds()
	return permitMessage{Target: answer.Target.ID, StartedAt: answer.Target.StartedAt, Number: answer.Number, IsAnswer: true, Positive: answer.Granted, Millis: wait}
}

func (m *permitMessage) unpack() targetlimit.Message {
	target := targetlimit.Incarnation{ID: m.Target, StartedAt: m.StartedAt}
	span := time.Duration(m.Millis) * time.Millisecond
	if m.IsTurnedAway {
		return targetlimit.Message{TurnedAway: &target}
	}
	if m.IsAnswer {
		return targetlimit.Message{Answer: &targetlimit.Answer{Target: target, Number: m.Number, Granted: m.Positive, Wait: span}}
	}
	return targetlimit.Message{Ask: &targetlimit.Ask{Target: target, Number: m.Number, Urgent: m.Positive, Patience: span}}
}
