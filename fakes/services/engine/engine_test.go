package engine_test

import (
	"bufio"
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
	"verbenaroad.example/fakes/modules/token"
	"verbenaroad.example/fakes/services/engine"
)

// testEngine is an engine behind its HTTP server, with the ledger of its runs.
type testEngine struct {
	t      testing.TB
	server *serve.Server
	ledger *ledger.Ledger
}

func newTestEngine(t testing.TB, options engine.Options) *testEngine {
	t.Helper()
	runLedger := ledger.NewLedger(nil)
	options.Models = []string{"model"}
	e := engine.NewEngine(options, runLedger)
	e.Start()
	server := serve.NewServer(serve.Options{Listen: serve.AnyLoopbackPort(), Handler: e.NewRouter(), KindOf: engine.KindOf})
	if err := server.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		e.Stop()
		_ = server.Stop(ctx)
	})
	return &testEngine{t: t, server: server, ledger: runLedger}
}

func (s *testEngine) send(ctx context.Context, method, path string, body any) *http.Response {
	s.t.Helper()
	data, err := json.Marshal(body)
	if err != nil {
		s.t.Fatal(err)
	}
	url := "http://" + s.server.Address().String() + path
	request, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(data))
	if err != nil {
		s.t.Fatal(err)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		s.t.Fatal(err)
	}
	s.t.Cleanup(func() { _ = response.Body.Close() })
	return response
}

// call sends a call, decodes its answer into v unless v is nil, and returns the status code.
func (s *testEngine) call(method, path string, body, v any) int {
	s.t.Helper()
	response := s.send(context.Background(), method, path, body)
	data, err := io.ReadAll(response.Body)
	if err != nil {
		s.t.Fatal(err)
	}
	if v != nil {
		if err := json.Unmarshal(data, v); err != nil {
			s.t.Fatal(string(data), err)
		}
	}
	return response.StatusCode
}

// chunk is an event of a stream, or the answer to a request without streaming.
type chunk struct {
	Choices []struct {
		Text         string  `json:"text"`
		FinishReason *string `json:"finish_reason"`
	} `json:"choices"`
	Usage *engine.Usage `json:"usage"`
}

// readStream returns the complete text and the usage of a stream. It fails the test if the stream
// ends without its [DONE] event.
func readStream(t *testing.T, body io.Reader) (string, engine.Usage) {
	t.Helper()
	var text strings.Builder
	var usage engine.Usage
	lines := bufio.NewScanner(body)
	for lines.Scan() {
		data, found := strings.CutPrefix(lines.Text(), "data: ")
		if !found {
			continue
		}
		if data == "[DONE]" {
			return text.String(), usage
		}
		var c chunk
		if err := json.Unmarshal([]byte(data), &c); err != nil {
			t.Fatal(data, err)
		}
		for _, choice := range c.Choices {
			text.WriteString(choice.Text)
		}
		if c.Usage != nil {
			usage = *c.Usage
		}
	}
	t.Fatal("the stream has no end record")
	return "", usage
}

// promptOf returns a prompt of n words, which are n tokens.
func promptOf(n int) string {
	return strings.Repeat("jack ", n)
}

func TestTokensDependOnPromptOnly(t *testing.T) {
	is := is.New(t)
	s := newTestEngine(t, engine.Options{Slots: 4, TokenInterval: time.Millisecond})
	prompt := "voicing note"
	fullText := token.MakeText(prompt, 20)
	is.True(fullText != token.MakeText("another", 20))

	completion := engine.Completion{Model: "model", Prompt: prompt, MaxTokens: 20, Stream: true}
	text, usage := readStream(t, s.send(context.Background(), http.MethodPost, "/v1/completions", completion).Body)
	is.Equal(text, fullText)
	is.Equal(usage.CompletionTokens, 20)
	is.Equal(usage.PromptTokens, 2)

	completion.ResumeFrom = 15
	text, _ = readStream(t, s.send(context.Background(), http.MethodPost, "/v1/completions", completion).Body)
	is.Equal(text, fullText[15*token.Length:])

	var answer chunk
	completion.Stream = false
	completion.ResumeFrom = 0
	is.Equal(s.call(http.MethodPost, "/v1/completions", completion, &answer), http.StatusOK)
	is.Equal(answer.Choices[0].Text, fullText)
	runs := s.ledger.FindRuns()
	is.Equal(len(runs), 3)
	is.True(!runs[2].Finished.IsZero())
}

func TestPrefixCache(t *testing.T) {
	is := is.New(t)
	s := newTestEngine(t, engine.Options{Slots: 1, TokenInterval: time.Millisecond, CacheBlocks: 3})
	cached := func(prompt string) int {
		var answer chunk
		s.call(http.MethodPost, "/v1/completions", engine.Completion{Model: "model", Prompt: prompt, MaxTokens: 1}, &answer)
		return answer.Usage.PromptDetails.CachedTokens
	}
	is.Equal(cached(promptOf(40)), 0)
	is.Equal(cached(promptOf(40)), 32)  // only complete blocks are cached
	is.Equal(cached(promptOf(100)), 32) // this prompt has 6 blocks, so it evicts its own first ones
	is.Equal(cached(promptOf(16)), 0)

	var events engine.CacheEvents
	s.call(http.MethodGet, "/cache-events?after=2", nil, &events)
	is.Equal(events.Events[0].Sequence, uint64(3))
	changes := map[engine.CacheChange]int{}
	for _, e := range events.Events {
		changes[e.Change]++
	}
	is.True(changes[engine.CacheRemoved] > 0)
}

func TestCacheEventsHaveGaps(t *testing.T) {
	is := is.New(t)
	s := newTestEngine(t, engine.Options{Slots: 1, CacheBlocks: 100, EventGap: 0.5, Seed: 1})
	s.call(http.MethodPost, "/v1/completions", engine.Completion{Model: "model", Prompt: promptOf(16 * 40), MaxTokens: 1}, nil)
	var events engine.CacheEvents
	s.call(http.MethodGet, "/cache-events", nil, &events)
	is.True(len(events.Events) > 0)
	is.True(len(events.Events) < 40)
}

func TestReportsAreDelayed(t *testing.T) {
	is := is.New(t)
	s := newTestEngine(t, engine.Options{Slots: 1, CacheBlocks: 100, EventLag: time.Hour, LoadLag: time.Hour})
	s.call(http.MethodPost, "/v1/completions", engine.Completion{Model: "model", Prompt: promptOf(32), MaxTokens: 1}, nil)
	var events engine.CacheEvents
	s.call(http.MethodGet, "/cache-events", nil, &events)
	is.Equal(len(events.Events), 0)
	var load engine.Load
	s.call(http.MethodGet, "/load", nil, &load)
	is.Equal(load, engine.Load{Slots: 1}) // an hour ago there was no load
}

// waitLoad waits until the engine reports these numbers of requests. If it never does, the test
// ends by the timeout of the test run.
func (s *testEngine) waitLoad(running, waiting int) {
	s.t.Helper()
	for {
		var load engine.Load
		s.call(http.MethodGet, "/load", nil, &load)
		if load.Running == running && load.Waiting == waiting {
			return
		}
		time.Sleep(time.Millisecond)
	}
}

// One caller disconnects in the middle of a stream, another while it waits for the only slot. The
// engine must drop both at once: the server library does not end a request's context, so without
// the close hook the slot would be held until the stream ends, which never happens here.
func TestDisconnectFreesSlot(t *testing.T) {
	is := is.New(t)
	s := newTestEngine(t, engine.Options{Slots: 1, TokenInterval: time.Millisecond})
	endless := engine.Completion{Model: "model", Prompt: "endless", MaxTokens: 1 << 30, Stream: true}
	ctx, disconnect := context.WithCancel(context.Background())
	response := s.send(ctx, http.MethodPost, "/v1/completions", endless)
	_, err := io.ReadFull(response.Body, make([]byte, 100))
	is.NoErr(err)
	s.waitLoad(1, 0)

	waiter := &caller{engine: s, completion: endless, done: make(chan struct{})}
	waitingCtx, cancelWaiting := context.WithCancel(context.Background())
	go waiter.run(waitingCtx)
	s.waitLoad(1, 1)
	cancelWaiting()
	<-waiter.done
	s.waitLoad(1, 0)
	is.Equal(len(s.ledger.FindRuns()), 1) // the waiting request never ran

	disconnect()
	s.waitLoad(0, 0)
	is.True(s.ledger.FindRuns()[0].Finished.IsZero())
	var answer chunk
	is.Equal(s.call(http.MethodPost, "/v1/completions", engine.Completion{Model: "model", Prompt: "next", MaxTokens: 2}, &answer), http.StatusOK)
	is.Equal(answer.Choices[0].Text, token.MakeText("next", 2))
}

// The connection of a stream breaks in the middle. The caller recognizes the incomplete answer by
// the missing [DONE] event, and the engine frees the slot.
func TestBrokenConnectionFreesSlot(t *testing.T) {
	is := is.New(t)
	s := newTestEngine(t, engine.Options{Slots: 1, TokenInterval: time.Millisecond})
	is.NoErr(s.server.SetFault(fault.Settings{CutAfter: 2, Methods: []string{http.MethodPost}}))
	endless := engine.Completion{Model: "model", Prompt: "endless", MaxTokens: 1 << 30, Stream: true}
	data, err := io.ReadAll(s.send(context.Background(), http.MethodPost, "/v1/completions", endless).Body)
	is.True(err != nil)
	is.True(strings.Contains(string(data), token.Make("endless", 0)))
	is.True(!strings.Contains(string(data), "[DONE]"))
	s.waitLoad(0, 0)
}

// caller sends a completion and reads the answer in its own goroutine.
type caller struct {
	engine     *testEngine
	completion engine.Completion
	done       chan struct{}
}

func (c *caller) run(ctx context.Context) {
	defer close(c.done)
	body, err := json.Marshal(c.completion)
	if err != nil {
		return
	}
	url := "http://" + c.engine.server.Address().String() + "/v1/completions"
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return
	}
	_, _ = io.Copy(io.Discard, response.Body)
	_ = response.Body.Close()
}

func TestWaitingRequestsRunByPriority(t *testing.T) {
	is := is.New(t)
	s := newTestEngine(t, engine.Options{Slots: 1, TokenInterval: time.Millisecond})
	ctx, disconnect := context.WithCancel(context.Background())
	s.send(ctx, http.MethodPost, "/v1/completions", engine.Completion{Model: "model", Prompt: "first", MaxTokens: 1 << 30, Stream: true})
	s.waitLoad(1, 0)
	callers := []*caller{}
	for i, priority := range []int{2, 1, 1, 0} {
		completion := engine.Completion{Model: "model", Prompt: "waits", MaxTokens: 1 + i, Priority: priority}
		c := &caller{engine: s, completion: completion, done: make(chan struct{})}
		callers = append(callers, c)
		go c.run(context.Background())
		s.waitLoad(1, i+1)
	}
	disconnect()
	for _, c := range callers {
		<-c.done
	}
	runs := s.ledger.FindRuns()
	order := []string{}
	for _, run := range runs[1:] {
		order = append(order, run.BodyDigest)
	}
	want := []string{}
	for _, i := range []int{3, 1, 2, 0} {
		body, err := json.Marshal(callers[i].completion)
		is.NoErr(err)
		want = append(want, ledger.Digest(body))
	}
	is.Equal(order, want)
}

func TestOrders(t *testing.T) {
	tests := map[engine.FencingMode]int{
		engine.FencingChecked: http.StatusConflict,
		engine.FencingIgnored: http.StatusOK,
	}
	for fencing, want := range tests {
		t.Run(string(fencing), func(t *testing.T) {
			is := is.New(t)
			s := newTestEngine(t, engine.Options{Fencing: fencing})
			newOrder := engine.Order{Kind: engine.OrderLoadModel, Model: "violin", Version: "2", FencingNumber: 5}
			oldOrder := engine.Order{Kind: engine.OrderUnloadModel, Model: "violin", FencingNumber: 4}
			is.Equal(s.call(http.MethodPost, "/orders", newOrder, nil), http.StatusOK)
			is.Equal(s.call(http.MethodPost, "/orders", oldOrder, nil), want)
			var models engine.ModelList
			s.call(http.MethodGet, "/v1/models", nil, &models)
			is.Equal(len(models.Data) == 2, want == http.StatusConflict)
			var records []engine.OrderRecord
			s.call(http.MethodGet, "/orders", nil, &records)
			is.Equal(records[1].Applied, want == http.StatusOK)
		})
	}
	t.Run("unknown model", func(t *testing.T) {
		is := is.New(t)
		s := newTestEngine(t, engine.Options{})
		is.Equal(s.call(http.MethodPost, "/v1/completions", engine.Completion{Model: "none", MaxTokens: 1}, nil), http.StatusNotFound)
	})
}
