package engine

import (
	"net/http"
	"strconv"
	"time"

	"godwitcart/internal/stand/standhttp"
	"godwitcart/internal/wire/enginewire"
)

// retryAfterSeconds is the retry delay in every refusal.
const retryAfterSeconds = 1

// Handler serves the engine API that package enginewire defines.
func (e *Engine) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+enginewire.PathCompletions, e.postCompletion)
	mux.HandleFunc("GET "+enginewire.PathAttempts+"{id}", e.getAttempt)
	mux.HandleFunc("DELETE "+enginewire.PathAttempts+"{id}", e.deleteAttempt)
	mux.HandleFunc("GET "+enginewire.PathLoad, func(w http.ResponseWriter, _ *http.Request) {
		standhttp.WriteJSON(w, http.StatusOK, e.Load())
	})
	mux.HandleFunc("GET "+enginewire.PathCacheEvents, e.getCacheEvents)
	mux.HandleFunc("POST "+enginewire.PathOrders, e.postOrder)
	return mux
}

func (e *Engine) postCompletion(w http.ResponseWriter, r *http.Request) {
	var request enginewire.GenerationRequest
	if err := standhttp.ReadJSON(w, r, &request); err != nil {
		e.refuse(w, enginewire.RefusedBadRequest)
		return
	}
	w.Header().Set(enginewire.HeaderAttempt, request.AttemptID)
	_, refused := e.submit(request, time.Now())
	if refused != "" {
		e.refuse(w, refused)
		return
	}
	if e.faults.consumeLostAnswer() {
		panic(http.ErrAbortHandler)
	}
	if a := e.attach(request.AttemptID, time.Now()); a != nil {
		e.serveStream(w, r, a, 0)
	}
}

func (e *Engine) getAttempt(w http.ResponseWriter, r *http.Request) {
	w.Header().Set(enginewire.HeaderAttempt, r.PathValue("id"))
	from, err := strconv.Atoi(r.URL.Query().Get("from"))
	if err != nil || from < 0 {
		e.refuse(w, enginewire.RefusedBadRequest)
		return
	}
	a := e.attach(r.PathValue("id"), time.Now())
	if a == nil {
		e.refuse(w, enginewire.RefusedUnknownAttempt)
		return
	}
	e.serveStream(w, r, a, from)
}

func (e *Engine) deleteAttempt(w http.ResponseWriter, r *http.Request) {
	w.Header().Set(enginewire.HeaderAttempt, r.PathValue("id"))
	if !e.cancel(r.PathValue("id"), time.Now()) {
		e.refuse(w, enginewire.RefusedUnknownAttempt)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

func (e *Engine) getCacheEvents(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	e.mu.Lock()
	events := e.cache.eventsAfter(after, time.Now().Add(-e.options.CacheEventLag))
	e.mu.Unlock()
	standhttp.WriteJSON(w, http.StatusOK, enginewire.CacheEvents{Incarnation: e.incarnation, Events: events})
}

func (e *Engine) postOrder(w http.ResponseWriter, r *http.Request) {
	var order enginewire.Order
	if err := standhttp.ReadJSON(w, r, &order); err != nil {
		e.refuse(w, enginewire.RefusedBadRequest)
		return
	}
	result, refused := e.executeOrder(r.Context(), order)
	if refused != "" {
		e.refuse(w, refused)
		return
	}
	standhttp.WriteJSON(w, http.StatusOK, result)
}

func (e *Engine) refuse(w http.ResponseWriter, kind enginewire.RefusalKind) {
	w.Header().Set(enginewire.HeaderRefused, string(kind))
	standhttp.WriteJSON(w, kind.HTTPStatus(), enginewire.Refusal{
		Kind:              kind,
		Message:           e.options.Name + " refused the call",
		RetryAfterSeconds: retryAfterSeconds,
	})
}

// ControlHandler serves the control API of the tests:
//
//	GET, POST /faults  reads or updates Faults; a POST keeps the fields that it omits
//	GET       /ran     returns Activity
//	POST      /leave   calls Leave
func (e *Engine) ControlHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /ran", func(w http.ResponseWriter, _ *http.Request) {
		standhttp.WriteJSON(w, http.StatusOK, e.Activity())
	})
	mux.HandleFunc("POST /leave", func(w http.ResponseWriter, _ *http.Request) {
		e.Leave()
		w.WriteHeader(http.StatusNoContent)
	})
	mux.HandleFunc("GET /faults", func(w http.ResponseWriter, _ *http.Request) {
		faults, _ := e.faults.get()
		standhttp.WriteJSON(w, http.StatusOK, faults)
	})
	mux.HandleFunc("POST /faults", e.postFaults)
	return mux
}

func (e *Engine) postFaults(w http.ResponseWriter, r *http.Request) {
	faults, _ := e.faults.get()
	if err := standhttp.ReadJSON(w, r, &faults); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	e.SetFaults(faults)
	standhttp.WriteJSON(w, http.StatusOK, faults)
}

// SetFaults replaces the active faults.
func (e *Engine) SetFaults(faults Faults) { e.faults.set(faults) }
