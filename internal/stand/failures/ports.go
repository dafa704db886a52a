package failures

import (
	"math/rand/v2"
	"net"
	"strconv"

	"github.com/cockroachdb/errors"
)

// The ports of a run lie below those that the kernel gives to outgoing connections, so that a
// program that is started again finds its port free.
const (
	lowestPort  = 18000
	highestPort = 32000
	portTries   = 1000
)

// portPool hands out free ports of 127.0.0.1, each once.
type portPool struct {
	taken map[int]bool
}

func newPortPool() *portPool { return &portPool{taken: make(map[int]bool)} }

// address returns the host:port of a port that was free.
func (p *portPool) address() (string, error) {
	for range portTries {
		port := lowestPort + rand.IntN(highestPort-lowestPort)
		address := net.JoinHostPort("127.0.0.1", strconv.Itoa(port))
		if p.taken[port] || !isFree(address) {
			continue
		}
		p.taken[port] = true
		return address, nil
	}
	return "", errors.Newf("no free port between %d and %d", lowestPort, highestPort)
}

func isFree(address string) bool {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return false
	}
	_ = listener.Close()
	return true
}
