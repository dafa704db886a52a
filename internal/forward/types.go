// Package forward drives callers' requests to the targets of their routes and brings the answers back.
//
// Invariants: a request that may run once is sent again only when the target has stated that it did not run;
// "not run" is answered only when no target can have run the request; an answer reaches its caller whole and
// from one run, or ends so that it cannot look complete; a stream's events arrive in order, each once, also
// where its generation goes on at another target.
package forward

import (
	"context"
	"net/http"
	"time"

	"godwitcart/internal/roster"
)

// Call is one attempt of a caller, as its codec has read it.
type Call struct {
	// ID names the caller's attempt; every attempt has its own.
	ID     string
	Method string
	Host   string
	// Path is the path without the query; URI is both, as the caller sent them.
	Path string
	URI  string
	// Key is the API key; empty where the caller sent none.
	Key string
	// Patience is how long the caller will wait; zero where it does not say.
	Patience time.Duration
	Prompt   Prompt
	// LastEventID is the last event of the stream that the caller has received; empty at its start.
	LastEventID string
	// Header holds what is passed on, without what concerns one connection and what the system sets.
	Header http.Header
	Body   []byte
}

// Prompt describes what a generation reads and may write.
type Prompt struct {
	// Tokens is the length of the prompt; zero where the request is no generation.
	Tokens int
	// MaxOutput bounds the output in tokens.
	MaxOutput int
}

// Send describes one sending of a call to a target.
type Send struct {
	Target roster.Target
	// Account is the client account that is named to the target; empty where the call has none.
	Account string
	// Left is the time that the target has for the call.
	Left time.Duration
	// Priority orders work at engines; zero is first.
	Priority int
	// LastEventID is the event after which the target goes on; empty for the start.
	LastEventID string
	// From is where the memory of the generation is that goes on; nil for a start from the prompt.
	From *Memory
	// BackupAddress is the engine that keeps a growing copy of the generation's memory; empty for none.
	BackupAddress string
}

// Memory names the memory of a generation that has stopped or that another engine has a copy of.
type Memory struct {
	// Address is host:port of the engine that has handed it out.
	Address string
	Handle  string
}

// Verdict is what the head of an answer states.
type Verdict struct {
	// NotRun says that the target did not run the call.
	NotRun bool
	// OtherTarget says that another target has the address now.
	OtherTarget bool
	// Foreign says that the answer belongs to another request, or is not the target's own.
	Foreign bool
}

// Codec translates between HTTP messages and calls.
type Codec interface {
	// ParseCall reads the head of a caller's request. Its error is an *apierror.Error.
	ParseCall(request *http.Request) (*Call, error)
	// NewRequest returns the request that is sent to a target.
	NewRequest(call *Call, send Send) *http.Request
	// Judge reads the head of a target's answer to the call.
	Judge(call *Call, answer *http.Response) Verdict
	// AnswerHeader returns the part of an answer's header that is for the caller.
	AnswerHeader(answer http.Header) http.Header
}

// Copied is the result of copying a generation.
type Copied struct {
	// Memory is what a continuation names.
	Memory Memory
	// Refused says that the destination had no room or could not be reached.
	Refused bool
	// Unknown says that the source runs no such generation.
	Unknown bool
}

// Mover copies running generations between engines.
type Mover interface {
	// Copy copies the memory of the generation that the engine at source runs under the call's id. With
	// stop, the generation ends at the source, and goes on wherever its memory is named.
	Copy(ctx context.Context, source, id, destination string, stop bool) (Copied, error)
	// Drop frees memory that nobody goes on from.
	Drop(ctx context.Context, memory Memory) error
}
