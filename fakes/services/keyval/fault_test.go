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

// A writer gets no answer: the connection closes after the write took
// effect. The writer may not take this for a failure, and by reading back it
// finds its own value.
func TestLostAnswer(t *testing.T) {
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
	is.NoErr(err) // the fault was for one answer
	is.True(swapped)
}

// The service is so slow that the writer gives up. The outcome is unknown,
// not a failure: the write could still take effect.
func TestSlow(t *testing.T) {
	is := is.New(t)
	server, _ := newService(t)
	is.NoErr(server.SetFault(fault.Settings{Slow: fault.Duration(longWait)}))
	_, err := newHasty(t, server).CompareAndSwap(context.Background(), "head", []byte("1"), 0)
	is.True(err != nil)
	is.True(!kvapi.IsErrNotSent(err))
}

// A write hangs and the writer gives up; it reads back and finds nothing.
// Only then does the write take effect. So an absent key after an error does
// not say that the write will not happen.
func TestLateEffect(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	server, client := newService(t)
	is.NoErr(server.SetFault(fault.Settings{Freeze: true, Methods: []string{http.MethodPut}}))
	_, err := newHasty(t, server).CompareAndSwap(ctx, "head", []byte("1"), 0)
	is.True(err != nil)
	is.True(!kvapi.IsErrNotSent(err))
	_, err = client.Get(ctx, "head")
	is.True(kvapi.IsErrKeyNotExist(err))
	is.NoErr(server.SetFault(fault.Settings{}))
	late, err := client.Watch(ctx, "head", 1, longWait)
	is.NoErr(err)
	is.Equal(string(late.Value), "1")
}

// The service is down: connections that were open end, new ones are refused,
// and a write is known not to have happened. Afterwards all is as before.
func TestDown(t *testing.T) {
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

// The service is frozen: it accepts calls and answers none until it is thawed.
func TestFreeze(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	server, client := newService(t)
	is.NoErr(server.SetFault(fault.Settings{Freeze: true}))
	_, err := newHasty(t, server).Get(ctx, "head")
	is.True(err != nil)
	is.True(!kvapi.IsErrNotSent(err))
	is.NoErr(server.SetFault(fault.Settings{}))
	_, err = client.Get(ctx, "head")
	is.True(kvapi.IsErrKeyNotExist(err))
}

// A watch's connection goes silent: it stays open and nothing comes over it
// any more, while a new connection works. The watcher must not trust it.
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
	for server.GetCounts().Open["watch"] > 0 { // the service has answered
		time.Sleep(time.Millisecond)
	}
	select {
	case <-w.done:
		t.Fatal("the answer came over a silent connection")
	case <-time.After(50 * time.Millisecond):
	}
	client.Close()
	fresh, err := newHasty(t, server).Get(ctx, "head")
	is.NoErr(err)
	is.Equal(string(fresh.Value), "2")
	is.NoErr(server.SetFault(fault.Settings{Down: true}))
	<-w.done
	is.True(w.err != nil)
}

func TestStatus(t *testing.T) {
	is := is.New(t)
	server, client := newService(t)
	is.NoErr(server.SetFault(fault.Settings{Status: http.StatusServiceUnavailable}))
	_, err := client.Get(context.Background(), "head")
	is.True(kvapi.IsErrStatus(err))
}
