package peer

import (
	"math/rand/v2"
	"slices"
	"time"
)

// partnerSet is a small random set of VMs for exchanges in rotation. A small set needs few connections. Because its
// members are replaced over time, every VM is reached by some other, and none stays isolated for long.
type partnerSet struct {
	// size is the number of VMs in the set; one of them is replaced per replaceInterval.
	size            int
	replaceInterval time.Duration

	names      []string
	nextIndex  int
	replacedAt time.Time
}

// next returns the next partner in rotation, given the VMs that may be in the set, or false if there are none. It first
// removes partners that are no longer available, replaces the oldest if that is due, and fills the set up to its size.
func (s *partnerSet) next(available []string, now time.Time) (string, bool) {
	s.names = slices.DeleteFunc(s.names, func(name string) bool { return !slices.Contains(available, name) })
	s.replaceOldest(now)
	s.names = s.names[:min(len(s.names), s.size)]
	s.fill(available)
	if len(s.names) == 0 {
		return "", false
	}
	s.nextIndex = (s.nextIndex + 1) % len(s.names)
	return s.names[s.nextIndex], true
}

// replaceOldest removes the oldest partner once per replaceInterval; fill adds another.
func (s *partnerSet) replaceOldest(now time.Time) {
	if now.Sub(s.replacedAt) < s.replaceInterval {
		return
	}
	s.replacedAt = now
	if len(s.names) > 0 {
		s.names = slices.Delete(s.names, 0, 1)
	}
}

// remove removes a partner; the next call of fill replaces it.
func (s *partnerSet) remove(name string) {
	s.names = slices.DeleteFunc(s.names, func(n string) bool { return n == name })
}

// fill adds random VMs that are not in the set until it has its size.
func (s *partnerSet) fill(available []string) {
	if len(s.names) >= min(s.size, len(available)) {
		return
	}
	for _, i := range rand.Perm(len(available)) {
		if len(s.names) >= s.size {
			return
		}
		if !slices.Contains(s.names, available[i]) {
			s.names = append(s.names, available[i])
		}
	}
}
