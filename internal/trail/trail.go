// Package trail records the decisions made for recent requests in memory, so that operators can query a running
// process for the same lines that its log contains.
package trail

import (
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"
)

const (
	// maxRequests is the number of recorded requests: about one minute of one VM's requests, in at most 1 MB.
	maxRequests = 1024
	// maxStepsPerRequest bounds the steps of one request. The first ones, which show how it was placed, and the last
	// one are kept.
	maxStepsPerRequest = 24
)

// Step is one decision about a request.
type Step struct {
	At      time.Time
	Message string
	// Detail holds the inputs and the outcome of the decision as space-separated key=value pairs.
	Detail string
}

// Recorder holds the steps of recent requests and evicts the oldest request first. It is safe for concurrent use.
type Recorder struct {
	mu    sync.Mutex
	steps map[string][]unformattedStep
	// requestIDs is a ring buffer of request ids in the order of their first steps; nextIndex is the position of the
	// next write.
	requestIDs []string
	nextIndex  int
}

// unformattedStep is a step whose detail is formatted only when it is read.
type unformattedStep struct {
	at      time.Time
	message string
	fields  []any
}

// New returns an empty Recorder.
func New() *Recorder {
	return &Recorder{steps: make(map[string][]unformattedStep), requestIDs: make([]string, maxRequests)}
}

// Record adds a step of the request. The fields are alternating keys and values; the caller must not modify them
// afterwards.
func (r *Recorder) Record(id string, at time.Time, message string, fields []any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	steps, found := r.steps[id]
	if !found {
		delete(r.steps, r.requestIDs[r.nextIndex])
		r.requestIDs[r.nextIndex] = id
		r.nextIndex = (r.nextIndex + 1) % len(r.requestIDs)
	}
	if len(steps) == maxStepsPerRequest {
		steps = steps[:maxStepsPerRequest-1]
	}
	r.steps[id] = append(steps, unformattedStep{at: at, message: message, fields: fields})
}

// Steps returns the steps of the request in order, and whether there are any.
func (r *Recorder) Steps(id string) ([]Step, bool) {
	r.mu.Lock()
	recorded := slices.Clone(r.steps[id])
	r.mu.Unlock()
	steps := make([]Step, 0, len(recorded))
	for _, step := range recorded {
		steps = append(steps, Step{At: step.at, Message: step.message, Detail: formatFields(step.fields)})
	}
	return steps, len(steps) > 0
}

func formatFields(fields []any) string {
	var text strings.Builder
	for i := 0; i+1 < len(fields); i += 2 {
		if i > 0 {
			text.WriteByte(' ')
		}
		fmt.Fprintf(&text, "%v=%v", fields[i], fields[i+1])
	}
	return text.String()
}
