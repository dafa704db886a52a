package placement

import "time"

const (
	// serviceTimeWeight is the weight of one request in the moving average of the time that targets take.
	serviceTimeWeight = 0.05
	// defaultServiceTime applies until a request has been answered.
	defaultServiceTime = 100 * time.Millisecond
	// minServiceTime bounds the effect of answers that take no time.
	minServiceTime = time.Millisecond
)

// recordServiceTime records how long a request took that was answered.
func (s *service) recordServiceTime(took time.Duration) {
	took = max(took, minServiceTime)
	if s.serviceTime == 0 {
		s.serviceTime = took
		return
	}
	s.serviceTime += time.Duration(serviceTimeWeight * float64(took-s.serviceTime))
}

// Capacity estimates how many requests a second the target takes: its slots, each used for the time that requests of the
// service take. That is zero for a target that is not listed.
func (t *Table) Capacity(id string) float64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	member := t.targets[id]
	if member == nil {
		return 0
	}
	serviceTime := member.service.serviceTime
	if serviceTime == 0 {
		serviceTime = defaultServiceTime
	}
	return float64(member.Slots) / serviceTime.Seconds()
}
