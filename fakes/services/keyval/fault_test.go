package keyval_test

import (
	"context"
	"errors"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"verbenaroad.example/fakes/modules/fault"
	"verbenaroad.example/share/modules/kvapi"
)

func errorsAs(err error, target any) bool {
	return errors.As(err, target)
}

// The connection closes after a write took effect and before its answer. The writer must not
// treat the error as a failed write: reading the key back returns the written value.
func TestLostAnswerKeepsWrite(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	server, client := newService(t)
	is.NoErr(server.SetFault(fault.Settings{LostAnswer: fault.LostAnswer{Count: 1}}))
	_, err := client.CompareAndSwap(ctx, "head", []byte("1"), 0)
	is.True(err != nil)
	is.True(!kvapi.IsErrNotSent(err))
	is.Equal(server.GetCounts().Calls["write"], int64(1))
	found, err := client.Get(ctx, "head")
	is.NoErr(err)
	is.Equal(string(found.Value), "1")
	swapped, err := client.CompareAndSwap(ctx, "head", []byte("2"), found.ModifyIndex)
	is.NoErr(err) // the fault applied to one answer only
	is.True(swapped)
}

// The service is so slow that the write times out. The error must not state that the write was not
// sent: it could still take effect.
func TestSlowWriteHasUnknownOutcome(t *testing.T) {
	is := is.New(t)
	server, _ := newService(t)
	is.NoErr(server.SetFault(fault.Settings{Slow: fault.Duration(longWait)}))
	_, err := newShortTimeoutClient(t, server).CompareAndSwap(context.Background(), "head", []byte("1"), 0)
	is.True(err != nil)
	is.True(!kvapi.IsErrNotSent(err))
}

// A write hangs until the writer times out, and reading the key back finds nothing. The write takes
// effect only afterwards, so an absent key after an error does not prove that the write will not
// happen.
func TestWriteTakesEffectAfterTimeout(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	server, client := newService(t)
	is.NoErr(server.SetFault(fault.Settings{Freeze: true, Methods: []string{http.MethodPut}}))
	_, err := newShortTimeoutClient(t, server).CompareAndSwap(ctx, "head", []byte("1"), 0)
	is.True(err != nil)
	is.True(!kvapi.IsErrNotSent(err))
	_, err = client.Get(ctx, "head")
	is.True(kvapi.IsErrKeyNotExist(err))
	is.NoErr(server.SetFault(fault.Settings{}))
	late, err := client.Watch(ctx, "head", 1, longWait)
	is.NoErr(err)
	is.Equal(string(late.Value), "1")
}

// The service goes down: open connections end and new ones are refused, so a write is known not to
// have been sent. After the recovery the stored value is unchanged.
func TestDownServiceRefusesConnections(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	server, client := newService(t)
	_, err := client.CompareAndSwap(ctx, "head", []byte("1"), 0)
	is.NoErr(err)
	first, err := client.Get(ctx, "head")
	is.NoErr(err)
	w := startWatch(server, client, "head", first.ModifyIndex)
	is.NoErr(server.SetFault(fault.Settings{Down: true}))
	<-w.done
	is.True(w.err != nil)
	_, err = client.CompareAndSwap(ctx, "head", []byte("2"), first.ModifyIndex)
	is.True(kvapi.IsErrNotSent(err))
	is.NoErr(server.SetFault(fault.Settings{}))
	found, err := client.Get(ctx, "head")
	is.NoErr(err)
	is.Equal(string(found.Value), "1")
}

// The service is frozen: it accepts calls but answers none until the fault is cleared.
func TestFrozenServiceDoesNotAnswer(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	server, client := newService(t)
	is.NoErr(server.SetFault(fault.Settings{Freeze: true}))
	_, err := newShortTimeoutClient(t, server).Get(ctx, "head")
	is.True(err != nil)
	is.True(!kvapi.IsErrNotSent(err))
	is.NoErr(server.SetFault(fault.Settings{}))
	_, err = client.Get(ctx, "head")
	is.True(kvapi.IsErrKeyNotExist(err))
}

// The connection of a watch goes silent: it stays open but delivers nothing, while new connections
// work. The watch misses the change, so a watcher must not rely on an open connection.
func TestSilentConnection(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	server, client := newService(t)
	_, err := client.CompareAndSwap(ctx, "head", []byte("1"), 0)
	is.NoErr(err)
	first, err := client.Get(ctx, "head")
	is.NoErr(err)
	w := startWatch(server, client, "head", first.ModifyIndex)
	is.NoErr(server.SetFault(fault.Settings{Silent: true}))
	swapped, err := client.CompareAndSwap(ctx, "head", []byte("2"), first.ModifyIndex)
	is.NoErr(err) // a new connection works
	is.True(swapped)
	for server.GetCounts().Open["watch"] > 0 { // until the service has answered
		time.Sleep(time.Millisecond)
	}
	select {
	case <-w.done:
		t.Fatal("the answer came over a silent connection")
	case <-time.After(50 * time.Millisecond):
	}
	client.Close()
	fresh, err := newShortTimeoutClient(t, server).Get(ctx, "head")
	is.NoErr(err)
	is.Equal(string(fresh.Value), "2")
	is.NoErr(server.SetFault(fault.Settings{Down: true}))
	<-w.done
	is.True(w.err != nil)
}

func TestStatusFault(t *testing.T) {
	is := is.New(t)
	server, client := newService(t)
	is.NoErr(server.SetFault(fault.Settings{Status: http.StatusServiceUnavailable}))
	_, err := client.Get(context.Background(), "head")
	is.True(kvapi.IsErrStatus(err))
}
