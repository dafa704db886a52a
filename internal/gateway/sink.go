package gateway

import (
	"bytes"
	"encoding/json"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"godwitcart/internal/apierror"
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

// keepAliveInterval is the longest silence of a stream. A request that waits for longer has its answer
// begun by a comment, so that its caller and what is between can tell waiting from a dead connection.
const keepAliveInterval = 3 * time.Second

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

	// mu guards what follows and every write: the keep-alive comes from a goroutine of its own.
	mu        sync.Mutex
	keepAlive *time.Timer
	wrote     time.Time
	ended     bool
}

func newStreamSink(g *Gateway, x *exchange, meta answerMeta, cursor *cursorpb.Cursor, resumable bool) *streamSink {
	s := &streamSink{gateway: g, x: x, meta: meta, cursor: cursor, resumable: resumable}
	s.clock = newTokenClock(cursor.Class, time.Now())
	s.control = http.NewResponseController(x.w)
	s.before, s.after = meta.chunkFrame()
	s.encoder = json.NewEncoder(&s.buffer)
	s.encoder.SetEscapeHTML(false)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.wrote = time.Now()
	s.keepAlive = time.AfterFunc(keepAliveInterval, s.breakSilence)
	return s
}

// breakSilence sends a comment when nothing was sent for keepAliveInterval.
func (s *streamSink) breakSilence() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ended {
		return
	}
	silence := time.Since(s.wrote)
	if silence < keepAliveInterval {
		s.keepAlive.Reset(keepAliveInterval - silence)
		return
	}
	// A caller that is gone is noticed by its next token or by its context.
	_ = s.send([]byte(waitingComment))
	s.keepAlive.Reset(keepAliveInterval)
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

// waitingComment is ignored by readers of server-sent events.
const waitingComment = ": waiting\n\n"

// Idle sends a comment, which keeps the connection alive.
func (s *streamSink) Idle() error {
	s.buffer.Reset()
	s.buffer.WriteString(waitingComment)
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

// flush sends the buffer.
func (s *streamSink) flush() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.send(s.buffer.Bytes())
}

// send is called with mu held.
func (s *streamSink) send(text []byte) error {
	s.begin()
	s.wrote = time.Now()
	if s.wrote.Sub(s.extended) > writeDeadlineInterval {
		s.extended = s.wrote
		_ = s.control.SetWriteDeadline(s.wrote.Add(callerWriteTimeout))
	}
	if _, err := s.x.w.Write(text); err != nil {
		return err
	}
	return s.control.Flush()
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

// end tells the caller how the stream failed, if it did. The caller of newStreamSink stops the keep-alive
// after it. Before the first event that is an
// ordinary error answer, after it an event of the stream.
func (s *streamSink) end(err error) error {
	s.mu.Lock()
	begun := s.begun
	s.ended = !begun
	s.mu.Unlock()
	if err == nil || !begun {
		return err
	}
	if errors.Is(err, errHandedOver) {
		return errAnswerBegun
	}
	s.buffer.Reset()
	s.buffer.WriteString("event: error\n")
	typed := apierror.Typed(err)
	countError(typed.Kind)
	if encodeErr := s.writeData(newErrorBody(s.x.id, typed)); encodeErr == nil {
		_ = s.flush()
	}
	return errAnswerBegun
}

// stopKeepAlive ends the keep-alive; nothing is written to the caller after it returns.
func (s *streamSink) stopKeepAlive() {
	s.keepAlive.Stop()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ended = true
}
