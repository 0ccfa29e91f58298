// Package listen opens TCP listeners and prepares their close, so that no connection is reset that
// the kernel has established and the program has not accepted yet.
package listen

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"syscall"
	"time"

	"github.com/zeebo/errs"
	"golang.org/x/sys/unix"
)

// ErrListen is the class of errors of this package.
var ErrListen = errs.Class("listen") //nolint:gochecknoglobals // an error class is a constant in all but syntax

const (
	// handshakeTime is the time allowed for the last packet of handshakes in progress: two round trips
	// between regions of 25 ms each, as in both deployments.
	handshakeTime = 50 * time.Millisecond
	// pollInterval is the time between two checks of the accept queue.
	pollInterval = 2 * time.Millisecond
)

// Open listens on TCP without multipath TCP, which the net package uses by default: the kernel does
// not allow the filter of Quiesce on a multipath socket.
func Open(ctx context.Context, address netip.AddrPort, keepAlive net.KeepAliveConfig) (net.Listener, error) {
	settings := net.ListenConfig{KeepAliveConfig: keepAlive}
	settings.SetMultipathTCP(false)
	listener, err := settings.Listen(ctx, "tcp", address.String())
	return listener, ErrListen.Wrap(err)
}

// Quiesce makes the kernel establish no new connections at the listener, and waits until the
// program has accepted the established ones or the context ends. The caller closes the listener
// right afterwards.
//
// Closing a listener resets each connection that the kernel has established and the program has not
// accepted. The client may have written a request by then and cannot know whether it ran. After
// Quiesce no such connection is left. The first packet (SYN) of a later connection is dropped, so
// its client sends it again a second later and is refused by the closed port.
func Quiesce(ctx context.Context, listener net.Listener) error {
	socket, ok := listener.(syscall.Conn)
	if !ok {
		return ErrListen.New("the listener has no socket")
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return ErrListen.Wrap(err)
	}
	filterErr := dropNewConnections(raw)
	return ErrListen.Wrap(errors.Join(filterErr, waitUntilAccepted(ctx, raw)))
}

// waitUntilAccepted waits until handshakeTime has passed and no connection is queued.
func waitUntilAccepted(ctx context.Context, raw syscall.RawConn) error {
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	minEnd := time.Now().Add(handshakeTime)
	for {
		queued, err := hasQueued(raw)
		if err != nil || !queued && time.Now().After(minEnd) {
			return err
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
	}
}

// The filter reads the flags of the TCP header and drops packets that open a connection, with SYN
// and without ACK. Packets of handshakes in progress and of established connections pass.
const (
	flagsOffset = 13
	flagsMask   = 0x12 // SYN and ACK
	flagSYN     = 0x02
	passAll     = 0xffffffff
)

// dropNewConnections attaches the filter to the listener's socket.
func dropNewConnections(raw syscall.RawConn) error {
	filter := []unix.SockFilter{
		{Code: unix.BPF_LD | unix.BPF_B | unix.BPF_ABS, K: flagsOffset},
		{Code: unix.BPF_ALU | unix.BPF_AND | unix.BPF_K, K: flagsMask},
		{Code: unix.BPF_JMP | unix.BPF_JEQ | unix.BPF_K, Jf: 1, K: flagSYN},
		{Code: unix.BPF_RET | unix.BPF_K, K: 0},
		{Code: unix.BPF_RET | unix.BPF_K, K: passAll},
	}
	program := unix.SockFprog{Len: uint16(len(filter)), Filter: &filter[0]} //nolint:gosec // the length is five
	return callSocket(raw, func(fd int) error {
		return unix.SetsockoptSockFprog(fd, unix.SOL_SOCKET, unix.SO_ATTACH_FILTER, &program)
	})
}

// hasQueued reports whether a connection is waiting to be accepted, which makes the listener's
// socket readable.
func hasQueued(raw syscall.RawConn) (queued bool, err error) {
	err = callSocket(raw, func(fd int) error {
		sockets := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLIN}} //nolint:gosec // a descriptor is small
		count, err := unix.Poll(sockets, 0)
		// A signal to the thread interrupts the call. This counts as queued, so that the caller
		// polls again.
		queued = count > 0 || errors.Is(err, unix.EINTR)
		if queued {
			return nil
		}
		return err
	})
	return queued, err
}

// callSocket runs a function on the file descriptor of the listener's socket.
func callSocket(raw syscall.RawConn, call func(fd int) error) error {
	var callErr error
	err := raw.Control(func(fd uintptr) { callErr = call(int(fd)) }) //nolint:gosec // a descriptor is small
	return errors.Join(err, callErr)
}
