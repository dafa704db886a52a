package measure

import "time"

// plainTarget models one target of a plain service: workers and a queue.
type plainTarget struct {
	index   int
	name    string
	zone    string
	service int
	workers int
	clock   *clock
	watch   observer
	busy    int
	waiting []*job
}

// submit runs the call, or queues it when all workers are busy.
func (p *plainTarget) submit(j *job) {
	if p.busy >= p.workers {
		p.waiting = append(p.waiting, j)
		return
	}
	p.run(j, j.call)
}

func (p *plainTarget) run(j *job, call time.Duration) {
	p.busy++
	p.clock.after(call, func() {
		p.busy--
		p.watch.ended(j)
		if len(p.waiting) > 0 {
			next := p.waiting[0]
			p.waiting = p.waiting[1:]
			p.run(next, next.call)
		}
	})
}
