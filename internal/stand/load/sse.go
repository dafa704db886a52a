package load

import (
	"bufio"
	"io"
	"strings"
)

// sseEvent is one server-sent event. Comment is set if it contains a comment line; a comment alone sets nothing else.
type sseEvent struct {
	ID, Name, Data string
	Comment        bool
}

// sseReader reads server-sent events.
type sseReader struct {
	lines *bufio.Reader
}

func newSSEReader(r io.Reader) *sseReader { return &sseReader{lines: bufio.NewReader(r)} }

// next returns the next event. It returns an error for an event that ends before its terminating empty line.
func (s *sseReader) next() (sseEvent, error) {
	var event sseEvent
	for {
		line, err := s.lines.ReadString('\n')
		if err != nil {
			return sseEvent{}, err
		}
		line = strings.TrimRight(line, "\r\n")
		if line == "" {
			return event, nil
		}
		event.add(line)
	}
}

func (e *sseEvent) add(line string) {
	field, value, _ := strings.Cut(line, ":")
	value = strings.TrimPrefix(value, " ")
	switch field {
	case "":
		e.Comment = true
	case "id":
		e.ID = value
	case "event":
		e.Name = value
	case "data":
		e.Data += value
	}
}
