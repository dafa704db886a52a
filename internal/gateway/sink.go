package gateway

import (
	"bytes"
	"encoding/json"
	"net/http"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"godwitcart/internal/dispatch"
	"godwitcart/internal/request"
	"godwitcart/internal/request/cursorpb"
	"godwitcart/internal/wire/enginewire"
)

// wholeSink gathers an answer that is sent at its end, so that nothing is delivered before.
type wholeSink struct {
	text   strings.Builder
	reason enginewire.FinishReason
	tokens int
}

func (s *wholeSink) Bind(dispatch.Binding) error { return nil }

func (s *wholeSink) Token(_ int, text string) error {
	s.text.WriteString(text)
	return nil
}

func (s *wholeSink) Idle() error { return nil }

func (s *wholeSink) Finish(reason enginewire.FinishReason, tokens int) error {
	s.reason = reason
	s.tokens = tokens
	return nil
}

func (s *wholeSink) Delivered() int { return 0 }

func (s *wholeSink) Reset() { s.text.Reset() }

// The times of a caller's stream.
const (
	// callerWriteTimeout bounds the time for which a caller may leave its stream unread.
	callerWriteTimeout = 30 * time.Second
	// writeDeadlineInterval is how often the bound is moved on.
	writeDeadlineInterval = 5 * time.Second
)

// errHandedOver ends a stream whose caller was told to resume at another entry VM.
var errHandedOver = errors.New("the stream is handed over to another entry VM")

// streamSink sends an answer as server-sent events. Each event's id is a cursor.
type streamSink struct {
	gateway   *Gateway
	x         *exchange
	meta      answerMeta
	cursor    *cursorpb.Cursor
	resumable bool

	control   *http.ResponseController
	sealer    *request.StreamSealer
	before    []byte
	after     []byte
	buffer    bytes.Buffer
	encoder   *json.Encoder
	extended  time.Time
	clock     tokenClock
	begun     bool
	delivered int
}

func newStreamSink(g *Gateway, x *exchange, meta answerMeta, cursor *cursorpb.Cursor, resumable bool) *streamSink {
	s := &streamSink{gateway: g, x: x, meta: meta, cursor: cursor, resumable: resumable}
	s.clock = newTokenClock(cursor.Class, time.Now())
	s.control = http.NewResponseController(x.w)
	s.before, s.after = meta.chunkFrame()
	s.encoder = json.NewEncoder(&s.buffer)
	s.encoder.SetEscapeHTML(false)
	return s
}

func (s *streamSink) Bind(binding dispatch.Binding) error {
	s.cursor.Target = binding.Address.Name
	s.cursor.Address = binding.Address.HostPort
	s.cursor.AttemptId = binding.Attempt
	sealer, err := s.gateway.options.Sealer.Stream(s.cursor)
	s.sealer = sealer
	return err
}

func (s *streamSink) Delivered() int { return s.delivered }

func (s *streamSink) Reset() {}

func (s *streamSink) Token(index int, text string) error {
	s.buffer.Reset()
	s.writeID(index + 1)
	s.buffer.WriteString("data: ")
	s.buffer.Write(s.before)
	if err := s.encoder.Encode(text); err != nil {
		return err
	}
	s.buffer.Truncate(s.buffer.Len() - 1) // the encoder's newline
	s.buffer.Write(s.after)
	s.buffer.WriteString("\n\n")
	s.delivered++
	s.clock.tick(time.Now())
	if err := s.flush(); err != nil {
		return err
	}
	return s.checkHandOver()
}

func (s *streamSink) writeID(next int) {
	s.buffer.WriteString("id: ")
	s.buffer.Write(s.sealer.At(next))
	s.buffer.WriteByte('\n')
}

// checkHandOver ends the stream at a token boundary when this VM is stopping and the caller can
// resume at another.
func (s *streamSink) checkHandOver() error {
	if !s.resumable {
		return nil
	}
	select {
	case <-s.gateway.drain.handOver:
	default:
		return nil
	}
	s.buffer.Reset()
	s.buffer.WriteString("event: reconnect\nretry: 0\ndata: {}\n\n")
	if err := s.flush(); err != nil {
		return err
	}
	return errHandedOver
}

// Idle sends a comment, which keeps the connection alive.
func (s *streamSink) Idle() error {
	s.buffer.Reset()
	s.buffer.WriteString(": waiting\n\n")
	return s.flush()
}

func (s *streamSink) Finish(reason enginewire.FinishReason, tokens int) error {
	s.buffer.Reset()
	s.writeID(tokens)
	if err := s.writeData(s.meta.last(reason)); err != nil {
		return err
	}
	if s.meta.includeUsage {
		if err := s.writeData(s.meta.usageChunk(tokens)); err != nil {
			return err
		}
	}
	s.buffer.WriteString("data: [DONE]\n\n")
	return s.flush()
}

func (s *streamSink) writeData(value any) error {
	s.buffer.WriteString("data: ")
	if err := s.encoder.Encode(value); err != nil {
		return err
	}
	s.buffer.WriteByte('\n')
	return nil
}

func (s *streamSink) flush() error {
	s.begin()
	if now := s.now(); now.Sub(s.extended) > writeDeadlineInterval {
		s.extended = now
		_ = s.control.SetWriteDeadline(now.Add(callerWriteTimeout))
	}
	if _, err := s.x.w.Write(s.buffer.Bytes()); err != nil {
		return err
	}
	return s.control.Flush()
}

// now returns the time of the last token, which is near enough for the caller's write deadline.
func (s *streamSink) now() time.Time {
	if s.delivered > 0 {
		return s.clock.last
	}
	return time.Now()
}

func (s *streamSink) begin() {
	if s.begun {
		return
	}
	s.begun = true
	header := s.x.w.Header()
	header.Set("Content-Type", "text/event-stream")
	header.Set("Cache-Control", "no-cache")
	s.x.w.WriteHeader(http.StatusOK)
}

// end tells the caller how the stream failed, if it did. Before the first event that is an
// ordinary error answer, after it an event of the stream.
func (s *streamSink) end(err error) error {
	if err == nil || !s.begun {
		return err
	}
	if errors.Is(err, errHandedOver) {
		return errAnswerBegun
	}
	s.buffer.Reset()
	s.buffer.WriteString("event: error\n")
	typed := typedError(err)
	countError(typed.Kind)
	if encodeErr := s.writeData(newErrorBody(s.x.id, typed)); encodeErr == nil {
		_ = s.flush()
	}
	return errAnswerBegun
}
