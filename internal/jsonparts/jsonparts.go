// Package jsonparts splits JSON text into its parts without reading what is inside them.
//
// A decoder that reads a whole list gives it up for one entry that is nested too deeply, holds a number out of range or has a
// field of another type. Parts are decoded one by one instead, so that such an entry costs itself only.
package jsonparts

import (
	"bytes"
	"encoding/json"

	"github.com/cockroachdb/errors"
)

// errMalformed marks errors for text of which the parts cannot be told apart.
var errMalformed = errors.New("malformed JSON")

// Members returns the values of the members of an object by name. Of members with the same name the last one counts.
func Members(object []byte) (map[string][]byte, error) {
	members := make(map[string][]byte)
	err := split(object, '{', '}', func(s *scanner) error {
		name, err := s.name()
		if err != nil {
			return err
		}
		value, err := s.value()
		members[name] = value
		return err
	})
	return members, err
}

// Elements returns the elements of an array.
func Elements(array []byte) ([][]byte, error) {
	var elements [][]byte
	err := split(array, '[', ']', func(s *scanner) error {
		element, err := s.value()
		elements = append(elements, element)
		return err
	})
	return elements, err
}

// split calls part at the beginning of each part between the brackets. part moves the scanner behind it.
func split(text []byte, open, closing byte, part func(*scanner) error) error {
	s := &scanner{text: text}
	if !s.take(open) {
		return malformed(s, "a bracket is missing")
	}
	for first := true; !s.take(closing); first = false {
		if !first && !s.take(',') {
			return malformed(s, "a comma is missing")
		}
		if err := part(s); err != nil {
			return err
		}
	}
	return nil
}

// scanner reads text from the position next on. It does not recurse.
type scanner struct {
	text []byte
	next int
}

func malformed(s *scanner, what string) error {
	return errors.Mark(errors.Newf("%s at byte %d", what, s.next), errMalformed)
}

// peek returns the next byte that is no white space, or zero at the end.
func (s *scanner) peek() byte {
	for s.next < len(s.text) {
		switch c := s.text[s.next]; c {
		case ' ', '\t', '\r', '\n':
			s.next++
		default:
			return c
		}
	}
	return 0
}

func (s *scanner) take(c byte) bool {
	if s.peek() != c || s.next >= len(s.text) {
		return false
	}
	s.next++
	return true
}

// name reads the name of a member and the colon behind it.
func (s *scanner) name() (string, error) {
	if s.peek() != '"' {
		return "", malformed(s, "a name is missing")
	}
	quoted, err := s.value()
	if err != nil {
		return "", err
	}
	if !s.take(':') {
		return "", malformed(s, "a colon is missing")
	}
	var name string
	_ = json.Unmarshal(quoted, &name) // a name that cannot be read is none that anybody asks for
	return name, nil
}

// value reads one value without looking at what is inside.
func (s *scanner) value() ([]byte, error) {
	begin, depth := s.next, 0
	if s.peek() != 0 {
		begin = s.next
	}
	for s.next < len(s.text) {
		switch c := s.text[s.next]; c {
		case '"':
			if !s.skipString() {
				return nil, malformed(s, "a string does not end")
			}
			if depth == 0 {
				return s.text[begin:s.next], nil
			}
			continue
		case '{', '[':
			depth++
		case '}', ']':
			if depth == 0 {
				return s.literal(begin)
			}
			if depth--; depth == 0 {
				s.next++
				return s.text[begin:s.next], nil
			}
		case ',':
			if depth == 0 {
				return s.literal(begin)
			}
		}
		s.next++
	}
	if depth > 0 {
		return nil, malformed(s, "a value does not end")
	}
	return s.literal(begin)
}

// literal returns the text since begin, which is a number or a word.
func (s *scanner) literal(begin int) ([]byte, error) {
	text := bytes.TrimSpace(s.text[begin:s.next])
	if len(text) == 0 {
		return nil, malformed(s, "a value is missing")
	}
	return text, nil
}

// skipString moves behind the string that begins here, and reports whether it ends.
func (s *scanner) skipString() bool {
	for s.next++; s.next < len(s.text); s.next++ {
		switch s.text[s.next] {
		case '\\':
			s.next++
		case '"':
			s.next++
			return true
		}
	}
	return false
}
