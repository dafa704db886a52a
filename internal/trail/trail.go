// Package trail remembers what was decided about recent requests, so that operators can ask a running process
// for the same lines that its log holds.
package trail

import (
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"
)

const (
	// keptRequests is the number of requests that are remembered: about a minute of one VM's, in 1 MB at most.
	keptRequests = 1024
	// keptSteps bounds the steps of one request; the first ones are kept, which tell how it was placed, and the last.
	keptSteps = 24
)

// Step is one decision about a request.
type Step struct {
	At      time.Time
	Message string
	// Detail holds the inputs of the decision and its outcome as key=value.
	Detail string
}

// Book holds the steps of recent requests; the oldest request goes first. It is safe for concurrent use.
type Book struct {
	mu    sync.Mutex
	steps map[string][]note
	// order is a ring of the ids in the order of their first steps; next is where the following one goes.
	order []string
	next  int
}

// note is a step whose detail is written only when it is asked for.
type note struct {
	at      time.Time
	message string
	fields  []any
}

// New returns an empty Book.
func New() *Book {
	return &Book{steps: make(map[string][]note), order: make([]string, keptRequests)}
}

// Note records a step of the request. The fields are keys and values in turn; they must not change later.
func (b *Book) Note(id string, at time.Time, message string, fields []any) {
	b.mu.Lock()
	defer b.mu.Unlock()
	known, found := b.steps[id]
	if !found {
		delete(b.steps, b.order[b.next])
		b.order[b.next] = id
		b.next = (b.next + 1) % len(b.order)
	}
	if len(known) == keptSteps {
		known = known[:keptSteps-1]
	}
	b.steps[id] = append(known, note{at: at, message: message, fields: fields})
}

// Find returns the steps of the request in their order.
func (b *Book) Find(id string) ([]Step, bool) {
	b.mu.Lock()
	notes := slices.Clone(b.steps[id])
	b.mu.Unlock()
	steps := make([]Step, 0, len(notes))
	for _, n := range notes {
		steps = append(steps, Step{At: n.at, Message: n.message, Detail: detail(n.fields)})
	}
	return steps, len(steps) > 0
}

func detail(fields []any) string {
	var text strings.Builder
	for i := 0; i+1 < len(fields); i += 2 {
		if i > 0 {
			text.WriteByte(' ')
		}
		fmt.Fprintf(&text, "%v=%v", fields[i], fields[i+1])
	}
	return text.String()
}
