package main

import (
	"fmt"
	"time"
)

// playNoCopy lets single model replicas work four times as long, one after the other, while another one fails 45 in 100 of its
// requests with good health. That one has no room for copies of requests that run elsewhere; where it does not fail a request
// that is to go on from a copy, it answers 503 and does not run it.
func playNoCopy(w *world, trouble bool) ([]string, error) {
	shared, err := startModels(w, func(i int, r *replica) { r.isFull = i == 1 })
	if err != nil {
		return nil, err
	}
	if err := w.startVMs("a", "127.0.0.41", "127.0.0.42"); err != nil {
		return nil, err
	}
	time.Sleep(3 * time.Second)
	if trouble {
		for round, slow := range []int{0, 2, 3, 4, 5, 6, 0, 2} {
			time.AfterFunc(time.Duration(5+7*round)*time.Second, func() {
				w.note("DISRUPTION %s works four times as long for 5 s (srv_slow); model-2 fails 45 in 100 requests for 6.5 s (srv_grey)", shared.all[slow].id)
				shared.all[slow].slowDown(4, 5*time.Second)
				shared.all[1].failFor(45, 6500*time.Millisecond)
			})
		}
	}
	sendStreams(w, 300, 200*time.Millisecond, "1500,600")
	return judgeRuns(shared.all), nil
}

// judgeRuns returns the requests that ran more than once (RULES.md, TWICE). A run that goes on from a copy counts as the same
// run; a replica's own 500 counts as run (PROTOCOL.md).
func judgeRuns(replicas []*replica) []string {
	runs := make(map[string][]string)
	for _, r := range replicas {
		r.mu.Lock()
		for _, current := range r.runs {
			if !current.hadCopy {
				runs[current.attempt] = append(runs[current.attempt], fmt.Sprintf("%s (from event %d, memory from %q, %s)", r.id, current.made, current.from, current.end))
			}
		}
		r.mu.Unlock()
	}
	var breaks []string
	for attempt, list := range runs {
		if len(list) > 1 {
			breaks = append(breaks, fmt.Sprintf("%s ran %d times: %v", attempt, len(list), list))
		}
	}
	return breaks
}
