package engine

import (
	"time"

	"godwitcart/internal/wire/enginewire"
)

// promptHeadBytes is how many leading bytes of a prompt are recorded.
const promptHeadBytes = 128

// submission is one received request: an accepted attempt or, with attempt nil, the record of a refused one.
type submission struct {
	attempt       *attempt
	refusedRecord AttemptRecord
}

// AttemptRecord is the record of one submission, accepted or refused.
type AttemptRecord struct {
	RequestID string `json:"request_id"`
	AttemptID string `json:"attempt_id"`
	// PromptHead holds the first promptHeadBytes of the prompt.
	PromptHead         string `json:"prompt_head"`
	ReceivedUnixMillis int64  `json:"received_unix_millis"`
	// Refused is empty for an accepted submission.
	Refused     enginewire.RefusalKind `json:"refused,omitempty"`
	Priority    int                    `json:"priority"`
	Tokens      int                    `json:"tokens"`
	Preemptions int                    `json:"preemptions"`
	// Finished is empty while the generation is waiting or running.
	Finished enginewire.FinishReason `json:"finished,omitempty"`
}

// Activity lists all submissions and accepted orders since the engine was created.
type Activity struct {
	Target      string `json:"target"`
	Incarnation string `json:"incarnation"`
	// LeavingSinceUnixMillis is zero while the engine is not leaving.
	LeavingSinceUnixMillis int64              `json:"leaving_since_unix_millis"`
	Attempts               []AttemptRecord    `json:"attempts"`
	Orders                 []enginewire.Order `json:"orders"`
}

func newRefusedSubmission(request enginewire.GenerationRequest, refused enginewire.RefusalKind, now time.Time) *submission {
	record := newAttemptRecord(request, now)
	record.Refused = refused
	return &submission{refusedRecord: record}
}

func newAttemptRecord(request enginewire.GenerationRequest, received time.Time) AttemptRecord {
	return AttemptRecord{
		RequestID:          request.RequestID,
		AttemptID:          request.AttemptID,
		PromptHead:         promptHead(request.Prompt),
		ReceivedUnixMillis: received.UnixMilli(),
		Priority:           request.Priority,
	}
}

func promptHead(prompt string) string { return prompt[:min(len(prompt), promptHeadBytes)] }

func (s *submission) record() AttemptRecord {
	if s.attempt == nil {
		return s.refusedRecord
	}
	record := newAttemptRecord(s.attempt.request, s.attempt.receivedAt)
	record.Tokens = s.attempt.produced
	record.Preemptions = s.attempt.preemptions
	record.Finished = s.attempt.finishReason
	return record
}

// Activity returns the records of all submissions and accepted orders.
func (e *Engine) Activity() Activity {
	e.mu.Lock()
	defer e.mu.Unlock()
	activity := Activity{Target: e.options.Name, Incarnation: e.incarnation, Attempts: []AttemptRecord{}}
	if !e.leavingSince.IsZero() {
		activity.LeavingSinceUnixMillis = e.leavingSince.UnixMilli()
	}
	for _, submitted := range e.submissions {
		activity.Attempts = append(activity.Attempts, submitted.record())
	}
	activity.Orders = append([]enginewire.Order{}, e.orders.accepted...)
	return activity
}
