package plain_test

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"verbenaroad.example/fakes/modules/fault"
	"verbenaroad.example/fakes/modules/ledger"
	"verbenaroad.example/fakes/modules/serve"
	"verbenaroad.example/fakes/services/plain"
)

func newServer(t *testing.T, options plain.Options, runLedger *ledger.Ledger) *serve.Server {
	t.Helper()
	server := serve.NewServer(serve.Options{
		Listen:  serve.AnyLoopbackPort(),
		Handler: plain.NewService(options, runLedger).NewRouter(),
		KindOf:  plain.KindOf,
	})
	if err := server.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
		defer cancel()
		_ = server.Stop(ctx)
	})
	return server
}

// order sends an order and returns the body of the answer.
func order(ctx context.Context, server *serve.Server, key string) ([]byte, error) {
	url := "http://" + server.Address().String() + "/orders/spruce"
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, strings.NewReader("two boards"))
	if err != nil {
		return nil, err
	}
	// Without GetBody and an Idempotency-Key header, net/http does not retry the order.
	request.GetBody = nil
	request.Header.Set("X-Request-Id", key)
	request.Header.Set("X-Attempt", "1")
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return nil, err
	}
	defer func() { _ = response.Body.Close() }()
	return io.ReadAll(response.Body)
}

func TestRunsAreRecorded(t *testing.T) {
	is := is.New(t)
	file := &bytes.Buffer{}
	runLedger := ledger.NewLedger(file)
	server := newServer(t, plain.Options{Slots: 1}, runLedger)
	body, err := order(context.Background(), server, "kranj-1")
	is.NoErr(err)
	var answer plain.Answer
	is.NoErr(json.Unmarshal(body, &answer))
	is.Equal(answer, plain.Answer{
		Method:     http.MethodPost,
		Path:       "/orders/spruce",
		Key:        "kranj-1",
		BodyDigest: ledger.Digest([]byte("two boards")),
		Run:        1,
	})
	_, err = order(context.Background(), server, "kranj-1")
	is.NoErr(err)
	runs := runLedger.FindRuns()
	is.Equal(len(runs), 2) // the stand-in does not deduplicate calls: it runs and records each of them
	is.Equal(runs[1].Attempt, "1")
	is.True(!runs[0].Finished.IsZero())
	is.Equal(strings.Count(file.String(), "\n"), 4) // a line for each start and each end
}

// The connection closes after an order was executed and before its answer. The caller sees only an
// error, but the ledger holds the run.
func TestLostAnswerRecordsRun(t *testing.T) {
	is := is.New(t)
	runLedger := ledger.NewLedger(nil)
	server := newServer(t, plain.Options{Slots: 1}, runLedger)
	is.NoErr(server.SetFault(fault.Settings{LostAnswer: fault.LostAnswer{Count: 1}}))
	_, err := order(context.Background(), server, "kranj-2")
	is.True(err != nil)
	is.Equal(len(runLedger.FindRuns()), 1)
}

// caller sends an order in its own goroutine.
type caller struct {
	server *serve.Server
	key    string
	err    error
	done   chan struct{}
}

func (c *caller) run(ctx context.Context) {
	defer close(c.done)
	_, c.err = order(ctx, c.server, c.key)
}

// startOrder sends an order and returns once the stand-in has the given number of calls in flight.
func startOrder(ctx context.Context, server *serve.Server, key string, open int64) *caller {
	c := &caller{server: server, key: key, done: make(chan struct{})}
	go c.run(ctx)
	waitOpen(server, open)
	return c
}

// waitOpen waits until the stand-in has the given number of calls in flight.
func waitOpen(server *serve.Server, open int64) {
	for server.GetCounts().Open["call"] != open {
		time.Sleep(time.Millisecond)
	}
}

// A caller disconnects while its order waits for the only slot. The order must be dropped and must
// not run.
func TestDisconnectBeforeRunDropsOrder(t *testing.T) {
	is := is.New(t)
	runLedger := ledger.NewLedger(nil)
	server := newServer(t, plain.Options{Slots: 1, Time: time.Minute}, runLedger)
	ctx, disconnect := context.WithCancel(context.Background())
	first := startOrder(ctx, server, "first", 1)
	waitingCtx, cancelWaiting := context.WithCancel(context.Background())
	second := startOrder(waitingCtx, server, "second", 2)
	cancelWaiting()
	<-second.done
	is.True(second.err != nil)
	waitOpen(server, 1)
	runs := runLedger.FindRuns()
	is.Equal(len(runs), 1)
	is.Equal(runs[0].Key, "first")
	disconnect()
	<-first.done
}

// A caller disconnects after its order has started. The order must be executed to the end.
func TestDisconnectDuringRunCompletesOrder(t *testing.T) {
	is := is.New(t)
	runLedger := ledger.NewLedger(nil)
	server := newServer(t, plain.Options{Slots: 1, Time: 100 * time.Millisecond}, runLedger)
	ctx, disconnect := context.WithCancel(context.Background())
	first := startOrder(ctx, server, "first", 1)
	for len(runLedger.FindRuns()) == 0 {
		time.Sleep(time.Millisecond)
	}
	disconnect()
	<-first.done
	waitOpen(server, 0)
	is.True(!runLedger.FindRuns()[0].Finished.IsZero())
}
