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
	oldVariant = enginewire.ModelVariant{Model: "m", Version: "1"}
	newVariant = enginewire.ModelVariant{Model: "m", Version: "2"}
)

type fakeTarget struct {
	loaded        []enginewire.ModelVariant
	fencing       uint64
	checksFencing bool
	// idleAt is when the last generation of a drained target ends. It is zero if the target is not
	// drained.
	idleAt   time.Time
	drainFor time.Duration
	loadFor  time.Duration
	// loading becomes loaded at loadedAt unless loadedAt is zero.
	loading  enginewire.ModelVariant
	loadedAt time.Time
	executed map[string]bool
}

// fakeService simulates a service's targets and their routing in virtual time. It is not safe for
// concurrent use.
type fakeService struct {
	names   []string
	targets map[string]*fakeTarget
	owners  map[string]string
	// dropResponses drops the response to every second order.
	dropResponses    bool
	orders           int
	unloadsWhileBusy int
	refused          int
}

func newFakeService(replicas int, checks bool) *fakeService {
	random := rand.New(rand.NewPCG(1, 2))
	s := &fakeService{targets: make(map[string]*fakeTarget), owners: make(map[string]string)}
	for i := range replicas {
		name := fmt.Sprintf("t%02d", i)
		s.names = append(s.names, name)
		s.targets[name] = &fakeTarget{
			loaded: []enginewire.ModelVariant{oldVariant}, checksFencing: checks, executed: make(map[string]bool),
			drainFor: time.Duration(5+random.IntN(55)) * time.Second,
			loadFor:  time.Duration(20+random.IntN(20)) * time.Second,
		}
	}
	return s
}

func (s *fakeService) Reports(string) []order.Report {
	var reports []order.Report
	for _, name := range s.names {
		t := s.targets[name]
		t.completeLoad()
		load := enginewire.LoadReport{Target: name, Loaded: slices.Clone(t.loaded), Running: 1}
		if !t.idleAt.IsZero() && !time.Now().Before(t.idleAt) {
			load.Running = 0
		}
		reports = append(reports, order.Report{Target: name, Load: load, ReadAt: time.Now(), Fresh: true})
	}
	return reports
}

func (s *fakeService) Owner(name string) (string, bool) {
	owner, drained := s.owners[name]
	return owner, drained
}

func (s *fakeService) SetDrained(_ context.Context, owner, name string, drained bool) error {
	t := s.targets[name]
	if !drained {
		delete(s.owners, name)
		t.idleAt = time.Time{}
		return nil
	}
	s.owners[name] = owner
	t.idleAt = time.Now().Add(t.drainFor)
	return nil
}

func (s *fakeService) Order(_ context.Context, name string, sent enginewire.Order) (enginewire.OrderResult, error) {
	s.orders++
	t := s.targets[name]
	if t.checksFencing && sent.Fencing < t.fencing {
		s.refused++
		return enginewire.OrderResult{}, &target.RefusedError{Target: name, Refusal: enginewire.Refusal{Kind: enginewire.RefusedStaleFencing}}
	}
	if !t.executed[sent.ID] {
		t.executed[sent.ID] = true
		t.fencing = max(t.fencing, sent.Fencing)
		s.apply(t, sent)
	}
	if s.dropResponses && s.orders%2 == 1 {
		return enginewire.OrderResult{}, errors.New("the answer was lost")
	}
	return enginewire.OrderResult{ID: sent.ID}, nil
}

func (s *fakeService) apply(t *fakeTarget, sent enginewire.Order) {
	if sent.Kind == enginewire.OrderUnload {
		if t.idleAt.IsZero() || time.Now().Before(t.idleAt) {
			s.unloadsWhileBusy++
		}
		t.loaded = slices.DeleteFunc(t.loaded, func(l enginewire.ModelVariant) bool { return l == sent.ModelVariant })
		return
	}
	t.loading, t.loadedAt = sent.ModelVariant, time.Now().Add(t.loadFor)
}

// completeLoad finishes the load that is due.
func (t *fakeTarget) completeLoad() {
	if t.loadedAt.IsZero() || time.Now().Before(t.loadedAt) {
		return
	}
	if !slices.Contains(t.loaded, t.loading) {
		t.loaded = append(t.loaded, t.loading)
	}
	t.loadedAt = time.Time{}
}

// servingCount returns the number of targets that accept requests.
func (s *fakeService) servingCount() int {
	serving := 0
	for _, name := range s.names {
		if _, drained := s.owners[name]; !drained && len(s.targets[name].loaded) > 0 {
			serving++
		}
	}
	return serving
}

func (s *fakeService) isRolledOut() bool {
	for _, t := range s.targets {
		if !slices.Equal(t.loaded, []enginewire.ModelVariant{newVariant}) {
			return false
		}
	}
	return len(s.owners) == 0
}
