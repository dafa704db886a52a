package soak

import (
	"context"
	"math/rand/v2"
	"net"
	"sync"
	"syscall"
	"time"

	"godwitcart/internal/stand/rig"
	"godwitcart/platform/platformtest"
)

// fault is a disturbance of one subject for a while.
type fault struct {
	kind    string
	subject string
	from    time.Time
	// to is zero while it lasts.
	to time.Time
}

// The names of subjects that are no VM and no place.
const storeSubject = "store"

const (
	// calmStart and calmEnd are without new faults.
	calmStart = time.Second
	calmEnd   = 2 * time.Second
	// shortestGap and longestGap lie between two faults, and shortestHold and longestHold bound how long one lasts.
	shortestGap, longestGap   = 100 * time.Millisecond, 1200 * time.Millisecond
	shortestHold, longestHold = 200 * time.Millisecond, 5 * time.Second
	// notice is the time between an engine's notice and its end.
	notice = 2 * time.Second
	// failEvery is how many requests at a failing target come to one that fails.
	failEvery = 3
	// slowBy is the delay of each piece of bytes on a slow link.
	slowBy = 80 * time.Millisecond
)

// kinds are the faults, each as often as it stands here.
var kinds = []string{
	"vm_kill", "vm_stop", "vm_stop", "vm_freeze", "vm_reload", "store_cut", "store_stall", "store_slow", "zone_store_cut",
	"store_down", "store_forgets", "target_stall", "target_answers_stall", "target_slow", "target_reset", "target_cut",
	"target_leaves", "target_leaves", "target_leaves", "copies_refused", "target_fails", "target_fails", "revoke", "versions", "rolling_stop",
}

// inject draws faults and plays them, in series and overlapping, and returns when all have ended.
func (w *world) inject(ctx context.Context) {
	random := rand.New(rand.NewPCG(w.options.Seed, 1))
	var running sync.WaitGroup
	defer running.Wait()
	end := time.Now().Add(w.options.Duration - calmEnd)
	time.Sleep(calmStart)
	for time.Now().Before(end) && ctx.Err() == nil {
		kind := kinds[random.IntN(len(kinds))]
		hold := between(random, shortestHold, longestHold)
		subject := random.IntN(1 << 16)
		running.Go(func() { w.play(kind, subject, hold) })
		time.Sleep(between(random, shortestGap, longestGap))
	}
}

func between(random *rand.Rand, low, high time.Duration) time.Duration {
	return low + time.Duration(random.Int64N(int64(high-low)))
}

func (w *world) play(kind string, subject int, hold time.Duration) {
	v := w.vms[subject%len(w.vms)]
	p := w.places[subject%len(w.places)]
	switch kind {
	case "vm_kill", "vm_stop", "vm_freeze", "vm_reload":
		w.playVM(kind, v, hold)
	case "rolling_stop":
		for _, each := range w.vms {
			w.playVM("vm_stop", each, shortestHold)
		}
	case "store_cut", "store_stall", "store_slow":
		w.playStoreLink(kind, v, hold)
	case "zone_store_cut":
		var cuts sync.WaitGroup
		for _, each := range w.vms {
			if each.zone == v.zone {
				cuts.Go(func() { w.playStoreLink("store_cut", each, hold) })
			}
		}
		cuts.Wait()
	case "store_down":
		defer w.begin(kind, storeSubject)()
		w.Store.SetDown(true)
		time.Sleep(hold)
		w.Store.SetDown(false)
	case "store_forgets":
		defer w.begin(kind, storeSubject)()
		w.Store.Forget()
	case "revoke":
		w.keys.add(w, 1)
		time.Sleep(hold)
		w.keys.revokeOldest(w)
	case "versions":
		for range 8 {
			w.keys.rewrite(w)
			time.Sleep(shortestHold)
		}
	default:
		w.playTarget(kind, p, hold)
	}
}

// begin records a fault and returns what ends it.
func (w *world) begin(kind, subject string) func() {
	w.mu.Lock()
	defer w.mu.Unlock()
	index := len(w.faults)
	w.faults = append(w.faults, fault{kind: kind, subject: subject, from: time.Now()})
	return func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		w.faults[index].to = time.Now()
	}
}

func (w *world) playVM(kind string, v *vm, hold time.Duration) {
	v.Busy.Lock()
	defer v.Busy.Unlock()
	if !v.Running() {
		w.violated(Violation{Promise: "ended_by_itself", VM: v.Name})
		return
	}
	defer w.begin(kind, v.Name)()
	switch kind {
	case "vm_reload":
		v.Signal(syscall.SIGHUP)
		return
	case "vm_freeze":
		v.Signal(syscall.SIGSTOP)
		time.Sleep(hold)
		v.Signal(syscall.SIGCONT)
		return
	case "vm_kill":
		v.Kill()
	case "vm_stop":
		v.Signal(syscall.SIGTERM)
		if !v.WaitEnd(graceBound + w.options.Slack) {
			w.violated(Violation{Promise: "stop_longer_than_grace", VM: v.Name})
			v.Kill()
		}
	}
	v.inRotation.Store(false)
	time.Sleep(min(hold, time.Second))
	if err := v.Start(context.Background()); err != nil {
		w.violated(Violation{Promise: "not_ready_after_start", VM: v.Name, Detail: err.Error()})
	}
}

// disturb plays a fault of a link; the kind names it after the link's other end.
func (w *world) disturb(link *rig.Link, kind string, hold time.Duration) {
	switch kind {
	case "store_cut", "target_cut":
		link.Cut()
		time.Sleep(hold)
		w.mustRestore(link.Restore())
	case "store_stall", "target_stall":
		link.Stall()
		time.Sleep(hold)
		link.Unstall()
	case "target_answers_stall":
		link.StallAnswers()
		time.Sleep(hold)
		link.UnstallAnswers()
	case "store_slow", "target_slow":
		link.Delay(slowBy)
		time.Sleep(hold)
		link.Delay(-slowBy)
	case "target_reset":
		link.Reset()
	}
}

func (w *world) playStoreLink(kind string, v *vm, hold time.Duration) {
	defer w.begin(kind, v.Name+"/"+storeSubject)()
	w.disturb(v.store, kind, hold)
}

// mustRestore notes a fault of the harness itself: the run says nothing then.
func (w *world) mustRestore(err error) {
	if err != nil {
		w.violated(Violation{Promise: "harness_failed", Detail: err.Error()})
	}
}

func (w *world) playTarget(kind string, p *place, hold time.Duration) {
	p.busy.Lock()
	defer p.busy.Unlock()
	target := p.target.Load()
	defer w.begin(kind, target.ID)()
	switch kind {
	case "copies_refused":
		target.RefuseCopies(true)
		time.Sleep(hold)
		target.RefuseCopies(false)
	case "target_fails":
		target.FailEvery(failEvery)
		time.Sleep(hold)
		target.FailEvery(0)
	case "target_leaves":
		w.leave(p, target, hold)
	default:
		w.disturb(p.link, kind, hold)
	}
}

// leave has the target go as engines do that are taken away: after a notice, whatever runs there. Another one
// starts at its address.
func (w *world) leave(p *place, target *platformtest.Target, hold time.Duration) {
	service := w.Service(target.ID)
	w.Leave(target.ID)
	time.Sleep(notice)
	p.link.Cut()
	w.Remove(target.ID)
	time.Sleep(min(hold, time.Second))
	w.occupy(p, service)
	w.mustRestore(p.link.Restore())
}

func port(address string) string {
	_, number, err := net.SplitHostPort(address)
	if err != nil {
		panic(err) // the address is from the pool of ports
	}
	return number
}
