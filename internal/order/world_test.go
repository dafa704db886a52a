package order_test

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"godwitcart/internal/order"
	"godwitcart/internal/target"
	"godwitcart/internal/wire/enginewire"
)

var (
	oldVariant = enginewire.Loaded{Model: "m", Version: "1"}
	newVariant = enginewire.Loaded{Model: "m", Version: "2"}
)

// engine is a fake target.
type engine struct {
	loaded  []enginewire.Loaded
	fencing uint64
	checks  bool
	// idleAt is when the last generation ends once the target is drained; zero while it is used.
	idleAt   time.Time
	drainFor time.Duration
	loadFor  time.Duration
	// loading is loaded at loadedAt, unless that is zero.
	loading  enginewire.Loaded
	loadedAt time.Time
	seen     map[string]bool
}

// world is a service's fake targets with routing, in virtual time, used by one goroutine.
type world struct {
	names   []string
	engines map[string]*engine
	owners  map[string]string
	// lose drops the answers of every second order.
	lose    bool
	orders  int
	cut     int
	refused int
}

func newWorld(replicas int, checks bool) *world {
	random := rand.New(rand.NewPCG(1, 2))
	w := &world{engines: make(map[string]*engine), owners: make(map[string]string)}
	for i := range replicas {
		name := fmt.Sprintf("t%02d", i)
		w.names = append(w.names, name)
		w.engines[name] = &engine{
			loaded: []enginewire.Loaded{oldVariant}, checks: checks, seen: make(map[string]bool),
			drainFor: time.Duration(5+random.IntN(55)) * time.Second,
			loadFor:  time.Duration(20+random.IntN(20)) * time.Second,
		}
	}
	return w
}

func (w *world) Reports(string) []order.Report {
	var reports []order.Report
	for _, name := range w.names {
		e := w.engines[name]
		e.settle()
		load := enginewire.LoadReport{Target: name, Loaded: slices.Clone(e.loaded), Running: 1}
		if !e.idleAt.IsZero() && !time.Now().Before(e.idleAt) {
			load.Running = 0
		}
		reports = append(reports, order.Report{Target: name, Load: load, ReadAt: time.Now(), Fresh: true})
	}
	return reports
}

func (w *world) Owner(name string) (string, bool) {
	owner, drained := w.owners[name]
	return owner, drained
}

func (w *world) SetDrained(_ context.Context, owner, name string, drained bool) error {
	e := w.engines[name]
	if !drained {
		delete(w.owners, name)
		e.idleAt = time.Time{}
		return nil
	}
	w.owners[name] = owner
	e.idleAt = time.Now().Add(e.drainFor)
	return nil
}

func (w *world) Order(_ context.Context, name string, sent enginewire.Order) (enginewire.OrderResult, error) {
	w.orders++
	e := w.engines[name]
	if e.checks && sent.Fencing < e.fencing {
		w.refused++
		return enginewire.OrderResult{}, &target.RefusedError{Target: name, Refusal: enginewire.Refusal{Kind: enginewire.RefusedStaleFencing}}
	}
	if !e.seen[sent.ID] {
		e.seen[sent.ID] = true
		e.fencing = max(e.fencing, sent.Fencing)
		w.apply(e, sent)
	}
	if w.lose && w.orders%2 == 1 {
		return enginewire.OrderResult{}, errors.New("answer lost")
	}
	return enginewire.OrderResult{ID: sent.ID}, nil
}

func (w *world) apply(e *engine, sent enginewire.Order) {
	if sent.Kind == enginewire.OrderUnload {
		if e.idleAt.IsZero() || time.Now().Before(e.idleAt) {
			w.cut++
		}
		e.loaded = slices.DeleteFunc(e.loaded, func(l enginewire.Loaded) bool { return l == sent.Loaded })
		return
	}
	e.loading, e.loadedAt = sent.Loaded, time.Now().Add(e.loadFor)
}

// settle ends the loads whose time has come.
func (e *engine) settle() {
	if e.loadedAt.IsZero() || time.Now().Before(e.loadedAt) {
		return
	}
	if !slices.Contains(e.loaded, e.loading) {
		e.loaded = append(e.loaded, e.loading)
	}
	e.loadedAt = time.Time{}
}

// capacity is the number of targets that take requests.
func (w *world) capacity() int {
	serving := 0
	for _, name := range w.names {
		if _, drained := w.owners[name]; !drained && len(w.engines[name].loaded) > 0 {
			serving++
		}
	}
	return serving
}

func (w *world) finished() bool {
	for _, e := range w.engines {
		if !slices.Equal(e.loaded, []enginewire.Loaded{newVariant}) {
			return false
		}
	}
	return len(w.owners) == 0
}
