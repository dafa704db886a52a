package eventstream

import (
	"math/bits"
	"sync"
)

// buffers holds buffers of bufferSize, twice, four times bufferSize and so on. Without it, the garbage of events that grow or are
// given up would exceed what is held.
var buffers [sizeCount]sync.Pool

// sizeCount is the number of sizes up to the first above maxEventBytes.
const sizeCount = 11

// sizeIndex returns the index of the pool for buffers of the size.
func sizeIndex(size int) int { return bits.Len(uint(size/bufferSize)) - 1 }

// takeBuffer returns an empty buffer of the size, which is bufferSize times a power of two.
func takeBuffer(size int) []byte {
	if index := sizeIndex(size); index < sizeCount {
		if buffer, found := buffers[index].Get().(*[]byte); found {
			return (*buffer)[:0]
		}
	}
	return make([]byte, 0, size)
}

func putBuffer(buffer []byte) {
	if index := sizeIndex(cap(buffer)); index >= 0 && index < sizeCount {
		buffers[index].Put(&buffer)
	}
}
