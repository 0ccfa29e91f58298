package cmds_test

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/netip"
	"os"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"verbenaroad.example/ingress/cmds"
	"verbenaroad.example/ingress/services/state"
)

// gate takes new connections while it is open.
type gate struct{ open atomic.Bool }

func (g *gate) TakeConnection() bool { return g.open.Load() }

type emptyViews struct{}

func (emptyViews) View() *state.View { return &state.View{} }

// Guards against an overloaded process that reads the request of a connection that it refuses, whose caller could
// then not send it elsewhere, and against one that refuses the requests of connections that it has taken.
func TestRefusedConnectionIsClosedUnread(t *testing.T) {
	is := is.New(t)
	handled := atomic.Int64{}
	g := &gate{}
	g.open.Store(true)
	server, err := cmds.NewCallerServer(t.Context(), cmds.CallerServerOptions{
		Address: netip.MustParseAddrPort("127.0.0.1:0"), Views: emptyViews{}, Log: zap.NewNop(), MaxConnections: 10, Gate: g,
		Handler: http.HandlerFunc(func(http.ResponseWriter, *http.Request) { handled.Add(1) }),
	})
	is.NoErr(err)
	defer func() { is.NoErr(server.Close(context.Background())) }()
	reused := 0
	trace := httptrace.WithClientTrace(t.Context(), &httptrace.ClientTrace{GotConn: func(i httptrace.GotConnInfo) {
		if i.Reused {
			reused++
		}
	}})
	send := func(client *http.Client) error {
		q, err := http.NewRequestWithContext(trace, http.MethodPost, "http://"+server.Address().String()+"/", http.NoBody)
		is.NoErr(err)
		got, err := client.Do(q)
		if err == nil {
			is.NoErr(got.Body.Close())
		}
		return err
	}
	kept := &http.Client{Transport: &http.Transport{}}
	is.NoErr(send(kept))
	g.open.Store(false)
	is.True(send(&http.Client{Transport: &http.Transport{}}) != nil)
	is.Equal(handled.Load(), int64(1))
	is.NoErr(send(kept))
	is.Equal(handled.Load(), int64(2))
	is.Equal(reused, 1) // the request on the connection that was taken
	g.open.Store(true)
	is.NoErr(send(&http.Client{Transport: &http.Transport{}}))
}

// Guards against callers that begin requests and do not go on: their connections must not keep out those of others.
func TestConnectionsWithSlowHeadsMakeRoom(t *testing.T) {
	is := is.New(t)
	const most = 4
	g := &gate{}
	g.open.Store(true)
	server, err := cmds.NewCallerServer(t.Context(), cmds.CallerServerOptions{
		Address: netip.MustParseAddrPort("127.0.0.1:0"), Views: emptyViews{}, Log: zap.NewNop(), MaxConnections: most, Gate: g,
		Handler: http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}),
	})
	is.NoErr(err)
	ctx, cancel := context.WithTimeout(t.Context(), time.Second)
	defer cancel()
	defer func() { is.NoErr(server.Close(ctx)) }()
	slow := []net.Conn{}
	for range most {
		conn, err := net.Dial("tcp", server.Address().String())
		is.NoErr(err)
		defer func() { _ = conn.Close() }()
		_, err = conn.Write([]byte("POST / HTTP/1.1\r\n"))
		is.NoErr(err)
		slow = append(slow, conn)
	}
	time.Sleep(1200 * time.Millisecond)
	conn, err := net.Dial("tcp", server.Address().String())
	is.NoErr(err)
	defer func() { _ = conn.Close() }()
	closed := 0
	for _, c := range slow {
		_ = c.SetReadDeadline(time.Now().Add(200 * time.Millisecond))
		if _, err := c.Read(make([]byte, 1)); !errors.Is(err, os.ErrDeadlineExceeded) {
			closed++
		}
	}
	is.Equal(closed, 1)
}
