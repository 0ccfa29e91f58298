// Package listen opens listeners, and closes them without cutting the connections
// that the kernel has accepted and the program has not.
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
	// settleTime is how long handshakes under way have for their last packet: two
	// round trips between regions, 25 ms each in both deployments.
	settleTime = 50 * time.Millisecond
	// lookEvery is how often the queue is looked at.
	lookEvery = 2 * time.Millisecond
)

// Open listens on plain TCP: the kernel takes no filter on a multipath socket,
// which is what the net package opens by default.
func Open(ctx context.Context, address netip.AddrPort, probes net.KeepAliveConfig) (net.Listener, error) {
	settings := net.ListenConfig{KeepAliveConfig: probes}
	settings.SetMultipathTCP(false)
	listener, err := settings.Listen(ctx, "tcp", address.String())
	return listener, ErrListen.Wrap(err)
}

// Quiesce has the kernel open no new connections at the listener and waits until
// the program has accepted those that it holds, or the context ends. The listener
// is to be closed right afterwards.
//
// Guards against a reset in answer to a request: closing a listener resets each
// connection that the kernel has opened and the program has not accepted, and its
// caller, who has written its request by then, cannot know whether it ran. With the
// filter no such connection is left at the close. The opening packet of a
// later one is dropped, so its caller tries again a second later and is refused.
func Quiesce(ctx context.Context, listener net.Listener) error {
	holder, ok := listener.(syscall.Conn)
	if !ok {
		return ErrListen.New("the listener has no socket")
	}
	raw, err := holder.SyscallConn()
	if err != nil {
		return ErrListen.Wrap(err)
	}
	filtered := dropOpenings(raw)
	return ErrListen.Wrap(errors.Join(filtered, waitAccepted(ctx, raw)))
}

// waitAccepted waits until no connection is queued once handshakes had time to end.
func waitAccepted(ctx context.Context, raw syscall.RawConn) error {
	ticker := time.NewTicker(lookEvery)
	defer ticker.Stop()
	settled := time.Now().Add(settleTime)
	for {
		queued, err := hasQueued(raw)
		if err != nil || !queued && time.Now().After(settled) {
			return err
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
	}
}

// The filter reads the flags of the TCP header and drops what opens a connection:
// SYN without ACK. Packets of handshakes under way and of open connections pass.
const (
	flagsOffset = 13
	flagsMask   = 0x12 // SYN and ACK
	flagSYN     = 0x02
	passAll     = 0xffffffff
)

func dropOpenings(raw syscall.RawConn) error {
	filter := []unix.SockFilter{
		{Code: unix.BPF_LD | unix.BPF_B | unix.BPF_ABS, K: flagsOffset},
		{Code: unix.BPF_ALU | unix.BPF_AND | unix.BPF_K, K: flagsMask},
		{Code: unix.BPF_JMP | unix.BPF_JEQ | unix.BPF_K, Jf: 1, K: flagSYN},
		{Code: unix.BPF_RET | unix.BPF_K, K: 0},
		{Code: unix.BPF_RET | unix.BPF_K, K: passAll},
	}
	program := unix.SockFprog{Len: uint16(len(filter)), Filter: &filter[0]} //nolint:gosec // five
	return control(raw, func(fd int) error {
		return unix.SetsockoptSockFprog(fd, unix.SOL_SOCKET, unix.SO_ATTACH_FILTER, &program)
	})
}

// hasQueued tells whether a connection waits to be accepted, which makes the
// listener's socket readable.
func hasQueued(raw syscall.RawConn) (queued bool, err error) {
	err = control(raw, func(fd int) error {
		sockets := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLIN}} //nolint:gosec // a descriptor is small
		count, err := unix.Poll(sockets, 0)
		// A signal to the thread ends the call early; the next look tells.
		queued = count > 0 || errors.Is(err, unix.EINTR)
		if queued {
			return nil
		}
		return err
	})
	return queued, err
}

// control runs a call on the listener's socket.
func control(raw syscall.RawConn, call func(fd int) error) error {
	var failed error
	err := raw.Control(func(fd uintptr) { failed = call(int(fd)) }) //nolint:gosec // a descriptor is small
	return errors.Join(err, failed)
}
