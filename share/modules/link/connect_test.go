package link_test

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"verbenaroad.example/share/modules/link"
	"verbenaroad.example/share/modules/wire"
)

// openDeafListener returns the address of a listener whose queue of new connections is full, so that
// further packets that open one are dropped, and a function that empties the queue.
func openDeafListener(t *testing.T) (address netip.AddrPort, accept func()) {
	t.Helper()
	socket, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM, 0)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = syscall.Close(socket) })
	if err := syscall.Bind(socket, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}); err != nil {
		t.Fatal(err)
	}
	if err := syscall.Listen(socket, 0); err != nil {
		t.Fatal(err)
	}
	bound, err := syscall.Getsockname(socket)
	if err != nil {
		t.Fatal(err)
	}
	inet, _ := bound.(*syscall.SockaddrInet4)
	address = netip.AddrPortFrom(netip.AddrFrom4(inet.Addr), uint16(inet.Port)) //nolint:gosec // a port
	filler, err := net.Dial("tcp", address.String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = filler.Close() })
	return address, func() {
		accepted, _, err := syscall.Accept(socket)
		if err != nil {
			t.Error(err)
			return
		}
		_ = syscall.Close(accepted)
	}
}

// queueOpener makes room in a listener's queue after a while.
type queueOpener struct {
	after  time.Duration
	accept func()
}

func (o queueOpener) run() {
	time.Sleep(o.after)
	o.accept()
}

// Guards against waiting a second for a peer that starts within milliseconds: the packet that opens the
// connection was sent too early and is lost, and the kernel repeats it only after a second.
func TestConnectIsRepeatedBeforeTheKernelDoes(t *testing.T) {
	is := is.New(t)
	address, accept := openDeafListener(t)
	dial := func(attempt time.Duration) error {
		_, err := link.Dial(context.Background(), address, link.Options{
			Hello: &wire.Hello{Version: wire.Version, Name: "a"}, HelloTimeout: 900 * time.Millisecond, ConnectAttempt: attempt,
		})
		return err
	}
	is.True(isConnectError(dial(0))) // the kernel's repetition comes too late
	opener := queueOpener{after: 100 * time.Millisecond, accept: accept}
	go opener.run()
	err := dial(100 * time.Millisecond)
	is.True(err != nil) // nobody answers the hello
	is.True(!isConnectError(err))
}

// isConnectError reports whether no connection was opened.
func isConnectError(err error) bool {
	var failed *net.OpError
	return errors.As(err, &failed) && failed.Op == "dial"
}
