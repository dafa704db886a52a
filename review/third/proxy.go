package main

import (
	"net"
	"sync"
)

// proxy carries connections to an address. The open ones can be made silent for good while new ones work.
type proxy struct {
	target   string
	listener net.Listener
	mu       sync.Mutex
	links    map[*link]struct{}
}

type link struct {
	near, far net.Conn
	mu        sync.Mutex
	silent    bool
	// isAsked is set while the near side has sent bytes that nobody has answered.
	isAsked bool
}

func newProxy(target string) *proxy {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		fatal("proxy: %v", err)
	}
	p := &proxy{target: target, listener: listener, links: make(map[*link]struct{})}
	go func() {
		for {
			near, err := listener.Accept()
			if err != nil {
				return
			}
			go p.carry(near)
		}
	}()
	return p
}

func (p *proxy) address() string { return p.listener.Addr().String() }

func (p *proxy) carry(near net.Conn) {
	far, err := net.Dial("tcp4", p.target)
	if err != nil {
		near.Close()
		return
	}
	l := &link{near: near, far: far}
	p.mu.Lock()
	p.links[l] = struct{}{}
	p.mu.Unlock()
	var done sync.WaitGroup
	done.Go(func() { l.copy(far, near) })
	done.Go(func() { l.copy(near, far) })
	done.Wait()
	near.Close()
	far.Close()
	p.mu.Lock()
	delete(p.links, l)
	p.mu.Unlock()
}

// copy carries bytes in one direction. Those of a silent link are dropped; its end at the near side is seen, so that no connection
// is left behind.
func (l *link) copy(to, from net.Conn) {
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		if n > 0 {
			l.setAsked(from == l.near)
		}
		if n > 0 && !l.isSilent() {
			if _, err := to.Write(buffer[:n]); err != nil {
				break
			}
		}
		if err != nil {
			break
		}
	}
	if l.isSilent() && from == l.far {
		return // the near side hears nothing of it
	}
	l.near.Close()
	l.far.Close()
}

func (l *link) isSilent() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.silent
}

// silence makes the open connections silent for good, and returns their number.
func (p *proxy) silence() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	for l := range p.links {
		l.mu.Lock()
		l.silent = true
		l.mu.Unlock()
	}
	return len(p.links)
}

func (l *link) setAsked(asked bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.isAsked = asked
}

// endIdle closes the silent links on which the near side waits for nothing, as keep-alive probes without an answer do.
func (p *proxy) endIdle() (closed int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for l := range p.links {
		l.mu.Lock()
		isIdle := l.silent && !l.isAsked
		l.mu.Unlock()
		if isIdle {
			closed++
			l.near.Close()
			l.far.Close()
		}
	}
	return closed
}
