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
	// stalls holds bytes back, answerStalls those on their way back from the destination alone; cuts refuses and
	// breaks connections. Above zero they are on.
	stalls, answerStalls, cuts int
	// delay is added to each piece of bytes.
	delay time.Duration
	// changed is closed and replaced when stalls or answerStalls changes.
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
func (l *Link) Stall() { l.addStalls(1, 0) }

// Unstall ends one Stall.
func (l *Link) Unstall() { l.addStalls(-1, 0) }

// StallAnswers holds back what comes from the destination until UnstallAnswers; what goes there arrives.
func (l *Link) StallAnswers() { l.addStalls(0, 1) }

// UnstallAnswers ends one StallAnswers.
func (l *Link) UnstallAnswers() { l.addStalls(0, -1) }

// Delay adds to the time that each piece of bytes takes; a negative time takes it off again.
func (l *Link) Delay(by time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.delay += by
}

// Reset breaks all connections; new ones work.
func (l *Link) Reset() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for conn := range l.open {
		reset(conn)
	}
}

func (l *Link) addStalls(by, answers int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.stalls += by
	l.answerStalls += answers
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
	l.hold(false)
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
	pumps.Go(func() { l.pump(far, near, false) })
	pumps.Go(func() { l.pump(near, far, true) })
	pumps.Wait()
}

// pump copies one direction until it ends, and passes its end on.
func (l *Link) pump(to, from net.Conn, answers bool) {
	buffer := make([]byte, linkBufferBytes)
	for {
		count, err := from.Read(buffer)
		l.hold(answers)
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

// hold waits for the delay, and while the direction is stalled.
func (l *Link) hold(answers bool) {
	l.mu.Lock()
	delay := l.delay
	l.mu.Unlock()
	if delay > 0 {
		time.Sleep(delay)
	}
	for {
		l.mu.Lock()
		stalled, changed := l.stalls > 0 || answers && l.answerStalls > 0, l.changed
		l.mu.Unlock()
		if !stalled {
			return
		}
		<-changed
	}
}
