// Package socket asks the kernel about connections.
package socket

import (
	"errors"
	"net"
	"syscall"

	"github.com/zeebo/errs"
	"golang.org/x/sys/unix"
)

// ErrSocket is the class of errors of this package.
var ErrSocket = errs.Class("socket") //nolint:gochecknoglobals // an error class is a constant in all but syntax

// HasInput reports whether the next read of a connection would return at once: bytes have been received and not read, or
// the peer has closed or reset the connection. It reads nothing.
func HasInput(conn net.Conn) (bool, error) {
	socket, ok := conn.(syscall.Conn)
	if !ok {
		return false, ErrSocket.New("%T has no socket", conn)
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return false, ErrSocket.Wrap(err)
	}
	hasInput := false
	err = raw.Control(func(fd uintptr) {
		_, _, peekErr := unix.Recvfrom(int(fd), make([]byte, 1), unix.MSG_PEEK|unix.MSG_DONTWAIT) //nolint:gosec // a descriptor is small
		hasInput = !errors.Is(peekErr, unix.EAGAIN)
	})
	return hasInput, ErrSocket.Wrap(err)
}
