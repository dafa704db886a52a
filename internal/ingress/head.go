package ingress

import (
	"bytes"
	"strconv"
)

// framing is how a head says where the body ends.
type framing int

const (
	// framedByLength is a body of the stated length; none is 0.
	framedByLength framing = iota
	framedByChunks
	// unframed is a head after which net/http reads no other one on the connection.
	unframed
	// ambiguous is a head in which two ways contradict each other.
	ambiguous
	// switched is the head of another protocol: a tunnel or HTTP/2.
	switched
)

// maxEmptyLines bounds the bytes of line ends before a head, which some clients send after a body.
const maxEmptyLines = 4

// maxWordBytes bounds the part of a line that is kept while it is read: longer names and values are none that frame a body.
const maxWordBytes = 64

// scanner reads a head byte by byte as net/http will, without keeping it: it counts lines and bytes and finds the fields that
// frame the body. The zero value begins a head.
type scanner struct {
	// lines is the number of lines that have ended; firstLine and fields are the bytes of the first line and of the others.
	lines, firstLine, fields int
	// emptyLines is the number of bytes of line ends before the head.
	emptyLines int
	// line is the beginning of the line, and lineBytes its length so far.
	line      [maxWordBytes]byte
	lineBytes int
	// isFolded is set while the last field that frames the body may go on in the next line.
	isFolded bool

	// version is the end of the first line.
	version              [len(version11)]byte
	isConnect, isHTTP2   bool
	length               int64
	hasLength, hasCoding bool
	isChunked, isBroken  bool
}

// version11 ends the first line of requests that may have a coded body.
const version11 = "HTTP/1.1"

// hasBegun reports whether the head has a byte.
func (s *scanner) hasBegun() bool { return s.lines > 0 || s.lineBytes > 0 }

// bytes returns the length of the head so far.
func (s *scanner) bytes() int { return s.firstLine + s.fields }

// scan reads a part of the head. It returns the number of bytes up to the end of the head, and false if the head goes on.
func (s *scanner) scan(part []byte) (int, bool) {
	for i, b := range part {
		if !s.hasBegun() && (b == '\r' || b == '\n') && s.emptyLines < maxEmptyLines {
			s.emptyLines++
			continue
		}
		if s.lines == 0 {
			s.firstLine++
		} else {
			s.fields++
		}
		if b != '\n' {
			s.keep(b)
			continue
		}
		if s.endLine() {
			return i + 1, true
		}
	}
	return len(part), false
}

// keep adds a byte to the line.
func (s *scanner) keep(b byte) {
	if s.lineBytes < len(s.line) {
		s.line[s.lineBytes] = b
	}
	s.lineBytes++
	if s.lines == 0 && b != '\r' {
		copy(s.version[:], s.version[1:])
		s.version[len(s.version)-1] = b
	}
}

// endLine ends a line, and reports whether it ends the head.
func (s *scanner) endLine() bool {
	line := bytes.TrimSuffix(s.line[:min(s.lineBytes, len(s.line))], []byte{'\r'})
	isCut := s.lineBytes > len(s.line)
	s.lineBytes = 0
	s.lines++
	switch {
	case len(line) == 0:
		return true
	case s.lines == 1:
		s.readFirstLine(line)
	default:
		s.readField(line, isCut)
	}
	return false
}

// readFirstLine reads the beginning of the first line.
func (s *scanner) readFirstLine(line []byte) {
	s.isConnect = bytes.HasPrefix(line, []byte("CONNECT "))
	s.isHTTP2 = bytes.Equal(line, []byte("PRI * HTTP/2.0"))
}

// readField reads a field that may frame the body.
func (s *scanner) readField(line []byte, isCut bool) {
	if line[0] == ' ' || line[0] == '\t' {
		s.isBroken = s.isBroken || s.isFolded
		return
	}
	name, value, _ := bytes.Cut(line, []byte{':'})
	value = bytes.Trim(value, " \t")
	isLength := bytes.EqualFold(name, []byte("Content-Length"))
	isCoding := bytes.EqualFold(name, []byte("Transfer-Encoding"))
	s.isFolded = isLength || isCoding
	switch {
	case s.isFolded && isCut:
		s.isBroken = true
	case isLength:
		length, err := strconv.ParseUint(string(value), 10, 63)
		s.isBroken = s.isBroken || err != nil || s.hasLength && s.length != int64(length)
		s.hasLength, s.length = true, int64(length)
	case isCoding:
		s.isBroken = s.isBroken || s.hasCoding
		s.hasCoding, s.isChunked = true, bytes.EqualFold(value, []byte("chunked"))
	}
}

// framing returns how the body of a whole head is framed.
func (s *scanner) framing() framing {
	switch {
	case s.isHTTP2 || s.isConnect:
		return switched
	case s.isBroken || s.hasCoding && (s.hasLength || string(s.version[:]) != version11):
		return ambiguous
	case s.hasCoding && !s.isChunked:
		return unframed
	case s.isChunked:
		return framedByChunks
	default:
		return framedByLength
	}
}
