package ingress

import "time"

// Pace is the pace of a client.
type Pace struct{ pace }

// Restart, Read, Unread, Pause, Resume, Behind and IsTrickling are those of pace, with the time since an arbitrary origin.
func (p *Pace) Restart(now time.Duration)               { p.restart(now) }
func (p *Pace) Read(now time.Duration, bytes, rate int) { p.recordRead(now, bytes, rate) }
func (p *Pace) Unread(now time.Duration, bytes, rate int) bool {
	return p.recordUnread(now, bytes, rate)
}
func (p *Pace) Pause(now time.Duration)                { p.pause(now) }
func (p *Pace) Resume(now time.Duration)               { p.resume(now) }
func (p *Pace) Behind(now time.Duration) time.Duration { return p.behind(now) }
func (p *Pace) IsTrickling(now time.Duration) bool     { return p.isTrickling(now) }

// HeadCost returns what is charged for the head of a request.
func HeadCost(head []byte) int64 {
	var s scanner
	s.scan(head)
	return headCost(s.lines, s.bytes())
}
