// Package rig holds what failure runs have in common: real processes that are started again, free ports, and TCP
// links that stall, slow down and break.
package rig

import (
	"io"
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// linkDialTimeout bounds the connection from a link to its destination.
const linkDialTimeout = time.Second

// linkBufferBytes is how much of a connection a link reads at once.
const linkBufferBytes = 16 << 10

// Link forwards TCP connections to one destination. Faults overlap, so that each is counted.
type Link struct {
	// Address is where the link listens.
	Address     string
	destination string

	mu       sync.Mutex
	listener net.Listener
	// stalls holds bytes back; cuts refuses and breaks connections. Above zero they are on.
	stalls, cuts int
	// changed is closed and replaced when stalls changes.
	changed chan struct{}
	open    map[net.Conn]struct{}
}

// NewLink returns a link that listens at once.
func NewLink(listen, destination string) (*Link, error) {
	l := &Link{
		Address: listen, destination: destination,
		changed: make(chan struct{}), open: make(map[net.Conn]struct{}),
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return l, l.startListening()
}

func (l *Link) startListening() error {
	listener, err := net.Listen("tcp", l.Address)
	if err != nil {
		return errors.Wrap(err, "listen for a link")
	}
	l.listener = listener
	go l.accept(listener)
	return nil
}

func (l *Link) accept(listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		go l.forward(conn)
	}
}

// Stall holds back the bytes of all connections until Unstall.
func (l *Link) Stall() { l.addStalls(1) }

// Unstall ends one Stall.
func (l *Link) Unstall() { l.addStalls(-1) }

func (l *Link) addStalls(by int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.stalls += by
	close(l.changed)
	l.changed = make(chan struct{})
}

// Cut breaks all connections and refuses new ones until Restore.
func (l *Link) Cut() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cuts++
	if l.cuts > 1 {
		return
	}
	_ = l.listener.Close()
	for conn := range l.open {
		reset(conn)
	}
}

// Restore ends one cut. The listener cannot fail in a way that the run could go on from.
func (l *Link) Restore() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cuts--
	if l.cuts > 0 {
		return nil
	}
	return l.startListening()
}

func reset(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}

// Close breaks the link for good.
func (l *Link) Close() { l.Cut() }

// register keeps the connection for cut; it reports false while the link is cut.
func (l *Link) register(conn net.Conn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.cuts > 0 {
		return false
	}
	l.open[conn] = struct{}{}
	return true
}

func (l *Link) unregister(conn net.Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.open, conn)
}

func (l *Link) forward(near net.Conn) {
	defer reset(near)
	l.waitWhileStalled()
	far, err := net.DialTimeout("tcp", l.destination, linkDialTimeout)
	if err != nil {
		return
	}
	defer reset(far)
	if !l.register(near) || !l.register(far) {
		return
	}
	defer l.unregister(near)
	defer l.unregister(far)
	var pumps sync.WaitGroup
	pumps.Go(func() { l.pump(far, near) })
	pumps.Go(func() { l.pump(near, far) })
	pumps.Wait()
}

// pump copies one direction until it ends, and passes its end on.
func (l *Link) pump(to, from net.Conn) {
	buffer := make([]byte, linkBufferBytes)
	for {
		count, err := from.Read(buffer)
		l.waitWhileStalled()
		if count > 0 {
			if _, writeErr := to.Write(buffer[:count]); writeErr != nil {
				reset(from)
				return
			}
		}
		if errors.Is(err, io.EOF) {
			closeWrite(to)
			return
		}
		if err != nil {
			reset(to)
			return
		}
	}
}

func closeWrite(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.CloseWrite()
	}
}

func (l *Link) waitWhileStalled() {
	for {
		l.mu.Lock()
		stalled, changed := l.stalls > 0, l.changed
		l.mu.Unlock()
		if !stalled {
			return
		}
		<-changed
	}
}
