package peer

import (
	"math/rand/v2"
	"slices"
	"time"
)

// partners is a small random set of VMs that are asked in turn. A small set needs few connections;
// since it changes slowly, every VM is asked by somebody and nobody is cut off for long.
type partners struct {
	// size is the number of VMs in the set, and life how often one of them is replaced.
	size int
	life time.Duration

	names     []string
	turn      int
	renewedAt time.Time
}

// next returns the partner whose turn it is, given the VMs that may be asked.
func (p *partners) next(available []string, now time.Time) (string, bool) {
	p.names = slices.DeleteFunc(p.names, func(name string) bool { return !slices.Contains(available, name) })
	p.renew(now)
	p.names = p.names[:min(len(p.names), p.size)]
	p.fill(available)
	if len(p.names) == 0 {
		return "", false
	}
	p.turn = (p.turn + 1) % len(p.names)
	return p.names[p.turn], true
}

// renew drops the oldest partner once in a life.
func (p *partners) renew(now time.Time) {
	if now.Sub(p.renewedAt) < p.life {
		return
	}
	p.renewedAt = now
	if len(p.names) > 0 {
		p.names = slices.Delete(p.names, 0, 1)
	}
}

// drop removes a partner; another takes its place.
func (p *partners) drop(name string) {
	p.names = slices.DeleteFunc(p.names, func(n string) bool { return n == name })
}

// fill adds random VMs that are not in the set.
func (p *partners) fill(available []string) {
	if len(p.names) >= min(p.size, len(available)) {
		return
	}
	for _, i := range rand.Perm(len(available)) {
		if len(p.names) >= p.size {
			return
		}
		if !slices.Contains(p.names, available[i]) {
			p.names = append(p.names, available[i])
		}
	}
}
