package upstream

import (
	"syscall"

	"golang.org/x/sys/unix"
)

// setUnackedTimeout sets TCP_USER_TIMEOUT, which bounds how long the kernel retransmits to an unreachable target.
func setUnackedTimeout(_, _ string, raw syscall.RawConn) error {
	var sockoptErr error
	err := raw.Control(func(fd uintptr) {
		sockoptErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unackedTimeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return sockoptErr
}
