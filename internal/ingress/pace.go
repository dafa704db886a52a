package ingress

import (
	"sync"
	"sync/atomic"
	"time"
)

const (
	// DefaultLeastRate is Limits.LeastRate where that is zero, in bytes per second. An ordinary head comes in one packet.
	DefaultLeastRate = 4 << 10
	// holdTime is the longest time in which a client at its least rate sends as many bytes as it holds: one that holds more has
	// to send faster. A body of 4 MiB at 50 kB/s is in pace.
	holdTime = 100 * time.Second
	// stallTime is the time without a read after which bytes that wait in the kernel show that the process is slow and not the
	// client. One that sends more often gains nothing when a check falls between the arrival of a byte and its read.
	stallTime = time.Second
)

// pace compares what a client sends with its least rate: each byte pays for the time that it takes at that rate. Nothing is paid
// in advance, so that a client which has sent much and stops falls behind from then on. All times are since the process started.
type pace struct {
	// paidUntil is the time up to which the client is in pace, and lastByte that of its last byte.
	paidUntil, lastByte atomic.Int64

	mu sync.Mutex
	// unread is the number of bytes that have paid and are still in the kernel.
	unread int
	// pausedAt is when the client last had nothing to send.
	pausedAt time.Duration
}

// restart puts the client in pace.
func (p *pace) restart(now time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.paidUntil.Store(int64(now))
	p.lastByte.Store(int64(now))
	p.pausedAt = now
}

// pause records that the client has nothing to send, and resume that it has again. The time between them is not paid for, but
// what the client was behind before stays: it would otherwise begin anew with each request that it gives up.
func (p *pace) pause(now time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.pausedAt = now
}

func (p *pace) resume(now time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.paidUntil.Store(min(int64(now), p.paidUntil.Load()+int64(now-p.pausedAt)))
}

// recordRead records bytes that were read. rate is the least rate in bytes per second.
func (p *pace) recordRead(now time.Duration, bytes, rate int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	alreadyPaid := min(bytes, p.unread)
	p.unread -= alreadyPaid
	p.pay(now, bytes-alreadyPaid, rate)
	p.lastByte.Store(int64(now))
}

// recordFrames records bytes that were read and do not pay.
func (p *pace) recordFrames(now time.Duration, bytes int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.unread -= min(bytes, p.unread)
	p.lastByte.Store(int64(now))
}

// recordTaken records bytes that the client has taken.
func (p *pace) recordTaken(now time.Duration, bytes, rate int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.pay(now, bytes, rate)
	p.lastByte.Store(int64(now))
}

// recordUnread records how many bytes wait in the kernel, and reports whether there are more than had paid.
func (p *pace) recordUnread(now time.Duration, bytes, rate int) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if bytes <= p.unread {
		return false
	}
	if p.silence(now) >= stallTime {
		p.paidUntil.Store(int64(now))
	} else {
		p.pay(now, bytes-p.unread, rate)
	}
	p.unread = bytes
	p.lastByte.Store(int64(now))
	return true
}

// pay requires the lock.
func (p *pace) pay(now time.Duration, bytes, rate int) {
	paid := int64(float64(bytes) / float64(rate) * float64(time.Second))
	p.paidUntil.Store(min(int64(now), p.paidUntil.Load()+paid))
}

// behind returns the time for which the client has not paid.
func (p *pace) behind(now time.Duration) time.Duration {
	return now - time.Duration(p.paidUntil.Load())
}

// silence returns the time since the last byte.
func (p *pace) silence(now time.Duration) time.Duration {
	return now - time.Duration(p.lastByte.Load())
}

// isTrickling reports whether the client is behind because of its rate rather than because it has stopped.
func (p *pace) isTrickling(now time.Duration) bool { return p.behind(now) > 2*p.silence(now) }
