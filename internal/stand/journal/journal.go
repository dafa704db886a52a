// Package journal is the record of what a stand-in target ran, one JSON line an event. A
// journal in a file outlives the SIGKILL of its writer.
package journal

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"
	"os"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"godwitcart/internal/wire/enginewire"
)

// Event names what happened.
type Event string

// The events of a target.
const (
	// EventTaken says that the target accepted a call, EventRefused that it did not.
	EventTaken   Event = "taken"
	EventRefused Event = "refused"
	// EventStarted says that a call's work began: a service runs it, an engine made its first token.
	EventStarted Event = "started"
	// EventLeaving says that the target began to leave.
	EventLeaving Event = "leaving"
)

// Entry is one line.
type Entry struct {
	Event       Event  `json:"event"`
	Target      string `json:"target"`
	Incarnation string `json:"incarnation"`
	UnixNanos   int64  `json:"unix_nanos"`
	RequestID   string `json:"request_id,omitempty"`
	AttemptID   string `json:"attempt_id,omitempty"`
	// Head is the beginning of the prompt or body.
	Head    string                 `json:"head,omitempty"`
	Refused enginewire.RefusalKind `json:"refused,omitempty"`
}

// At is when the event happened.
func (e Entry) At() time.Time { return time.Unix(0, e.UnixNanos) }

// Writer appends entries of one incarnation of a target. A nil Writer drops them.
type Writer struct {
	target, incarnation string
	mu                  sync.Mutex
	out                 io.Writer
}

// NewWriter returns a writer; it is nil when out is nil.
func NewWriter(out io.Writer, target, incarnation string) *Writer {
	if out == nil {
		return nil
	}
	return &Writer{target: target, incarnation: incarnation, out: out}
}

// Append writes the entry with the writer's target and incarnation, before it returns.
func (w *Writer) Append(entry Entry, at time.Time) {
	if w == nil {
		return
	}
	entry.Target, entry.Incarnation, entry.UnixNanos = w.target, w.incarnation, at.UnixNano()
	// The type always encodes.
	line, _ := json.Marshal(entry)
	w.mu.Lock()
	defer w.mu.Unlock()
	_, _ = w.out.Write(append(line, '\n'))
}

// Open opens the file for appending; an empty path gives no file.
func Open(path string) (io.Writer, error) {
	if path == "" {
		return nil, nil
	}
	file, err := os.OpenFile(path, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	return file, errors.Wrap(err, "open the journal")
}

// Read returns the entries of a file. A last line that broke off is left out.
func Read(path string) ([]Entry, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "read the journal")
	}
	var entries []Entry
	lines := bufio.NewReader(bytes.NewReader(data))
	for {
		line, err := lines.ReadBytes('\n')
		if err != nil {
			return entries, nil
		}
		var entry Entry
		if err := json.Unmarshal(line, &entry); err != nil {
			return nil, errors.Wrapf(err, "parse %s", path)
		}
		entries = append(entries, entry)
	}
}
