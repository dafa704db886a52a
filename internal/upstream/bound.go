package upstream

import (
	"io"

	"github.com/cockroachdb/errors"
)

// errTooLong is the error of an input that exceeds its limit.
var errTooLong = errors.Newf("the head of the target's answer is longer than %d bytes", maxHeadBytes)

// boundedInput reads from a connection. While it has a limit, it fails after that many bytes: a target may send bytes that
// are no answer without end.
type boundedInput struct {
	source    io.Reader
	bounded   bool
	remaining int
	// grow is called with the number of bytes read while there is a limit. Its error ends the input.
	grow func(bytes int) error
}

func (b *boundedInput) limit(bytes int, grow func(int) error) {
	b.bounded, b.remaining, b.grow = true, bytes, grow
}

func (b *boundedInput) unlimit() { b.bounded, b.grow = false, nil }

// Read implements io.Reader.
func (b *boundedInput) Read(p []byte) (int, error) {
	if !b.bounded {
		return b.source.Read(p)
	}
	if b.remaining <= 0 {
		return 0, errTooLong
	}
	n, err := b.source.Read(p[:min(len(p), b.remaining)])
	b.remaining -= n
	if growErr := b.grow(n); growErr != nil {
		return n, growErr
	}
	return n, err
}
