package target

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"godwitcart/internal/wire/enginewire"
)

// The buffer of a stream starts at the size of a token's event and grows to the bound of any event.
const (
	firstEventBytes = 512
	maxEventBytes   = 1 << 20
)

// errIdle is the cause of a stream that was given up because nothing arrived.
var errIdle = errors.New("no event within the progress timeout")

// Stream is the running answer of one attempt. It is not safe for concurrent use.
type Stream struct {
	target string
	body   io.ReadCloser
	lines  *bufio.Scanner
	cancel context.CancelCauseFunc
	ctx    context.Context
	// idle ends the stream when nothing arrives, since links stall without breaking.
	idle     *time.Timer
	timeouts Timeouts
	// running is set while tokens arrive, and cleared when the attempt waits for memory.
	running bool
}

func newStream(ctx context.Context, cancel context.CancelCauseFunc, name string, response *http.Response, timeouts Timeouts) *Stream {
	lines := bufio.NewScanner(response.Body)
	lines.Buffer(make([]byte, 0, firstEventBytes), maxEventBytes)
	stream := &Stream{target: name, body: response.Body, lines: lines, cancel: cancel, ctx: ctx, timeouts: timeouts}
	stream.idle = time.AfterFunc(timeouts.Progress, func() { cancel(errIdle) })
	return stream
}

var dataPrefix = []byte("data:")

// Next returns the next event. It returns io.EOF when the target closed the stream after its
// last event was read, and a BrokenError when the stream broke or stalled before.
func (s *Stream) Next() (enginewire.TokenEvent, error) {
	s.idle.Reset(s.patience())
	for s.lines.Scan() {
		data, isData := bytes.CutPrefix(s.lines.Bytes(), dataPrefix)
		if !isData {
			continue
		}
		data = bytes.TrimSpace(data)
		if bytes.Equal(data, []byte("[DONE]")) {
			return enginewire.TokenEvent{}, io.EOF
		}
		return s.decode(data)
	}
	return enginewire.TokenEvent{}, s.failure()
}

func (s *Stream) patience() time.Duration {
	if s.running {
		return s.timeouts.TokenGap
	}
	return s.timeouts.Progress
}

func (s *Stream) decode(data []byte) (enginewire.TokenEvent, error) {
	var event enginewire.TokenEvent
	if err := json.Unmarshal(data, &event); err != nil {
		return event, &BrokenError{Target: s.target, cause: err}
	}
	s.running = !event.Preempted
	return event, nil
}

func (s *Stream) failure() error {
	cause := context.Cause(s.ctx)
	if cause == nil {
		cause = s.lines.Err()
	}
	if cause == nil {
		cause = io.ErrUnexpectedEOF
	}
	return &BrokenError{Target: s.target, cause: cause}
}

// Close ends the stream. It does not cancel the attempt.
func (s *Stream) Close() {
	s.idle.Stop()
	s.cancel(context.Canceled)
	s.body.Close()
}
