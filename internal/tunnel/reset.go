package tunnel

import (
	"io"
	"net"
	"syscall"

	"golang.org/x/sys/unix"

	"godwitcart/internal/netconn"
)

// tcpClosed is the state of a connection that was reset (TCP_CLOSE of Linux). One that the other side has ended in order is in
// another state while this side is open.
const tcpClosed = 7

// ResetReader reads from a connection and reports a reset as one. Linux tells the error of a connection only once: where a
// write gets it, reads return the end of the connection.
type ResetReader struct{ net.Conn }

// Read implements io.Reader.
func (r ResetReader) Read(p []byte) (int, error) {
	n, err := r.Conn.Read(p)
	if err == io.EOF && wasReset(r.Conn) {
		err = syscall.ECONNRESET
	}
	return n, err
}

// wasReset reports whether the connection is known to be reset.
func wasReset(conn net.Conn) bool {
	tcp := netconn.TCP(conn)
	if tcp == nil {
		return false
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return false
	}
	reset := false
	err = raw.Control(func(fd uintptr) {
		info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
		reset = err == nil && info.State == tcpClosed
	})
	return err == nil && reset
}
