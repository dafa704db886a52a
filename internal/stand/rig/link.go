// Package rig provides the building blocks of failure and soak runs: restartable processes, free ports, and TCP links
// that can be stalled, slowed down, reset and cut.
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

// linkBufferBytes is the size of a link's read buffer per direction of a connection.
const linkBufferBytes = 16 << 10

// Link is a TCP proxy to one destination that injects network faults. Faults may overlap: stalls and cuts
// are counted and last until each one has been lifted, and delays add up.
type Link struct {
	// Address is the listen address.
	Address     string
	destination string

	mu       sync.Mutex
	listener net.Listener
	// stalls, responseStalls and cuts count the active faults of each kind. Stalls hold back data in both directions,
	// response stalls only data from the destination. Cuts reset connections and refuse new ones.
	stalls, responseStalls, cuts int
	// refusals counts the active Refuse calls.
	refusals int
	// delay is added before each chunk of data is forwarded.
	delay time.Duration
	// changed is closed and replaced when stalls or responseStalls changes.
	changed     chan struct{}
	connections map[net.Conn]struct{}
}

// NewLink returns a link that already listens.
func NewLink(listen, destination string) (*Link, error) {
	l := &Link{
		Address: listen, destination: destination,
		changed: make(chan struct{}), connections: make(map[net.Conn]struct{}),
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return l, l.startListening()
}

func (l *Link) startListening() error {
	listener, err := net.Listen("tcp", l.Address)
	if err != nil {
		return errors.Wrap(err, "listen at the address of a link")
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
		if l.isRefusing() {
			reset(conn)
			continue
		}
		go l.forward(conn)
	}
}

// Stall holds back the data of all connections until Unstall.
func (l *Link) Stall() { l.addStalls(1, 0) }

// Unstall ends one Stall.
func (l *Link) Unstall() { l.addStalls(-1, 0) }

// StallResponses holds back data from the destination until UnstallResponses; data to the destination still passes.
func (l *Link) StallResponses() { l.addStalls(0, 1) }

// UnstallResponses ends one StallResponses.
func (l *Link) UnstallResponses() { l.addStalls(0, -1) }

// AddDelay adds to the delay of each chunk of data; a negative duration reduces it again.
func (l *Link) AddDelay(by time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.delay += by
}

// Reset resets all open connections; new ones work.
func (l *Link) Reset() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for conn := range l.connections {
		reset(conn)
	}
}

// Refuse resets new connections until Accept; open ones live on.
func (l *Link) Refuse() { l.addRefusals(1) }

// Accept ends one Refuse.
func (l *Link) Accept() { l.addRefusals(-1) }

func (l *Link) addRefusals(by int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.refusals += by
}

func (l *Link) isRefusing() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.refusals > 0
}

func (l *Link) addStalls(stalls, responseStalls int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.stalls += stalls
	l.responseStalls += responseStalls
	close(l.changed)
	l.changed = make(chan struct{})
}

// Cut resets all connections and refuses new ones until Restore.
func (l *Link) Cut() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cuts++
	if l.cuts > 1 {
		return
	}
	_ = l.listener.Close()
	for conn := range l.connections {
		reset(conn)
	}
}

// Restore ends one Cut. It returns an error if the link can't listen again; the run can't continue then.
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

// Close cuts the link permanently.
func (l *Link) Close() { l.Cut() }

// register records the connection so that Cut and Reset reset it. It returns false while the link is cut.
func (l *Link) register(conn net.Conn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.cuts > 0 {
		return false
	}
	l.connections[conn] = struct{}{}
	return true
}

func (l *Link) unregister(conn net.Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.connections, conn)
}

func (l *Link) forward(client net.Conn) {
	defer reset(client)
	l.waitUntilOpen(false)
	dialer := net.Dialer{Timeout: linkDialTimeout, LocalAddr: sameAddress(client)}
	server, err := dialer.Dial("tcp", l.destination)
	if err != nil {
		return
	}
	defer reset(server)
	if !l.register(client) || !l.register(server) {
		return
	}
	defer l.unregister(client)
	defer l.unregister(server)
	var directions sync.WaitGroup
	directions.Go(func() { l.copyDirection(server, client, false) })
	directions.Go(func() { l.copyDirection(client, server, true) })
	directions.Wait()
}

// sameAddress returns the IP address of the client, which the destination is to see too.
func sameAddress(client net.Conn) net.Addr {
	remote, isTCP := client.RemoteAddr().(*net.TCPAddr)
	if !isTCP {
		return nil
	}
	return &net.TCPAddr{IP: remote.IP}
}

// copyDirection forwards data in one direction until it ends. It passes a half-close or a reset on.
func (l *Link) copyDirection(destination, source net.Conn, isResponse bool) {
	buffer := make([]byte, linkBufferBytes)
	for {
		count, err := source.Read(buffer)
		l.waitUntilOpen(isResponse)
		if count > 0 {
			if _, writeErr := destination.Write(buffer[:count]); writeErr != nil {
				reset(source)
				return
			}
		}
		if errors.Is(err, io.EOF) {
			closeWrite(destination)
			return
		}
		if err != nil {
			reset(destination)
			return
		}
	}
}

func closeWrite(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.CloseWrite()
	}
}

// waitUntilOpen waits for the link's delay, and then until the direction isn't stalled.
func (l *Link) waitUntilOpen(isResponse bool) {
	l.mu.Lock()
	delay := l.delay
	l.mu.Unlock()
	if delay > 0 {
		time.Sleep(delay)
	}
	for {
		l.mu.Lock()
		stalled, changed := l.stalls > 0 || isResponse && l.responseStalls > 0, l.changed
		l.mu.Unlock()
		if !stalled {
			return
		}
		<-changed
	}
}
