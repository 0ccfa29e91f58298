package engine

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"

	"verbenaroad.example/fakes/modules/ledger"
	"verbenaroad.example/fakes/modules/serve"
	"verbenaroad.example/fakes/modules/token"
)

const (
	defaultMaxTokens = 16
	finishLength     = "length"
)

// Completion is the part of an OpenAI completion request that the engine reads.
type Completion struct {
	Model     string `json:"model"`
	Prompt    string `json:"prompt"`
	MaxTokens int    `json:"max_tokens"`
	Stream    bool   `json:"stream"`
	// Priority orders waiting requests; a lower number goes first.
	Priority int `json:"priority"`
	// ResumeFrom is the index of the first token wanted, for a stream that was
	// canceled after that many; MaxTokens counts from the start of the whole answer.
	ResumeFrom int `json:"resume_from"`
}

// Usage counts the tokens of a request.
type Usage struct {
	PromptTokens     int           `json:"prompt_tokens"`
	CompletionTokens int           `json:"completion_tokens"`
	TotalTokens      int           `json:"total_tokens"`
	PromptDetails    PromptDetails `json:"prompt_tokens_details"`
}

// PromptDetails says how much of the prompt was cached.
type PromptDetails struct {
	CachedTokens int `json:"cached_tokens"`
}

type choice struct {
	Index        int    `json:"index"`
	Text         string `json:"text"`
	FinishReason string `json:"finish_reason"`
}

type completionAnswer struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Model   string   `json:"model"`
	Choices []choice `json:"choices"`
	Usage   Usage    `json:"usage"`
}

func (e *Engine) postCompletion(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	completion, err := parseCompletion(body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if !e.catalog.serves(completion.Model) {
		http.Error(w, "the model "+strconv.Quote(completion.Model)+" is not loaded", http.StatusNotFound)
		return
	}
	s := newSequence(completion.Prompt, completion.ResumeFrom, completion.MaxTokens-completion.ResumeFrom, completion.Priority)
	var run ledger.Run
	s.begin = func() { run = e.ledger.Start(r, body) }
	e.submit(s)
	// The caller may go away at any moment; what it leaves must not hold a slot.
	defer e.cancel(s)
	select {
	case <-s.started:
	case <-r.Context().Done():
		return
	}
	if e.generate(w, r, completion, s, run.Run) {
		e.ledger.Finish(run.Run)
	}
}

func parseCompletion(body []byte) (Completion, error) {
	completion := Completion{MaxTokens: defaultMaxTokens}
	if err := json.Unmarshal(body, &completion); err != nil {
		return Completion{}, err
	}
	if completion.ResumeFrom < 0 || completion.MaxTokens <= completion.ResumeFrom {
		return Completion{}, errCompletion.New("max_tokens must be above resume_from")
	}
	return completion, nil
}

// generate passes the tokens on as they come; false means that the caller went away.
func (e *Engine) generate(w http.ResponseWriter, r *http.Request, completion Completion, s *sequence, run int) bool {
	a := newAnswerer(completion, s, run)
	if completion.Stream {
		w.Header().Set("Content-Type", "text/event-stream")
	}
	for sent := 0; sent < s.limit; {
		select {
		case <-s.signal:
		case <-r.Context().Done():
			return false
		case <-e.done:
			return false
		}
		ready := int(s.emitted.Load())
		if completion.Stream && ready > sent {
			if !flush(w, a.appendTokens(sent, ready)) {
				return false
			}
		}
		sent = ready
	}
	if completion.Stream {
		return flush(w, a.appendEnd())
	}
	serve.WriteJSON(w, a.whole())
	return true
}

func flush(w http.ResponseWriter, data []byte) bool {
	if _, err := w.Write(data); err != nil {
		return false
	}
	if f, ok := w.(http.Flusher); ok {
		f.Flush()
	}
	return true
}

// answerer writes the events of one answer into a buffer that it reuses.
type answerer struct {
	completion Completion
	sequence   *sequence
	id         string
	// head is the start of every event up to the text.
	head   []byte
	buffer []byte
}

func newAnswerer(completion Completion, s *sequence, run int) *answerer {
	a := &answerer{completion: completion, sequence: s, id: "cmpl-" + strconv.Itoa(run)}
	a.head = append(a.head, `data: {"id":"`+a.id+`","object":"text_completion","model":`...)
	a.head = strconv.AppendQuote(a.head, completion.Model)
	a.head = append(a.head, `,"choices":[{"index":0,"text":"`...)
	return a
}

// appendTokens returns the events of the tokens from up to but not including to.
func (a *answerer) appendTokens(from, to int) []byte {
	a.buffer = a.buffer[:0]
	for i := from; i < to; i++ {
		a.buffer = append(a.buffer, a.head...)
		a.buffer = append(a.buffer, token.Make(a.completion.Prompt, a.sequence.first+i)...)
		if i+1 == a.sequence.limit {
			a.buffer = append(a.buffer, `","finish_reason":"`+finishLength+`"}]}`+"\n\n"...)
			continue
		}
		a.buffer = append(a.buffer, `","finish_reason":null}]}`+"\n\n"...)
	}
	return a.buffer
}

// appendEnd returns the event with the usage and the end record.
func (a *answerer) appendEnd() []byte {
	end := completionAnswer{ID: a.id, Object: "text_completion", Model: a.completion.Model, Choices: []choice{}, Usage: a.usage()}
	body, err := json.Marshal(end)
	if err != nil {
		return nil
	}
	a.buffer = append(a.buffer[:0], "data: "...)
	a.buffer = append(a.buffer, body...)
	return append(a.buffer, "\n\ndata: [DONE]\n\n"...)
}

func (a *answerer) usage() Usage {
	prompt := token.Count(a.completion.Prompt)
	return Usage{
		PromptTokens:     prompt,
		CompletionTokens: a.sequence.limit,
		TotalTokens:      prompt + a.sequence.limit,
		PromptDetails:    PromptDetails{CachedTokens: a.sequence.cached},
	}
}

func (a *answerer) whole() completionAnswer {
	text := ""
	for i := range a.sequence.limit {
		text += token.Make(a.completion.Prompt, a.sequence.first+i)
	}
	return completionAnswer{
		ID:      a.id,
		Object:  "text_completion",
		Model:   a.completion.Model,
		Choices: []choice{{Text: text, FinishReason: finishLength}},
		Usage:   a.usage(),
	}
}
