package engine

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"godwitcart/internal/wire/enginewire"
	"godwitcart/internal/wire/platformwire"
)

// weightStoreTimeout bounds one read of the weight store.
const weightStoreTimeout = 5 * time.Second

// orderState holds the loaded models, the role and the accepted orders. Engine.mu guards it.
type orderState struct {
	loaded         []enginewire.ModelVariant
	role           string
	highestFencing uint64
	// doneByID holds, for each accepted order, whether it has been carried out.
	doneByID map[string]bool
	accepted []enginewire.Order
}

func newOrderState(loaded []enginewire.ModelVariant, role string) orderState {
	return orderState{loaded: slices.Clone(loaded), role: role, doneByID: make(map[string]bool)}
}

func (s *orderState) listLoaded() []enginewire.ModelVariant {
	return append([]enginewire.ModelVariant{}, s.loaded...)
}

// hasLoaded reports whether the request's model, adapter and version are loaded. A request without a version matches
// every version.
func (s *orderState) hasLoaded(request enginewire.GenerationRequest) bool {
	return slices.ContainsFunc(s.loaded, func(loaded enginewire.ModelVariant) bool {
		return loaded.Model == request.Model && loaded.Adapter == request.Adapter &&
			(request.Version == "" || loaded.Version == request.Version)
	})
}

func (s *orderState) apply(order enginewire.Order) {
	s.doneByID[order.ID] = true
	switch order.Kind {
	case enginewire.OrderRole:
		s.role = order.Role
	case enginewire.OrderUnload:
		s.loaded = slices.DeleteFunc(s.loaded, func(l enginewire.ModelVariant) bool { return l == order.ModelVariant })
	case enginewire.OrderLoad:
		if !slices.Contains(s.loaded, order.ModelVariant) {
			s.loaded = append(s.loaded, order.ModelVariant)
		}
	}
}

// executeOrder carries out an order or returns the kind of refusal. A load completes Options.LoadTime after the order
// has been accepted, so its result is not yet done.
func (e *Engine) executeOrder(ctx context.Context, order enginewire.Order) (enginewire.OrderResult, enginewire.RefusalKind) {
	result, duplicate, refused := e.checkOrder(order, time.Now())
	if duplicate || refused != "" {
		return result, refused
	}
	if order.Kind != enginewire.OrderLoad {
		return e.acceptOrder(order, e.applyOrder)
	}
	if err := e.readWeights(ctx, order.ModelVariant); err != nil {
		return enginewire.OrderResult{}, enginewire.RefusedWeightStore
	}
	return e.acceptOrder(order, func(order enginewire.Order) {
		time.AfterFunc(e.options.LoadTime, func() {
			e.mu.Lock()
			defer e.mu.Unlock()
			e.applyOrder(order)
		})
	})
}

func (e *Engine) applyOrder(order enginewire.Order) { e.orders.apply(order) }

// checkOrder returns the result and true for an order that was accepted earlier. For a new order it returns false and
// the kind of refusal, if it is to be refused.
func (e *Engine) checkOrder(order enginewire.Order, now time.Time) (enginewire.OrderResult, bool, enginewire.RefusalKind) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if done, known := e.orders.doneByID[order.ID]; known {
		return enginewire.OrderResult{ID: order.ID, Done: done}, true, ""
	}
	return enginewire.OrderResult{}, false, e.orderRefusal(order, now)
}

func (e *Engine) orderRefusal(order enginewire.Order, now time.Time) enginewire.RefusalKind {
	kinds := []enginewire.OrderKind{enginewire.OrderLoad, enginewire.OrderUnload, enginewire.OrderRole}
	if order.ID == "" || !slices.Contains(kinds, order.Kind) {
		return enginewire.RefusedBadRequest
	}
	if order.DeadlineUnixMillis > 0 && now.UnixMilli() > order.DeadlineUnixMillis {
		return enginewire.RefusedBadRequest
	}
	if e.options.ChecksFencing && order.Fencing < e.orders.highestFencing {
		return enginewire.RefusedStaleFencing
	}
	return ""
}

// acceptOrder records the order and starts it. It checks the fencing number and the deadline again, because the lock
// is released during the read of the weight store.
func (e *Engine) acceptOrder(order enginewire.Order, start func(enginewire.Order)) (enginewire.OrderResult, enginewire.RefusalKind) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if refused := e.orderRefusal(order, time.Now()); refused != "" {
		return enginewire.OrderResult{}, refused
	}
	if _, known := e.orders.doneByID[order.ID]; !known {
		e.orders.doneByID[order.ID] = false
		e.orders.accepted = append(e.orders.accepted, order)
		e.orders.highestFencing = max(e.orders.highestFencing, order.Fencing)
		start(order)
	}
	return enginewire.OrderResult{ID: order.ID, Done: e.orders.doneByID[order.ID]}, ""
}

// readWeights reads the variant from the platform's weight store, whose rate limit also limits how many loads start. It
// does nothing when no store is configured.
func (e *Engine) readWeights(ctx context.Context, variant enginewire.ModelVariant) error {
	if e.options.WeightsURL == "" {
		return nil
	}
	body, err := json.Marshal(platformwire.WeightRequest(variant))
	if err != nil {
		return errors.Wrap(err, "encode the weight request")
	}
	ctx, cancel := context.WithTimeout(ctx, weightStoreTimeout)
	defer cancel()
	url := e.options.WeightsURL + platformwire.PathWeights
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return errors.Wrap(err, "build the weight request")
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return errors.Wrap(err, "read the weight store")
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return errors.Newf("the weight store responded with status %s", response.Status)
	}
	return nil
}
