package measure

import "time"

// plainTarget models one target of a plain service: a fixed number of workers and a FIFO queue.
type plainTarget struct {
	index       int
	name        string
	zone        string
	service     int
	workers     int
	clock       *clock
	observer    observer
	busyWorkers int
	waiting     []*job
}

// submit runs the call, or queues it if all workers are busy.
func (p *plainTarget) submit(j *job) {
	if p.busyWorkers >= p.workers {
		p.waiting = append(p.waiting, j)
		return
	}
	p.run(j, j.callDuration)
}

func (p *plainTarget) run(j *job, call time.Duration) {
	p.busyWorkers++
	p.clock.after(call, func() {
		p.busyWorkers--
		p.observer.onEnded(j)
		if len(p.waiting) > 0 {
			next := p.waiting[0]
			p.waiting = p.waiting[1:]
			p.run(next, next.callDuration)
		}
	})
}
