// Package eventstream splits a text/event-stream into complete events without changing their bytes.
package eventstream

import (
	"bufio"
	"bytes"
	"io"
)

// Event is one event, including the empty line that ends it.
type Event struct {
	// ID is the value of the event's id field; empty if there is none.
	ID string
	// IsComment is set if the block has only comment lines: it shows that the connection is open, and is no event.
	IsComment bool
	// Raw holds the event's bytes. It is valid until the next call of Next.
	Raw []byte
}

// Holder accounts for the memory that events take until they are passed on.
type Holder interface {
	// Grow accounts for more bytes. Its error ends the reading.
	Grow(bytes int) error
	Shrink(bytes int)
}

// Reader reads events from a stream. It never returns an incomplete event.
type Reader struct {
	input  *bufio.Reader
	holder Holder
	raw    []byte
}

// bufferSize is large enough for a typical event.
const bufferSize = 4 << 10

const (
	// maxEventBytes bounds the size of one event.
	maxEventBytes = 1 << 20
	// maxKeptBytes is the largest buffer that is kept for the next event.
	maxKeptBytes = 16 << 10
)

// NewReader returns a Reader for the stream.
func NewReader(stream io.Reader, holder Holder) *Reader {
	return &Reader{input: bufio.NewReaderSize(stream, bufferSize), holder: holder}
}

// append adds a part to the event. While the buffer grows, the old one and the new one are held.
func (r *Reader) append(part []byte) error {
	if needed := len(r.raw) + len(part); needed > cap(r.raw) {
		size := max(2*cap(r.raw), bufferSize) // a part is no longer than bufferSize
		if err := r.holder.Grow(size); err != nil {
			return err
		}
		grown := append(takeBuffer(size), r.raw...)
		r.release()
		r.raw = grown
	}
	r.raw = append(r.raw, part...)
	return nil
}

// reset forgets the last event, and its buffer if that is larger than usual.
func (r *Reader) reset() {
	if cap(r.raw) > maxKeptBytes {
		r.release()
	}
	r.raw = r.raw[:0]
}

// release gives the buffer of the last event back.
func (r *Reader) release() {
	r.holder.Shrink(cap(r.raw))
	putBuffer(r.raw)
	r.raw = nil
}

// Detach leaves the last event to its user: it stays valid after the next call of Next, and is not accounted for any more.
func (r *Reader) Detach() {
	r.holder.Shrink(cap(r.raw))
	r.raw = nil
}

// Close ends the use of the reader and of the last event.
func (r *Reader) Close() { r.release() }

// Next returns the next event. It returns io.EOF if the stream ended after a complete event, io.ErrUnexpectedEOF if it
// ended within one, bufio.ErrTooLong for an event that is too long, and the underlying reader's error otherwise.
func (r *Reader) Next() (Event, error) {
	event := Event{}
	r.reset()
	for {
		line, err := r.input.ReadSlice('\n')
		if holdErr := r.append(line); holdErr != nil {
			return Event{}, holdErr
		}
		if err == bufio.ErrBufferFull {
			if len(r.raw) > maxEventBytes {
				return Event{}, bufio.ErrTooLong
			}
			continue
		}
		if err == io.EOF && len(bytes.TrimSpace(r.raw)) > 0 {
			return Event{}, io.ErrUnexpectedEOF
		}
		if err != nil {
			return Event{}, err
		}
		if len(r.raw) > maxEventBytes {
			return Event{}, bufio.ErrTooLong
		}
		if len(bytes.TrimRight(line, "\r\n")) == 0 && r.startsLine(line) {
			if len(bytes.TrimSpace(r.raw)) == 0 {
				continue // an extra empty line between events becomes part of the next event
			}
			event.Raw = r.raw
			event.ID = eventID(r.raw)
			event.IsComment = isComment(r.raw)
			return event, nil
		}
	}
}

// startsLine reports whether line, the last bytes of raw, is a line from its start and not the remainder of one that
// did not fit in the buffer.
func (r *Reader) startsLine(line []byte) bool {
	start := len(r.raw) - len(line)
	return start == 0 || r.raw[start-1] == '\n'
}

// isComment reports whether all lines are comments or empty.
func isComment(raw []byte) bool {
	for line := range bytes.Lines(raw) {
		if line[0] != ':' && len(bytes.TrimRight(line, "\r\n")) > 0 {
			return false
		}
	}
	return true
}

var idField = []byte("id:")

// eventID returns the value of the event's first id field.
func eventID(raw []byte) string {
	for line := range bytes.Lines(raw) {
		if bytes.HasPrefix(line, idField) {
			return string(bytes.TrimSpace(line[len(idField):]))
		}
	}
	return ""
}
