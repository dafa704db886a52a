// Package journal records what a stand-in target ran, as one JSON line per event. Each line is written to the file
// before the target continues, so the entries survive a SIGKILL of the target.
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

// Event identifies the kind of an entry.
type Event string

// The events of a target.
const (
	// EventAccepted means that the target accepted a call, EventRefused that it refused one.
	EventAccepted Event = "taken"
	EventRefused  Event = "refused"
	// EventStarted means that the work of a call started: a service began to run it, or an engine produced its first
	// token.
	EventStarted Event = "started"
	// EventLeaving means that the target started leaving.
	EventLeaving Event = "leaving"
)

// Entry is one line of the journal.
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

// At returns the time of the event.
func (e Entry) At() time.Time { return time.Unix(0, e.UnixNanos) }

// Writer appends the entries of one incarnation of a target, that is, of one process. A nil Writer discards them.
type Writer struct {
	target, incarnation string
	mu                  sync.Mutex
	out                 io.Writer
}

// NewWriter returns a Writer that writes to out, or nil if out is nil.
func NewWriter(out io.Writer, target, incarnation string) *Writer {
	if out == nil {
		return nil
	}
	return &Writer{target: target, incarnation: incarnation, out: out}
}

// Append sets the entry's target, incarnation and time and writes it before it returns. It ignores write errors.
func (w *Writer) Append(entry Entry, at time.Time) {
	if w == nil {
		return
	}
	entry.Target, entry.Incarnation, entry.UnixNanos = w.target, w.incarnation, at.UnixNano()
	// Encoding this type can't fail.
	line, _ := json.Marshal(entry)
	w.mu.Lock()
	defer w.mu.Unlock()
	_, _ = w.out.Write(append(line, '\n'))
}

// Open opens the file for appending, and creates it if necessary. It returns nil for an empty path.
func Open(path string) (io.Writer, error) {
	if path == "" {
		return nil, nil
	}
	file, err := os.OpenFile(path, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	return file, errors.Wrap(err, "open the journal")
}

// Read returns the entries of a file. It ignores an incomplete last line, which a killed writer may leave.
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
