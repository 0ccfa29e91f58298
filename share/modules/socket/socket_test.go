package socket_test

import (
	"io"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"

	"verbenaroad.example/share/modules/socket"
)

// Guards against input that is taken away by looking for it, and against an end of the connection that is not seen.
func TestHasInput(t *testing.T) {
	is := is.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer func() { _ = listener.Close() }()
	client, err := net.Dial("tcp", listener.Addr().String())
	is.NoErr(err)
	server, err := listener.Accept()
	is.NoErr(err)
	defer func() { _ = server.Close() }()
	awaitInput := func(want bool) {
		has := !want
		for range 500 {
			has, err = socket.HasInput(server)
			is.NoErr(err)
			if has == want {
				return
			}
			time.Sleep(2 * time.Millisecond)
		}
		is.Equal(has, want)
	}
	awaitInput(false)
	_, err = client.Write([]byte("GET"))
	is.NoErr(err)
	awaitInput(true)
	got := make([]byte, 3)
	_, err = io.ReadFull(server, got)
	is.NoErr(err)
	is.Equal(string(got), "GET")
	awaitInput(false)
	is.NoErr(client.Close())
	awaitInput(true)
}
