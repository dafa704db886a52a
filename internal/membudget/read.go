package membudget

import (
	"io"

	"github.com/cockroachdb/errors"
)

// firstBuffer is the size of the first buffer of ReadAll, in bytes.
const firstBuffer = 4 << 10

// ErrTooLong is the error of an input that is longer than its limit.
var ErrTooLong = errors.New("the input is longer than its limit")

// ReadAll reads the input to its end, up to limit bytes, on account of the holding, which holds the capacity of the result. While its
// buffer grows, the old one and the new one are held. The error is ErrTooLong, that of Grow, or that of the input.
func ReadAll(input io.Reader, holding *Holding, limit int64) ([]byte, error) {
	var content []byte
	for {
		if len(content) == cap(content) {
			size := max(2*cap(content), firstBuffer)
			if err := holding.Grow(int64(size)); err != nil {
				holding.Shrink(int64(cap(content)))
				return nil, err
			}
			grown := make([]byte, len(content), size)
			copy(grown, content)
			holding.Shrink(int64(cap(content)))
			content = grown
		}
		n, err := input.Read(content[len(content):cap(content)])
		content = content[:len(content)+n]
		switch {
		case int64(len(content)) > limit:
			holding.Shrink(int64(cap(content)))
			return nil, ErrTooLong
		case err == io.EOF:
			return content, nil
		case err != nil:
			holding.Shrink(int64(cap(content)))
			return nil, err
		}
	}
}
