package forward

import "sync"

// streamSet holds the running streams by the id of their current target.
type streamSet struct {
	mu       *sync.Mutex
	byTarget map[string]map[*stream]struct{}
}

func newStreamSet() streamSet {
	return streamSet{mu: &sync.Mutex{}, byTarget: make(map[string]map[*stream]struct{})}
}

func (s *streamSet) add(target string, added *stream) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.byTarget[target] == nil {
		s.byTarget[target] = make(map[*stream]struct{})
	}
	s.byTarget[target][added] = struct{}{}
}

func (s *streamSet) remove(target string, removed *stream) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.byTarget[target], removed)
	if len(s.byTarget[target]) == 0 {
		delete(s.byTarget, target)
	}
}

func (s *streamSet) ofTarget(target string) []*stream {
	s.mu.Lock()
	defer s.mu.Unlock()
	streams := make([]*stream, 0, len(s.byTarget[target]))
	for stream := range s.byTarget[target] {
		streams = append(streams, stream)
	}
	return streams
}
