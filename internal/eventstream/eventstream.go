// Package eventstream splits a text/event-stream into whole events without changing their bytes.
package eventstream

import (
	"bufio"
	"bytes"
	"io"
)

// Event is one event with the empty line that ends it.
type Event struct {
	// ID is the value of the event's id field; empty where there is none.
	ID string
	// Raw are the event's bytes. They are valid until the next call of Next.
	Raw []byte
}

// Reader reads events. An event whose end is missing is never returned.
type Reader struct {
	lines *bufio.Reader
	raw   []byte
}

// bufferSize holds an event of usual size.
const bufferSize = 4 << 10

// maxEventBytes bounds one event.
const maxEventBytes = 1 << 20

// NewReader returns a Reader of the stream.
func NewReader(stream io.Reader) *Reader {
	return &Reader{lines: bufio.NewReaderSize(stream, bufferSize)}
}

// Next returns the next whole event. It returns io.EOF at the end of a stream that ended between two events,
// io.ErrUnexpectedEOF where it ended within one, and the reader's error otherwise.
func (r *Reader) Next() (Event, error) {
	event := Event{}
	r.raw = r.raw[:0]
	for {
		line, err := r.lines.ReadSlice('\n')
		r.raw = append(r.raw, line...)
		if err == bufio.ErrBufferFull {
			if len(r.raw) > maxEventBytes {
				return Event{}, bufio.ErrTooLong
			}
			continue
		}
		if err == io.EOF && len(r.raw) > 0 {
			return Event{}, io.ErrUnexpectedEOF
		}
		if err != nil {
			return Event{}, err
		}
		if len(r.raw) > maxEventBytes {
			return Event{}, bufio.ErrTooLong
		}
		if len(bytes.TrimRight(line, "\r\n")) == 0 && r.lineStart(line) {
			if len(bytes.TrimSpace(r.raw)) == 0 {
				continue // an empty line between events stays with the next one
			}
			event.Raw = r.raw
			event.ID = lastID(r.raw)
			return event, nil
		}
	}
}

// lineStart reports whether the line is whole, not the rest of one that filled the buffer.
func (r *Reader) lineStart(line []byte) bool {
	before := len(r.raw) - len(line)
	return before == 0 || r.raw[before-1] == '\n'
}

var idField = []byte("id:")

// lastID returns the value of the event's id field.
func lastID(raw []byte) string {
	for line := range bytes.Lines(raw) {
		if bytes.HasPrefix(line, idField) {
			return string(bytes.TrimSpace(line[len(idField):]))
		}
	}
	return ""
}
