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

func newServer(t *testing.T, options plain.Options, books *ledger.Ledger) *serve.Server {
	t.Helper()
	server := serve.NewServer(serve.Options{
		Listen:  serve.AnyLoopbackPort(),
		Handler: plain.NewService(options, books).NewRouter(),
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

func order(ctx context.Context, server *serve.Server, key string) ([]byte, error) {
	url := "http://" + server.Address().String() + "/orders/spruce"
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, strings.NewReader("two boards"))
	if err != nil {
		return nil, err
	}
	// A body without GetBody and no Idempotency-Key: net/http does not send the order again.
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
	books := ledger.NewLedger(file)
	server := newServer(t, plain.Options{Slots: 1}, books)
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
	runs := books.FindRuns()
	is.Equal(len(runs), 2) // the stand-in runs whatever comes; it only counts
	is.Equal(runs[1].Attempt, "1")
	is.True(!runs[0].Finished.IsZero())
	is.Equal(strings.Count(file.String(), "\n"), 4) // a line for each start and each end
}

// A caller's order is carried out and the connection closes before the
// answer. The caller cannot tell; the ledger shows the one run.
func TestLostAnswerLeavesRun(t *testing.T) {
	is := is.New(t)
	books := ledger.NewLedger(nil)
	server := newServer(t, plain.Options{Slots: 1}, books)
	is.NoErr(server.SetFault(fault.Settings{LostAnswer: fault.LostAnswer{Count: 1}}))
	_, err := order(context.Background(), server, "kranj-2")
	is.True(err != nil)
	is.Equal(len(books.FindRuns()), 1)
}

// caller sends an order on a goroutine of its own.
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

// startOrder returns once the stand-in holds as many calls as wanted.
func startOrder(ctx context.Context, server *serve.Server, key string, open int64) *caller {
	c := &caller{server: server, key: key, done: make(chan struct{})}
	go c.run(ctx)
	waitOpen(server, open)
	return c
}

func waitOpen(server *serve.Server, open int64) {
	for server.GetCounts().Open["call"] != open {
		time.Sleep(time.Millisecond)
	}
}

// A caller goes away while its order waits for the only slot. The order is
// dropped and never runs.
func TestCallerGoesAwayBeforeRun(t *testing.T) {
	is := is.New(t)
	books := ledger.NewLedger(nil)
	server := newServer(t, plain.Options{Slots: 1, Time: time.Minute}, books)
	ctx, leave := context.WithCancel(context.Background())
	first := startOrder(ctx, server, "first", 1)
	waiting, giveUp := context.WithCancel(context.Background())
	second := startOrder(waiting, server, "second", 2)
	giveUp()
	<-second.done
	is.True(second.err != nil)
	waitOpen(server, 1)
	runs := books.FindRuns()
	is.Equal(len(runs), 1)
	is.Equal(runs[0].Key, "first")
	leave()
	<-first.done
}

// A caller goes away after its order has started. The order is carried out.
func TestCallerGoesAwayDuringRun(t *testing.T) {
	is := is.New(t)
	books := ledger.NewLedger(nil)
	server := newServer(t, plain.Options{Slots: 1, Time: 100 * time.Millisecond}, books)
	ctx, leave := context.WithCancel(context.Background())
	first := startOrder(ctx, server, "first", 1)
	for len(books.FindRuns()) == 0 {
		time.Sleep(time.Millisecond)
	}
	leave()
	<-first.done
	waitOpen(server, 0)
	is.True(!books.FindRuns()[0].Finished.IsZero())
}
