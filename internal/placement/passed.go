package placement

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

// maxColdNamed bounds the cold targets that PassedOver describes; it counts the others.
const maxColdNamed = 4

// PassedOver tells operators which targets of the service could not be chosen because their zone is in evacuation, or
// because they are cold and this VM has no turn there; empty if there are none.
func (l *Lease) PassedOver(now time.Time) string {
	l.table.mu.Lock()
	defer l.table.mu.Unlock()
	return l.table.passedOver(l.target.service, now)
}

// passedOver requires the lock.
func (t *Table) passedOver(s *service, now time.Time) string {
	var evacuated map[string]int
	var cold []string
	coldCount := 0
	for _, member := range s.targets {
		switch {
		case member.evacuation.blocks(now):
			if evacuated == nil {
				evacuated = make(map[string]int)
			}
			evacuated[member.Zone]++
		case !t.limits.IsCold(member.Target, now) || t.limits.MayTake(member.Target, now):
		default:
			if coldCount++; coldCount <= maxColdNamed {
				cold = append(cold, fmt.Sprintf("%s (%s)", member.ID, t.limits.Describe(member.Target, now)))
			}
		}
	}
	var reasons []string
	for zone, count := range evacuated {
		reasons = append(reasons, fmt.Sprintf("%d in zone %s in evacuation", count, zone))
	}
	slices.Sort(reasons)
	if coldCount > 0 {
		slices.Sort(cold)
		reasons = append(reasons, fmt.Sprintf("%d cold, without a turn: %s", coldCount, strings.Join(cold, ", ")))
	}
	return strings.Join(reasons, "; ")
}
