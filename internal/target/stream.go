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

// The buffer of a stream has the size of a typical token event at first and grows up to the largest permitted event.
const (
	initialEventBytes = 512
	maxEventBytes     = 1 << 20
)

// errIdleTimeout is the cause when a stream is canceled because no event arrived.
var errIdleTimeout = errors.New("no event within the progress timeout")

// IsIdle reports whether the stream was given up because no event arrived, while its target kept it open.
func IsIdle(err error) bool { return errors.Is(err, errIdleTimeout) }

// Stream reads the events of one attempt. It is not safe for concurrent use.
type Stream struct {
	target string
	body   io.ReadCloser
	lines  *bufio.Scanner
	cancel context.CancelCauseFunc
	ctx    context.Context
	// idleTimer cancels the stream when no event arrives, because a link can stall without the connection closing.
	idleTimer *time.Timer
	timeouts  Timeouts
	// running is set while tokens arrive and cleared when the attempt is preempted and waits for memory.
	running bool
}

func newStream(ctx context.Context, cancel context.CancelCauseFunc, name string, response *http.Response, timeouts Timeouts) *Stream {
	lines := bufio.NewScanner(response.Body)
	lines.Buffer(make([]byte, 0, initialEventBytes), maxEventBytes)
	stream := &Stream{target: name, body: response.Body, lines: lines, cancel: cancel, ctx: ctx, timeouts: timeouts}
	stream.idleTimer = time.AfterFunc(timeouts.Progress, func() { cancel(errIdleTimeout) })
	return stream
}

var dataPrefix = []byte("data:")

// Next returns the next event. It returns io.EOF at the end marker of the stream, and an UnknownOutcomeError if the
// stream was interrupted or stalled before it.
func (s *Stream) Next() (enginewire.TokenEvent, error) {
	s.idleTimer.Reset(s.idleTimeout())
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
	return enginewire.TokenEvent{}, s.terminalError()
}

func (s *Stream) idleTimeout() time.Duration {
	if s.running {
		return s.timeouts.TokenGap
	}
	return s.timeouts.Progress
}

func (s *Stream) decode(data []byte) (enginewire.TokenEvent, error) {
	var event enginewire.TokenEvent
	if err := json.Unmarshal(data, &event); err != nil {
		return event, &UnknownOutcomeError{Target: s.target, cause: err}
	}
	s.running = !event.Preempted
	return event, nil
}

func (s *Stream) terminalError() error {
	cause := context.Cause(s.ctx)
	if cause == nil {
		cause = s.lines.Err()
	}
	if cause == nil {
		cause = io.ErrUnexpectedEOF
	}
	return &UnknownOutcomeError{Target: s.target, cause: cause}
}

// Close ends the stream. It does not cancel the attempt.
func (s *Stream) Close() {
	s.idleTimer.Stop()
	s.cancel(context.Canceled)
	s.body.Close()
}
