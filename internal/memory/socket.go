package memory

import (
	"errors"
	"syscall"

	"golang.org/x/sys/unix"
)

// SetReceiveBuffer sets the receive buffer of a socket to ReceiveBuffer, before it listens or connects:
// what the kernel holds unread counts as memory of the process. It is a Control function of package net.
func SetReceiveBuffer(_, _ string, raw syscall.RawConn) error {
	var optErr error
	err := raw.Control(func(fd uintptr) {
		optErr = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, ReceiveBuffer)
	})
	return errors.Join(err, optErr)
}
