package ingress

import (
	"bytes"
	"strconv"
	"strings"
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

// scanner reads a head as net/http will, without keeping it: it counts lines and bytes and finds the fields that
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

// The fields that frame a body.
const (
	fieldLength = "Content-Length"
	fieldCoding = "Transfer-Encoding"
)

// version11 ends the first line of requests that may have a coded body.
const version11 = "HTTP/1.1"

// hasBegun reports whether the head has a byte.
func (s *scanner) hasBegun() bool { return s.lines > 0 || s.lineBytes > 0 }

// bytes returns the length of the head so far.
func (s *scanner) bytes() int { return s.firstLine + s.fields }

// scan reads a part of the head. It returns the number of bytes up to the end of the head, and false if the head goes on.
func (s *scanner) scan(part []byte) (int, bool) {
	read := s.skipEmptyLines(part)
	for read < len(part) {
		end := bytes.IndexByte(part[read:], '\n')
		if end < 0 {
			s.keep(part[read:])
			s.count(len(part) - read)
			return len(part), false
		}
		line := part[read : read+end]
		read += end + 1
		s.count(end + 1)
		if s.endLine(line) {
			return read, true
		}
	}
	return read, false
}

// skipEmptyLines returns the number of bytes of line ends before the head.
func (s *scanner) skipEmptyLines(part []byte) int {
	skipped := 0
	for !s.hasBegun() && skipped < len(part) && (part[skipped] == '\r' || part[skipped] == '\n') && s.emptyLines < maxEmptyLines {
		s.emptyLines++
		skipped++
	}
	return skipped
}

// count adds bytes to the first line or to the fields.
func (s *scanner) count(bytes int) {
	if s.lines == 0 {
		s.firstLine += bytes
	} else {
		s.fields += bytes
	}
}

// keep adds a part to the line.
func (s *scanner) keep(part []byte) {
	if s.lineBytes < len(s.line) {
		copy(s.line[s.lineBytes:], part)
	}
	s.lineBytes += len(part)
	if s.lines == 0 {
		s.noteVersion(part)
	}
}

// noteVersion keeps the end of the first line.
func (s *scanner) noteVersion(part []byte) {
	part = bytes.TrimSuffix(part, []byte{'\r'})
	tail := append(s.version[:len(s.version):len(s.version)], part[max(0, len(part)-len(s.version)):]...)
	copy(s.version[:], tail[len(tail)-len(s.version):])
}

// endLine ends a line with its last part, and reports whether it ends the head.
func (s *scanner) endLine(part []byte) bool {
	line, isCut := part, false
	if s.lineBytes > 0 {
		s.keep(part)
		line, isCut = s.line[:min(s.lineBytes, len(s.line))], s.lineBytes > len(s.line)
	} else if s.lines == 0 {
		s.noteVersion(part)
	}
	line = bytes.TrimSuffix(line, []byte{'\r'})
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
	isLength := len(name) == len(fieldLength) && strings.EqualFold(string(name), fieldLength)
	isCoding := len(name) == len(fieldCoding) && strings.EqualFold(string(name), fieldCoding)
	s.isFolded = isLength || isCoding
	if !s.isFolded {
		return
	}
	value = bytes.Trim(value, " \t")
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
