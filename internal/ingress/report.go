package ingress

import (
	"sync"
	"time"

	"github.com/charmbracelet/log"
	"github.com/rcrowley/go-metrics"
)

// cause is why a client was refused or its connection closed; its value is the name of the counter.
type cause string

const (
	closedForMemory   cause = "ingress.closed_for_memory"
	closedForPlace    cause = "ingress.closed_for_descriptors"
	closedSlow        cause = "ingress.closed_slow"
	closedLateHead    cause = "ingress.closed_late_head"
	closedLateBody    cause = "ingress.closed_late_body"
	closedIdle        cause = "ingress.closed_idle"
	closedHandshake   cause = "ingress.closed_handshake"
	closedDesync      cause = "ingress.closed_unread_body"
	refusedConnection cause = "ingress.refused_connections"
	refusedForMemory  cause = "ingress.refused_for_memory"
	refusedHead       cause = "ingress.refused_large_heads"
	refusedFraming    cause = "ingress.refused_framing"
)

// causes are all of them; their counters exist from the start.
var causes = []cause{
	closedForMemory, closedForPlace, closedSlow, closedLateHead, closedLateBody, closedIdle, closedHandshake, closedDesync,
	refusedConnection, refusedForMemory, refusedHead, refusedFraming,
}

// messages are the log lines. Causes without one are counted only: sound clients meet them.
var messages = map[cause]string{
	closedForMemory:   "connection closed: its client holds most memory or has been longest without progress, and others need it",
	closedForPlace:    "connection closed: it has been longest without progress, and all connections of the listener are taken",
	closedSlow:        "connection closed: its client has sent less than the least rate, and others need its memory or its place",
	closedLateHead:    "connection closed: the head did not end in time",
	closedLateBody:    "request given up: its body paused for too long",
	closedHandshake:   "connection closed: the TLS handshake did not end in time",
	closedDesync:      "connection closed: the next request began before the body of the last one had ended",
	refusedConnection: "connection refused",
	refusedForMemory:  "request refused: there is no memory for its head",
	refusedHead:       "request refused: the head exceeds the limit",
	refusedFraming:    "request refused: the head states the length of the body in more than one way",
}

// logInterval is the least time between two log lines of a listener with the same cause.
const logInterval = time.Second

// reporter counts and logs what a listener refuses. It is safe for concurrent use.
type reporter struct {
	listener string
	logger   *log.Logger
	mu       sync.Mutex
	lines    map[cause]*lineState
}

type lineState struct {
	loggedAt time.Time
	// unlogged is the number of events since the last line.
	unlogged int
}

func newReporter(listener string, logger *log.Logger) *reporter {
	for _, c := range causes {
		metrics.GetOrRegisterCounter(string(c), nil)
	}
	return &reporter{listener: listener, logger: logger, lines: make(map[cause]*lineState)}
}

// count counts the event and logs it, unless a line with its cause was logged just before. reason adds to the cause, and extra
// are more keys and values of the line.
func (r *reporter) count(c cause, reason string, held int64, silent time.Duration, extra ...any) {
	metrics.GetOrRegisterCounter(string(c), nil).Inc(1)
	message, isLogged := messages[c]
	if !isLogged {
		return
	}
	if events, isDue := r.due(c); isDue {
		pairs := append([]any{"listener", r.listener, "reason", reason, "held_bytes", held, "silent_ms", silent.Milliseconds(), "events", events}, extra...)
		r.logger.Info(message, pairs...)
	}
}

// due returns the number of events since the last line, and whether there is to be another line.
func (r *reporter) due(c cause) (events int, isDue bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	state := r.lines[c]
	if state == nil {
		state = &lineState{}
		r.lines[c] = state
	}
	state.unlogged++
	if now := time.Now(); now.Sub(state.loggedAt) >= logInterval {
		events, state.unlogged, state.loggedAt = state.unlogged, 0, now
		return events, true
	}
	return 0, false
}
