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

// weightTimeout bounds one read of the weight store.
const weightTimeout = 5 * time.Second

// orderBook is what the engine has loaded and which orders it took. Its owner's lock guards it.
type orderBook struct {
	loaded  []enginewire.Loaded
	role    string
	fencing uint64
	// done tells of each order that was taken whether it has been carried out.
	done  map[string]bool
	taken []enginewire.Order
}

func newOrderBook(loaded []enginewire.Loaded, role string) orderBook {
	return orderBook{loaded: slices.Clone(loaded), role: role, done: make(map[string]bool)}
}

func (b *orderBook) list() []enginewire.Loaded {
	return append([]enginewire.Loaded{}, b.loaded...)
}

// serves reports whether the request's model, adapter and version are loaded; a request
// without a version takes any.
func (b *orderBook) serves(request enginewire.GenerationRequest) bool {
	return slices.ContainsFunc(b.loaded, func(loaded enginewire.Loaded) bool {
		return loaded.Model == request.Model && loaded.Adapter == request.Adapter &&
			(request.Version == "" || loaded.Version == request.Version)
	})
}

func (b *orderBook) apply(order enginewire.Order) {
	b.done[order.ID] = true
	switch order.Kind {
	case enginewire.OrderRole:
		b.role = order.Role
	case enginewire.OrderUnload:
		b.loaded = slices.DeleteFunc(b.loaded, func(l enginewire.Loaded) bool { return l == order.Loaded })
	case enginewire.OrderLoad:
		if !slices.Contains(b.loaded, order.Loaded) {
			b.loaded = append(b.loaded, order.Loaded)
		}
	}
}

// take carries out an order, or says why it does not. Loads go on after the answer.
func (e *Engine) take(ctx context.Context, order enginewire.Order) (enginewire.OrderResult, enginewire.RefusalKind) {
	result, known, refused := e.checkOrder(order, time.Now())
	if known || refused != "" {
		return result, refused
	}
	if order.Kind != enginewire.OrderLoad {
		return e.accept(order, e.applyOrder)
	}
	if err := e.readWeights(ctx, order.Loaded); err != nil {
		return enginewire.OrderResult{}, enginewire.RefusedWeightStore
	}
	return e.accept(order, func(order enginewire.Order) {
		time.AfterFunc(e.options.LoadTime, func() {
			e.mu.Lock()
			defer e.mu.Unlock()
			e.applyOrder(order)
		})
	})
}

func (e *Engine) applyOrder(order enginewire.Order) { e.orders.apply(order) }

// checkOrder answers an order that was taken before and refuses one that must not start.
func (e *Engine) checkOrder(order enginewire.Order, now time.Time) (enginewire.OrderResult, bool, enginewire.RefusalKind) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if done, known := e.orders.done[order.ID]; known {
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
	if e.options.ChecksFencing && order.Fencing < e.orders.fencing {
		return enginewire.RefusedStaleFencing
	}
	return ""
}

// accept records the order and starts it; the fencing number and the deadline are checked
// again because a read of the weight store may have come between.
func (e *Engine) accept(order enginewire.Order, start func(enginewire.Order)) (enginewire.OrderResult, enginewire.RefusalKind) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if refused := e.orderRefusal(order, time.Now()); refused != "" {
		return enginewire.OrderResult{}, refused
	}
	if _, known := e.orders.done[order.ID]; !known {
		e.orders.done[order.ID] = false
		e.orders.taken = append(e.orders.taken, order)
		e.orders.fencing = max(e.orders.fencing, order.Fencing)
		start(order)
	}
	return enginewire.OrderResult{ID: order.ID, Done: e.orders.done[order.ID]}, ""
}

// readWeights asks the platform's weight store, when there is one.
func (e *Engine) readWeights(ctx context.Context, loaded enginewire.Loaded) error {
	if e.options.Weights == "" {
		return nil
	}
	body, err := json.Marshal(platformwire.WeightRequest(loaded))
	if err != nil {
		return errors.Wrap(err, "encode the weight request")
	}
	ctx, cancel := context.WithTimeout(ctx, weightTimeout)
	defer cancel()
	url := e.options.Weights + platformwire.PathWeights
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
		return errors.Newf("the weight store answered %s", response.Status)
	}
	return nil
}
