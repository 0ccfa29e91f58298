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

type stand struct {
	t      testing.TB
	server *serve.Server
	books  *ledger.Ledger
}

func newStand(t testing.TB, options engine.Options) *stand {
	t.Helper()
	books := ledger.NewLedger(nil)
	options.Models = []string{"model"}
	e := engine.NewEngine(options, books)
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
	return &stand{t: t, server: server, books: books}
}

func (s *stand) send(ctx context.Context, method, path string, body any) *http.Response {
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

// call sends a call and decodes its answer into v.
func (s *stand) call(method, path string, body, v any) int {
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

type chunk struct {
	Choices []struct {
		Text         string  `json:"text"`
		FinishReason *string `json:"finish_reason"`
	} `json:"choices"`
	Usage *engine.Usage `json:"usage"`
}

// readStream returns the whole text and the usage of a stream that ends as it should.
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

func words(n int) string {
	return strings.Repeat("jack ", n)
}

func TestTokensFollowFromThePrompt(t *testing.T) {
	is := is.New(t)
	s := newStand(t, engine.Options{Slots: 4, TokenInterval: time.Millisecond})
	prompt := "voicing note"
	whole := token.MakeText(prompt, 20)
	is.True(whole != token.MakeText("another", 20))

	completion := engine.Completion{Model: "model", Prompt: prompt, MaxTokens: 20, Stream: true}
	text, usage := readStream(t, s.send(context.Background(), http.MethodPost, "/v1/completions", completion).Body)
	is.Equal(text, whole)
	is.Equal(usage.CompletionTokens, 20)
	is.Equal(usage.PromptTokens, 2)

	completion.ResumeFrom = 15
	text, _ = readStream(t, s.send(context.Background(), http.MethodPost, "/v1/completions", completion).Body)
	is.Equal(text, whole[15*token.Length:])

	var answer chunk
	completion.Stream = false
	completion.ResumeFrom = 0
	is.Equal(s.call(http.MethodPost, "/v1/completions", completion, &answer), http.StatusOK)
	is.Equal(answer.Choices[0].Text, whole)
	runs := s.books.FindRuns()
	is.Equal(len(runs), 3)
	is.True(!runs[2].Finished.IsZero())
}

func TestPrefixCache(t *testing.T) {
	is := is.New(t)
	s := newStand(t, engine.Options{Slots: 1, TokenInterval: time.Millisecond, CacheBlocks: 3})
	cached := func(prompt string) int {
		var answer chunk
		s.call(http.MethodPost, "/v1/completions", engine.Completion{Model: "model", Prompt: prompt, MaxTokens: 1}, &answer)
		return answer.Usage.PromptDetails.CachedTokens
	}
	is.Equal(cached(words(40)), 0)
	is.Equal(cached(words(40)), 32)  // whole blocks only
	is.Equal(cached(words(100)), 32) // the longer prompt evicts its own start
	is.Equal(cached(words(16)), 0)

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
	s := newStand(t, engine.Options{Slots: 1, CacheBlocks: 100, EventGap: 0.5, Seed: 1})
	s.call(http.MethodPost, "/v1/completions", engine.Completion{Model: "model", Prompt: words(16 * 40), MaxTokens: 1}, nil)
	var events engine.CacheEvents
	s.call(http.MethodGet, "/cache-events", nil, &events)
	is.True(len(events.Events) > 0)
	is.True(len(events.Events) < 40)
}

func TestCacheEventsAreLate(t *testing.T) {
	is := is.New(t)
	s := newStand(t, engine.Options{Slots: 1, CacheBlocks: 100, EventLag: time.Hour, LoadLag: time.Hour})
	s.call(http.MethodPost, "/v1/completions", engine.Completion{Model: "model", Prompt: words(32), MaxTokens: 1}, nil)
	var events engine.CacheEvents
	s.call(http.MethodGet, "/cache-events", nil, &events)
	is.Equal(len(events.Events), 0)
	var load engine.Load
	s.call(http.MethodGet, "/load", nil, &load)
	is.Equal(load, engine.Load{Slots: 1}) // an hour ago there was nothing
}

// load waits until the load is as wanted and fails the test by its own timeout otherwise.
func (s *stand) waitLoad(running, waiting int) {
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

// A caller hangs up in the middle of a long stream, and another while it
// waits for the only slot. Both must be gone from the engine at once: the
// server library does not end a request's context, so without the close hook
// the slot would be held until the stream ends, which here is never.
func TestHangUpFreesSlot(t *testing.T) {
	is := is.New(t)
	s := newStand(t, engine.Options{Slots: 1, TokenInterval: time.Millisecond})
	endless := engine.Completion{Model: "model", Prompt: "endless", MaxTokens: 1 << 30, Stream: true}
	ctx, hangUp := context.WithCancel(context.Background())
	response := s.send(ctx, http.MethodPost, "/v1/completions", endless)
	_, err := io.ReadFull(response.Body, make([]byte, 100))
	is.NoErr(err)
	s.waitLoad(1, 0)

	waiter := &caller{stand: s, completion: endless, done: make(chan struct{})}
	waiting, giveUp := context.WithCancel(context.Background())
	go waiter.run(waiting)
	s.waitLoad(1, 1)
	giveUp()
	<-waiter.done
	s.waitLoad(1, 0)
	is.Equal(len(s.books.FindRuns()), 1) // the one that waited never ran

	hangUp()
	s.waitLoad(0, 0)
	is.True(s.books.FindRuns()[0].Finished.IsZero())
	var answer chunk
	is.Equal(s.call(http.MethodPost, "/v1/completions", engine.Completion{Model: "model", Prompt: "next", MaxTokens: 2}, &answer), http.StatusOK)
	is.Equal(answer.Choices[0].Text, token.MakeText("next", 2))
}

// The connection of a stream breaks off in the middle. What came is no whole
// answer, and shows it by the missing end record; the slot is free again.
func TestCutStream(t *testing.T) {
	is := is.New(t)
	s := newStand(t, engine.Options{Slots: 1, TokenInterval: time.Millisecond})
	is.NoErr(s.server.SetFault(fault.Settings{CutAfter: 2, Methods: []string{http.MethodPost}}))
	endless := engine.Completion{Model: "model", Prompt: "endless", MaxTokens: 1 << 30, Stream: true}
	data, err := io.ReadAll(s.send(context.Background(), http.MethodPost, "/v1/completions", endless).Body)
	is.True(err != nil)
	is.True(strings.Contains(string(data), token.Make("endless", 0)))
	is.True(!strings.Contains(string(data), "[DONE]"))
	s.waitLoad(0, 0)
}

// caller sends a completion and reads the answer on a goroutine of its own.
type caller struct {
	stand      *stand
	completion engine.Completion
	done       chan struct{}
}

func (c *caller) run(ctx context.Context) {
	defer close(c.done)
	body, err := json.Marshal(c.completion)
	if err != nil {
		return
	}
	url := "http://" + c.stand.server.Address().String() + "/v1/completions"
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

func TestPriorityGoesFirst(t *testing.T) {
	is := is.New(t)
	s := newStand(t, engine.Options{Slots: 1, TokenInterval: time.Millisecond})
	ctx, hangUp := context.WithCancel(context.Background())
	s.send(ctx, http.MethodPost, "/v1/completions", engine.Completion{Model: "model", Prompt: "first", MaxTokens: 1 << 30, Stream: true})
	s.waitLoad(1, 0)
	callers := []*caller{}
	for i, priority := range []int{2, 1, 1, 0} {
		completion := engine.Completion{Model: "model", Prompt: "waits", MaxTokens: 1 + i, Priority: priority}
		c := &caller{stand: s, completion: completion, done: make(chan struct{})}
		callers = append(callers, c)
		go c.run(context.Background())
		s.waitLoad(1, i+1)
	}
	hangUp()
	for _, c := range callers {
		<-c.done
	}
	runs := s.books.FindRuns()
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
	tests := map[engine.Fencing]int{
		engine.FencingChecks:  http.StatusConflict,
		engine.FencingIgnores: http.StatusOK,
	}
	for fencing, want := range tests {
		t.Run(string(fencing), func(t *testing.T) {
			is := is.New(t)
			s := newStand(t, engine.Options{Fencing: fencing})
			newer := engine.Order{Kind: engine.OrderLoadModel, Model: "violin", Version: "2", Fencing: 5}
			older := engine.Order{Kind: engine.OrderUnloadModel, Model: "violin", Fencing: 4}
			is.Equal(s.call(http.MethodPost, "/orders", newer, nil), http.StatusOK)
			is.Equal(s.call(http.MethodPost, "/orders", older, nil), want)
			var models engine.ServedList
			s.call(http.MethodGet, "/v1/models", nil, &models)
			is.Equal(len(models.Data) == 2, want == http.StatusConflict)
			var records []engine.OrderRecord
			s.call(http.MethodGet, "/orders", nil, &records)
			is.Equal(records[1].Applied, want == http.StatusOK)
		})
	}
	t.Run("unknown model", func(t *testing.T) {
		is := is.New(t)
		s := newStand(t, engine.Options{})
		is.Equal(s.call(http.MethodPost, "/v1/completions", engine.Completion{Model: "none", MaxTokens: 1}, nil), http.StatusNotFound)
	})
}
