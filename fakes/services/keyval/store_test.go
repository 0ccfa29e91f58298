package keyval_test

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"verbenaroad.example/fakes/modules/fault"
	"verbenaroad.example/fakes/modules/serve"
	"verbenaroad.example/fakes/services/keyval"
	"verbenaroad.example/share/modules/kvapi"
)

const (
	// longTTL exceeds the run time of every test; shortTTL expires during a test.
	longTTL  = time.Minute
	shortTTL = 30 * time.Millisecond
	longWait = 30 * time.Second
)

func newService(t *testing.T) (*serve.Server, *kvapi.Client) {
	t.Helper()
	server := serve.NewServer(serve.Options{
		Listen:  serve.AnyLoopbackPort(),
		Handler: keyval.NewStore().NewRouter(),
		KindOf:  keyval.KindOf,
	})
	if err := server.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		_ = server.SetFault(fault.Settings{})
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		_ = server.Stop(ctx)
	})
	client := kvapi.NewClient(kvapi.Options{Address: server.Address(), CallTimeout: longWait})
	t.Cleanup(client.Close)
	return server, client
}

// newShortTimeoutClient returns a client whose calls time out after 100 ms.
func newShortTimeoutClient(t *testing.T, server *serve.Server) *kvapi.Client {
	t.Helper()
	client := kvapi.NewClient(kvapi.Options{Address: server.Address(), CallTimeout: 100 * time.Millisecond})
	t.Cleanup(client.Close)
	return client
}

func TestCompareAndSwap(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	_, client := newService(t)

	_, err := client.Get(ctx, "head")
	is.True(kvapi.IsErrKeyNotExist(err))
	created, err := client.CompareAndSwap(ctx, "head", []byte("1"), 0)
	is.NoErr(err)
	is.True(created)
	again, err := client.CompareAndSwap(ctx, "head", []byte("other"), 0)
	is.NoErr(err)
	is.True(!again) // the key exists

	first, err := client.Get(ctx, "head")
	is.NoErr(err)
	is.Equal(string(first.Value), "1")
	swapped, err := client.CompareAndSwap(ctx, "head", []byte("2"), first.ModifyIndex)
	is.NoErr(err)
	is.True(swapped)
	late, err := client.CompareAndSwap(ctx, "head", []byte("3"), first.ModifyIndex)
	is.NoErr(err)
	is.True(!late) // the index has increased

	deleted, err := client.DeleteIf(ctx, "head", first.ModifyIndex)
	is.NoErr(err)
	is.True(!deleted)
	second, err := client.Get(ctx, "head")
	is.NoErr(err)
	is.True(second.ModifyIndex > first.ModifyIndex)
	deleted, err = client.DeleteIf(ctx, "head", second.ModifyIndex)
	is.NoErr(err)
	is.True(deleted)
	_, err = client.Get(ctx, "head")
	is.True(kvapi.IsErrKeyNotExist(err))
}

func TestFindPairs(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	server, client := newService(t)
	none, err := client.FindPairs(ctx, "claims/")
	is.NoErr(err)
	is.Equal(len(none), 0)
	for _, key := range []string{"claims/b", "claims/a", "head"} {
		_, err := client.CompareAndSwap(ctx, key, []byte(key), 0)
		is.NoErr(err)
	}
	pairs, err := client.FindPairs(ctx, "claims/")
	is.NoErr(err)
	is.Equal(len(pairs), 2)
	is.Equal(string(pairs[0].Value), "claims/a")
	keys, err := client.FindKeys(ctx, "")
	is.NoErr(err)
	is.Equal(keys, []string{"claims/a", "claims/b", "head"})
	is.Equal(server.GetCounts().Calls, map[string]int64{"read": 3, "write": 3})
}

// watcher waits in its own goroutine for a change of a key.
type watcher struct {
	client *kvapi.Client
	key    string
	index  uint64
	pair   kvapi.Pair
	err    error
	done   chan struct{}
}

func (w *watcher) run() {
	defer close(w.done)
	w.pair, w.err = w.client.Watch(context.Background(), w.key, w.index, longWait)
}

// startWatch starts a watch and returns once the service has received it.
func startWatch(server *serve.Server, client *kvapi.Client, key string, index uint64) *watcher {
	w := &watcher{client: client, key: key, index: index, done: make(chan struct{})}
	go w.run()
	for server.GetCounts().Open["watch"] == 0 {
		time.Sleep(time.Millisecond)
	}
	return w
}

func TestWatchWakesOnChange(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	server, client := newService(t)
	_, err := client.CompareAndSwap(ctx, "head", []byte("1"), 0)
	is.NoErr(err)
	first, err := client.Get(ctx, "head")
	is.NoErr(err)
	w := startWatch(server, client, "head", first.ModifyIndex)
	is.Equal(client.Stats().Waiting, int64(1))
	_, err = client.CompareAndSwap(ctx, "unrelated", []byte("1"), 0)
	is.NoErr(err)
	_, err = client.CompareAndSwap(ctx, "head", []byte("2"), first.ModifyIndex)
	is.NoErr(err)
	<-w.done
	is.NoErr(w.err)
	is.Equal(string(w.pair.Value), "2")
	is.Equal(client.Stats().Waiting, int64(0))
	is.Equal(client.Stats().Watches, uint64(1))
}

func TestWatchWaitsForCreation(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	server, client := newService(t)
	_, err := client.Get(ctx, "head")
	var missing *kvapi.ErrKeyNotExist
	is.True(errorsAs(err, &missing))
	w := startWatch(server, client, "head", missing.Index)
	_, err = client.CompareAndSwap(ctx, "head", []byte("1"), 0)
	is.NoErr(err)
	<-w.done
	is.NoErr(w.err)
	is.Equal(string(w.pair.Value), "1")
}

func TestWatchEndsAfterWait(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	_, client := newService(t)
	_, err := client.CompareAndSwap(ctx, "head", []byte("1"), 0)
	is.NoErr(err)
	first, err := client.Get(ctx, "head")
	is.NoErr(err)
	same, err := client.Watch(ctx, "head", first.ModifyIndex, 10*time.Millisecond)
	is.NoErr(err)
	is.Equal(same.ModifyIndex, first.ModifyIndex)
}

// A lock holder stops renewing its session, as a paused process does. Once the session has expired,
// another session must acquire the lock with a higher LockIndex (the fencing token), and renewing
// the expired session must fail.
func TestSessionExpiryFreesLock(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	server, client := newService(t)
	paused, err := client.CreateSession(ctx, kvapi.SessionOptions{TTL: longTTL})
	is.NoErr(err)
	acquired, err := client.Acquire(ctx, "engine", []byte("paused"), paused)
	is.NoErr(err)
	is.True(acquired)
	other, err := client.CreateSession(ctx, kvapi.SessionOptions{TTL: longTTL})
	is.NoErr(err)
	acquired, err = client.Acquire(ctx, "engine", []byte("other"), other)
	is.NoErr(err)
	is.True(!acquired)

	short, err := client.CreateSession(ctx, kvapi.SessionOptions{TTL: shortTTL})
	is.NoErr(err)
	is.NoErr(client.DestroySession(ctx, paused))
	acquired, err = client.Acquire(ctx, "engine", []byte("short"), short)
	is.NoErr(err)
	is.True(acquired)
	held, err := client.Get(ctx, "engine")
	is.NoErr(err)
	if held.Session == short { // otherwise the session has already expired
		w := startWatchOfHeldKey(server, client, held)
		<-w.done
		is.NoErr(w.err)
	}
	is.True(kvapi.IsErrSessionNotExist(client.RenewSession(ctx, short)))
	acquired, err = client.Acquire(ctx, "engine", []byte("other"), other)
	is.NoErr(err)
	is.True(acquired)
	next, err := client.Get(ctx, "engine")
	is.NoErr(err)
	is.Equal(next.Session, other)
	is.True(next.LockIndex > held.LockIndex)
	released, err := client.Release(ctx, "engine", nil, other)
	is.NoErr(err)
	is.True(released)
	released, err = client.Release(ctx, "engine", nil, other)
	is.NoErr(err)
	is.True(!released)
}

// startWatchOfHeldKey watches a key that may change before the service receives the watch, so it
// does not wait for the service to receive it.
func startWatchOfHeldKey(_ *serve.Server, client *kvapi.Client, held kvapi.Pair) *watcher {
	w := &watcher{client: client, key: held.Key, index: held.ModifyIndex, done: make(chan struct{})}
	go w.run()
	return w
}

func TestRenewalKeepsSession(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	_, client := newService(t)
	session, err := client.CreateSession(ctx, kvapi.SessionOptions{TTL: longTTL})
	is.NoErr(err)
	is.NoErr(client.RenewSession(ctx, session))
	is.NoErr(client.DestroySession(ctx, session))
	is.True(kvapi.IsErrSessionNotExist(client.RenewSession(ctx, session)))
	_, err = client.Acquire(ctx, "engine", nil, session)
	is.True(kvapi.IsErrStatus(err))
}
