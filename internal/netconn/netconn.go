// Package netconn finds the TCP connection under connections that wrap it, and what the kernel has received on one.
package netconn

import (
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// TCP returns the TCP connection under conn, or nil if there is none. It follows NetConn, as tls.Conn has it.
func TCP(conn net.Conn) *net.TCPConn {
	for conn != nil {
		if tcp, isTCP := conn.(*net.TCPConn); isTCP {
			return tcp
		}
		wrapper, isWrapper := conn.(interface{ NetConn() net.Conn })
		if !isWrapper {
			return nil
		}
		conn = wrapper.NetConn()
	}
	return nil
}

// HasInput reports whether the kernel holds bytes of the connection that were not read.
func HasInput(conn syscall.Conn) bool {
	n, err := peek(conn)
	return err == nil && n > 0
}

// IsQuiet reports whether the connection is open and has no bytes to read.
func IsQuiet(conn syscall.Conn) bool {
	_, err := peek(conn)
	return err == unix.EAGAIN
}

// peek returns the result of a read of one byte that waits for none and takes none.
func peek(conn syscall.Conn) (n int, err error) {
	raw, err := conn.SyscallConn()
	if err != nil {
		return 0, err
	}
	var peekErr error
	err = raw.Control(func(fd uintptr) {
		var buffer [1]byte
		n, _, peekErr = unix.Recvfrom(int(fd), buffer[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
	})
	if err != nil {
		return 0, err
	}
	return n, peekErr
}

// Unread returns the number of bytes of the connection that the kernel holds and that were not read; zero if it is closed.
func Unread(conn syscall.Conn) int {
	raw, err := conn.SyscallConn()
	if err != nil {
		return 0
	}
	unread := 0
	err = raw.Control(func(fd uintptr) {
		unread, _ = unix.IoctlGetInt(int(fd), unix.TIOCINQ) // zero with an error
	})
	if err != nil {
		return 0
	}
	return unread
}
