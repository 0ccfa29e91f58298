package socket_test

import (
	"io"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"

	"verbenaroad.example/share/modules/socket"
)

// connect returns both ends of a connection.
func connect(t *testing.T) (client, server net.Conn) {
	t.Helper()
	is := is.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer func() { _ = listener.Close() }()
	client, err = net.Dial("tcp", listener.Addr().String())
	is.NoErr(err)
	server, err = listener.Accept()
	is.NoErr(err)
	t.Cleanup(func() { _ = client.Close() })
	t.Cleanup(func() { _ = server.Close() })
	return client, server
}

// awaitInput waits until the connection has input.
func awaitInput(t *testing.T, conn net.Conn) {
	t.Helper()
	for range 500 {
		if has, err := socket.HasInput(conn); err != nil || has {
			is.New(t).NoErr(err)
			return
		}
		time.Sleep(2 * time.Millisecond)
	}
	t.Fatal("no input")
}

func TestHasInput(t *testing.T) {
	is := is.New(t)
	client, server := connect(t)
	has, err := socket.HasInput(server)
	is.NoErr(err)
	is.True(!has)

	_, err = client.Write([]byte("GET"))
	is.NoErr(err)
	awaitInput(t, server)
	got := make([]byte, 3)
	_, err = io.ReadFull(server, got) // nothing was taken away
	is.NoErr(err)
	is.Equal(string(got), "GET")
	has, err = socket.HasInput(server)
	is.NoErr(err)
	is.True(!has)

	is.NoErr(client.Close())
	awaitInput(t, server)
}

func TestConnectionWithoutASocket(t *testing.T) {
	client, _ := net.Pipe()
	_, err := socket.HasInput(client)
	is.New(t).True(err != nil)
}
