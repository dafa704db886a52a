package ingress

import "bytes"

// bodyReader follows the body of a request to its end, as net/http reads it.
type bodyReader struct {
	// remaining is the number of bytes until the end of a body with a length, or of a chunk.
	remaining int64
	isChunked bool
	state     chunkState
	// lineBytes is the length of the line so far, without line ends; size is that of the chunk that the line announces.
	lineBytes int
	size      int64
	isSizeEnd bool
}

type chunkState int

const (
	inSize chunkState = iota
	inData
	inDataEnd
	inTrailer
	chunksEnded
)

func newBodyReader(s *scanner) bodyReader {
	if s.framing() == framedByChunks {
		return bodyReader{isChunked: true}
	}
	return bodyReader{remaining: s.length}
}

// hasEnded reports whether the body is whole.
func (r *bodyReader) hasEnded() bool {
	if r.isChunked {
		return r.state == chunksEnded
	}
	return r.remaining == 0
}

// limit returns how many bytes can be read without going beyond the body. Chunks state that only as they come.
func (r *bodyReader) limit(bytes int) int {
	if r.isChunked {
		return bytes
	}
	return int(min(int64(bytes), r.remaining))
}

// accept takes the bytes of a part that belong to the body, and returns their number.
func (r *bodyReader) accept(part []byte) int {
	if !r.isChunked {
		n := r.limit(len(part))
		r.remaining -= int64(n)
		return n
	}
	for i := 0; i < len(part); {
		if r.state == chunksEnded {
			return i
		}
		i += r.acceptChunked(part[i:])
	}
	return len(part)
}

// acceptChunked takes at least one byte.
func (r *bodyReader) acceptChunked(part []byte) int {
	if r.state == inData {
		n := min(int64(len(part)), r.remaining)
		if r.remaining -= n; r.remaining == 0 {
			r.state = inDataEnd
		}
		return int(n)
	}
	end := bytes.IndexByte(part, '\n')
	line := part
	if end >= 0 {
		line = part[:end]
	}
	for _, b := range line {
		r.acceptLineByte(b)
	}
	if end < 0 {
		return len(part)
	}
	r.endLine()
	return end + 1
}

func (r *bodyReader) acceptLineByte(b byte) {
	if b == '\r' {
		return
	}
	r.lineBytes++
	if r.state != inSize || r.isSizeEnd {
		return
	}
	digit := hexDigit(b)
	const maxSize = 1 << 58 // beyond it, net/http refuses the chunk
	if digit < 0 || r.size > maxSize {
		r.isSizeEnd = true
		return
	}
	r.size = r.size<<4 | int64(digit)
}

func (r *bodyReader) endLine() {
	switch {
	case r.state == inDataEnd:
		r.state = inSize
	case r.state == inTrailer && r.lineBytes == 0:
		r.state = chunksEnded
	case r.state == inSize && r.size == 0:
		r.state = inTrailer
	case r.state == inSize:
		r.state, r.remaining = inData, r.size
	}
	r.lineBytes, r.size, r.isSizeEnd = 0, 0, false
}

// hexDigit returns the value of a hexadecimal digit, or -1.
func hexDigit(b byte) int {
	switch {
	case b >= '0' && b <= '9':
		return int(b - '0')
	case b >= 'a' && b <= 'f':
		return int(b-'a') + 10
	case b >= 'A' && b <= 'F':
		return int(b-'A') + 10
	default:
		return -1
	}
}
