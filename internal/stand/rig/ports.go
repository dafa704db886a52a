package rig

import (
	"math/rand/v2"
	"net"
	"strconv"

	"github.com/cockroachdb/errors"
)

// A run reserves one or more blocks of ports. They lie below the kernel's ephemeral port range, so that no outgoing
// connection takes the port of a program that is being restarted.
const (
	lowestPort   = 18000
	blockSize    = 100
	blockCount   = 140
	loopbackHost = "127.0.0.1"
)

// PortPool allocates free ports of 127.0.0.1, each at most once. It listens at the first port of each of its blocks,
// which keeps concurrent runs from using the same block. It is not safe for concurrent use.
type PortPool struct {
	blockLocks []net.Listener
	next       int
	last       int
}

// NewPortPool returns a pool with a block that no other run has reserved.
func NewPortPool() (*PortPool, error) {
	p := &PortPool{}
	return p, p.reserveBlock()
}

func (p *PortPool) reserveBlock() error {
	for range 10 * blockCount {
		base := lowestPort + blockSize*rand.IntN(blockCount)
		blockLock, err := net.Listen("tcp", hostPort(base))
		if err == nil {
			p.blockLocks = append(p.blockLocks, blockLock)
			p.next, p.last = base+1, base+blockSize-1
			return nil
		}
	}
	return errors.New("no block of ports is free; stop other runs and try again")
}

func hostPort(port int) string { return net.JoinHostPort(loopbackHost, strconv.Itoa(port)) }

// Address returns the host:port of a port that was free when checked. It reserves another block when one is used up.
func (p *PortPool) Address() (string, error) {
	for {
		if p.next > p.last {
			if err := p.reserveBlock(); err != nil {
				return "", err
			}
		}
		address := hostPort(p.next)
		p.next++
		if isFree(address) {
			return address, nil
		}
	}
}

// Close releases the blocks.
func (p *PortPool) Close() {
	for _, blockLock := range p.blockLocks {
		_ = blockLock.Close()
	}
}

func isFree(address string) bool {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return false
	}
	_ = listener.Close()
	return true
}
