package engine

import (
	"time"

	"godwitcart/internal/wire/enginewire"
)

// promptHeadBytes is how much of a prompt is recorded.
const promptHeadBytes = 128

// record is one submission that arrived: an attempt, or a refusal.
type record struct {
	attempt *attempt
	refusal Attempt
}

// Attempt is the record of one submission.
type Attempt struct {
	RequestID string `json:"request_id"`
	AttemptID string `json:"attempt_id"`
	// PromptHead is the beginning of the prompt.
	PromptHead         string `json:"prompt_head"`
	ReceivedUnixMillis int64  `json:"received_unix_millis"`
	// Refused is empty for a submission that was taken.
	Refused     enginewire.RefusalKind `json:"refused,omitempty"`
	Priority    int                    `json:"priority"`
	Tokens      int                    `json:"tokens"`
	Preemptions int                    `json:"preemptions"`
	// Finished is empty while the generation goes on.
	Finished enginewire.FinishReason `json:"finished,omitempty"`
}

// Ran is what the engine did since its start.
type Ran struct {
	Target      string `json:"target"`
	Incarnation string `json:"incarnation"`
	// LeavingSinceUnixMillis is zero while the engine is not leaving.
	LeavingSinceUnixMillis int64              `json:"leaving_since_unix_millis"`
	Attempts               []Attempt          `json:"attempts"`
	Orders                 []enginewire.Order `json:"orders"`
}

func refusedRecord(request enginewire.GenerationRequest, refused enginewire.RefusalKind, now time.Time) *record {
	entry := describe(request, now)
	entry.Refused = refused
	return &record{refusal: entry}
}

func describe(request enginewire.GenerationRequest, received time.Time) Attempt {
	return Attempt{
		RequestID:          request.RequestID,
		AttemptID:          request.AttemptID,
		PromptHead:         promptHead(request.Prompt),
		ReceivedUnixMillis: received.UnixMilli(),
		Priority:           request.Priority,
	}
}

func promptHead(prompt string) string { return prompt[:min(len(prompt), promptHeadBytes)] }

func (r *record) entry() Attempt {
	if r.attempt == nil {
		return r.refusal
	}
	entry := describe(r.attempt.request, r.attempt.received)
	entry.Tokens = r.attempt.produced
	entry.Preemptions = r.attempt.preemptions
	entry.Finished = r.attempt.finished
	return entry
}

// Ran returns the records of all submissions and orders.
func (e *Engine) Ran() Ran {
	e.mu.Lock()
	defer e.mu.Unlock()
	ran := Ran{Target: e.options.Name, Incarnation: e.incarnation, Attempts: []Attempt{}}
	if !e.leaving.IsZero() {
		ran.LeavingSinceUnixMillis = e.leaving.UnixMilli()
	}
	for _, r := range e.records {
		ran.Attempts = append(ran.Attempts, r.entry())
	}
	ran.Orders = append([]enginewire.Order{}, e.orders.taken...)
	return ran
}
