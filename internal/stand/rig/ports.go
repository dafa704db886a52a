package rig

import (
	"math/rand/v2"
	"net"
	"strconv"

	"github.com/cockroachdb/errors"
)

// The ports of a run are one block or more. They lie below those that the kernel gives to outgoing
// connections, so that a program that is started again finds its port free.
const (
	lowestPort   = 18000
	blockSize    = 100
	blockCount   = 140
	loopbackHost = "127.0.0.1"
)

// PortPool hands out free ports of 127.0.0.1, each once. It holds the first port of each of its blocks, so
// that runs at the same time keep off each other's ports. It is not safe for concurrent use.
type PortPool struct {
	locks []net.Listener
	next  int
	last  int
}

// NewPortPool takes a block that no other run holds.
func NewPortPool() (*PortPool, error) {
	p := &PortPool{}
	return p, p.takeBlock()
}

func (p *PortPool) takeBlock() error {
	for range 10 * blockCount {
		base := lowestPort + blockSize*rand.IntN(blockCount)
		lock, err := net.Listen("tcp", hostPort(base))
		if err == nil {
			p.locks = append(p.locks, lock)
			p.next, p.last = base+1, base+blockSize-1
			return nil
		}
	}
	return errors.New("no block of ports is free; end other runs")
}

func hostPort(port int) string { return net.JoinHostPort(loopbackHost, strconv.Itoa(port)) }

// Address returns the host:port of a port that was free.
func (p *PortPool) Address() (string, error) {
	for {
		if p.next > p.last {
			if err := p.takeBlock(); err != nil {
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

// Close gives the blocks back.
func (p *PortPool) Close() {
	for _, lock := range p.locks {
		_ = lock.Close()
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
