package upstream

import (
	"syscall"

	"golang.org/x/sys/unix"
)

// setUnackedTimeout bounds the time for which the kernel sends bytes again to a target that is dark.
func setUnackedTimeout(_, _ string, raw syscall.RawConn) error {
	var failed error
	err := raw.Control(func(fd uintptr) {
		failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unackedTimeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return failed
}
