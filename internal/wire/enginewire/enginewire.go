// Package enginewire defines the HTTP messages that model engines exchange with
// godwitcart. All bodies are JSON; streams are server-sent events whose id is
// the token index and whose data is a TokenEvent.
package enginewire

import "net/http"

// The paths of a model engine.
const (
	// PathCompletions takes a POST of GenerationRequest and streams TokenEvent.
	PathCompletions = "/v1/completions"
	// PathAttempts, followed by an attempt id: GET with the query parameter "from" resumes the
	// stream at that token index, DELETE cancels the attempt.
	PathAttempts = "/v1/attempts/"
	// PathLoad answers a GET with LoadReport.
	PathLoad = "/v1/load"
	// PathCacheEvents answers a GET with the query parameter "after" with CacheEvents.
	PathCacheEvents = "/v1/cache/events"
	// PathOrders takes a POST of Order and answers OrderResult.
	PathOrders = "/v1/orders"
)

// The headers of calls to plain services.
const (
	// HeaderAttempt carries the attempt id of a call to a plain service.
	HeaderAttempt = "Godwitcart-Attempt"
	// HeaderRequest carries the request id of a call to any target.
	HeaderRequest = "Godwitcart-Request"
	// HeaderDeadline carries how much time is left for a call to any target, in milliseconds.
	HeaderDeadline = "Godwitcart-Deadline-Ms"
	// HeaderRefused, set to a RefusalKind by a target, states that the call did not run.
	HeaderRefused = "Godwitcart-Refused"
)

// GenerationRequest starts one attempt. An engine refuses an AttemptID that it has seen before.
type GenerationRequest struct {
	AttemptID string `json:"attempt_id"`
	RequestID string `json:"request_id"`
	Model     string `json:"model"`
	Adapter   string `json:"adapter,omitempty"`
	Version   string `json:"version,omitempty"`
	Prompt    string `json:"prompt"`
	// MaxTokens bounds the output; zero leaves it to the engine.
	MaxTokens int    `json:"max_tokens,omitempty"`
	Seed      uint64 `json:"seed,omitempty"`
	// Priority is the class priority; the higher number is preempted last.
	Priority int `json:"priority"`
}

// TokenEvent is one event of a generation's stream.
type TokenEvent struct {
	AttemptID string `json:"attempt_id"`
	// Index counts the tokens of the attempt from zero. On the last event, which has a
	// FinishReason and no text, it is the number of tokens generated.
	Index int    `json:"index"`
	Text  string `json:"text,omitempty"`
	// FinishReason is empty until the last event.
	FinishReason FinishReason `json:"finish_reason,omitempty"`
	// Preempted marks an event that carries no token and says that the attempt waits for memory.
	Preempted bool `json:"preempted,omitempty"`
}

// FinishReason tells why a generation ended.
type FinishReason string

// The reasons for which a generation ends.
const (
	FinishStop     FinishReason = "stop"
	FinishLength   FinishReason = "length"
	FinishCanceled FinishReason = "canceled"
)

// Refusal is the body of every answer that is not 2xx. A target that sends one did not run the call.
type Refusal struct {
	Kind              RefusalKind `json:"kind"`
	Message           string      `json:"message"`
	RetryAfterSeconds float64     `json:"retry_after_seconds,omitempty"`
}

// RefusalKind names why a target refused.
type RefusalKind string

// The kinds of refusal.
const (
	RefusedLeaving          RefusalKind = "leaving"
	RefusedNotLoaded        RefusalKind = "not_loaded"
	RefusedQueueFull        RefusalKind = "queue_full"
	RefusedBadRequest       RefusalKind = "bad_request"
	RefusedDuplicateAttempt RefusalKind = "duplicate_attempt"
	RefusedUnknownAttempt   RefusalKind = "unknown_attempt"
	RefusedStaleFencing     RefusalKind = "stale_fencing"
	RefusedWeightStore      RefusalKind = "weight_store"
)

// HTTPStatus returns the status code that a refusal of the kind is answered with.
func (k RefusalKind) HTTPStatus() int {
	switch k {
	case RefusedBadRequest:
		return http.StatusBadRequest
	case RefusedUnknownAttempt:
		return http.StatusNotFound
	case RefusedNotLoaded, RefusedDuplicateAttempt, RefusedStaleFencing:
		return http.StatusConflict
	case RefusedQueueFull:
		return http.StatusTooManyRequests
	default:
		return http.StatusServiceUnavailable
	}
}

// Loaded names one loaded model variant.
type Loaded struct {
	Model   string `json:"model"`
	Adapter string `json:"adapter,omitempty"`
	Version string `json:"version,omitempty"`
}

// LoadReport is an engine's lagging account of itself.
type LoadReport struct {
	Target      string `json:"target"`
	Incarnation string `json:"incarnation"`
	Leaving     bool   `json:"leaving"`
	// AsOfUnixMillis is when the figures were true, by the engine's clock.
	AsOfUnixMillis int64 `json:"as_of_unix_millis"`
	Running        int   `json:"running"`
	Waiting        int   `json:"waiting"`
	// MemoryTokens and UsedTokens give the size of the token memory and its use.
	MemoryTokens int      `json:"memory_tokens"`
	UsedTokens   int      `json:"used_tokens"`
	Preemptions  uint64   `json:"preemptions"`
	Loaded       []Loaded `json:"loaded"`
	Role         string   `json:"role"`
	// Fencing is the highest fencing number seen; zero on engines that ignore the number.
	Fencing uint64 `json:"fencing"`
}

// CacheEvents is a page of prefix cache events. A jump in Sequence is a gap.
type CacheEvents struct {
	// Incarnation tells restarts of the engine apart; sequences of two incarnations do not compare.
	Incarnation string       `json:"incarnation,omitempty"`
	Events      []CacheEvent `json:"events"`
}

// CacheEvent says that the engine stored or evicted one block of a prompt prefix.
type CacheEvent struct {
	Sequence uint64 `json:"sequence"`
	// PrefixHash is the xxhash of the prompt up to and including the block (see PrefixBlockBytes).
	PrefixHash uint64 `json:"prefix_hash"`
	Evicted    bool   `json:"evicted,omitempty"`
}

// PrefixBlockBytes is the number of prompt bytes in one block of the prefix cache.
const PrefixBlockBytes = 256

// OrderKind names what an order asks an engine to do.
type OrderKind string

// The kinds of order.
const (
	OrderLoad   OrderKind = "load"
	OrderUnload OrderKind = "unload"
	OrderRole   OrderKind = "role"
)

// Order asks an engine to change what it has loaded or its role. Orders are idempotent by ID.
type Order struct {
	ID      string    `json:"id"`
	Fencing uint64    `json:"fencing"`
	Kind    OrderKind `json:"kind"`
	Loaded
	Role string `json:"role,omitempty"`
	// DeadlineUnixMillis is the time after which the engine must not start the order.
	DeadlineUnixMillis int64 `json:"deadline_unix_millis,omitempty"`
}

// OrderResult is the answer to an order that was taken.
type OrderResult struct {
	ID   string `json:"id"`
	Done bool   `json:"done"`
}
