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

// Completion holds the fields of an OpenAI completion request that the engine reads.
type Completion struct {
	Model     string `json:"model"`
	Prompt    string `json:"prompt"`
	MaxTokens int    `json:"max_tokens"`
	Stream    bool   `json:"stream"`
	// Priority orders waiting requests; a lower number is admitted first.
	Priority int `json:"priority"`
	// ResumeFrom is the index of the first token to send, for a stream that broke off after that many
	// tokens. MaxTokens counts from the start of the complete answer.
	ResumeFrom int `json:"resume_from"`
}

// Usage holds the token counts of a request and its answer.
type Usage struct {
	PromptTokens     int           `json:"prompt_tokens"`
	CompletionTokens int           `json:"completion_tokens"`
	TotalTokens      int           `json:"total_tokens"`
	PromptDetails    PromptDetails `json:"prompt_tokens_details"`
}

// PromptDetails holds the number of prompt tokens that were found in the prefix cache.
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
	s.onStart = func() { run = e.ledger.Start(r, body) }
	e.submit(s)
	// The caller may disconnect at any time; its sequence must not keep a slot.
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

// generate sends the answer, a stream's tokens as they are generated. It returns false if the
// caller disconnected or the engine stopped before the answer was complete.
func (e *Engine) generate(w http.ResponseWriter, r *http.Request, completion Completion, s *sequence, run int) bool {
	a := newAnswerBuilder(completion, s, run)
	if completion.Stream {
		w.Header().Set("Content-Type", "text/event-stream")
	}
	for sent := 0; sent < s.maxTokens; {
		select {
		case <-s.signal:
		case <-r.Context().Done():
			return false
		case <-e.done:
			return false
		}
		generated := int(s.emitted.Load())
		if completion.Stream && generated > sent {
			if !flush(w, a.appendTokens(sent, generated)) {
				return false
			}
		}
		sent = generated
	}
	if completion.Stream {
		return flush(w, a.appendEnd())
	}
	serve.WriteJSON(w, a.complete())
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

// answerBuilder encodes one answer. The events of a stream go into a buffer that it reuses.
type answerBuilder struct {
	completion Completion
	sequence   *sequence
	id         string
	// head is the part of a token's event that precedes the text, the same in every event.
	head   []byte
	buffer []byte
}

func newAnswerBuilder(completion Completion, s *sequence, run int) *answerBuilder {
	a := &answerBuilder{completion: completion, sequence: s, id: "cmpl-" + strconv.Itoa(run)}
	a.head = append(a.head, `data: {"id":"`+a.id+`","object":"text_completion","model":`...)
	a.head = strconv.AppendQuote(a.head, completion.Model)
	a.head = append(a.head, `,"choices":[{"index":0,"text":"`...)
	return a
}

// appendTokens returns the events of the tokens in [from, to). The result is valid until the next
// call of an append method.
func (a *answerBuilder) appendTokens(from, to int) []byte {
	a.buffer = a.buffer[:0]
	for i := from; i < to; i++ {
		a.buffer = append(a.buffer, a.head...)
		a.buffer = append(a.buffer, token.Make(a.completion.Prompt, a.sequence.first+i)...)
		if i+1 == a.sequence.maxTokens {
			a.buffer = append(a.buffer, `","finish_reason":"`+finishLength+`"}]}`+"\n\n"...)
			continue
		}
		a.buffer = append(a.buffer, `","finish_reason":null}]}`+"\n\n"...)
	}
	return a.buffer
}

// appendEnd returns the event with the usage, followed by the [DONE] event. The result is valid
// until the next call of an append method.
func (a *answerBuilder) appendEnd() []byte {
	end := completionAnswer{ID: a.id, Object: "text_completion", Model: a.completion.Model, Choices: []choice{}, Usage: a.usage()}
	body, err := json.Marshal(end)
	if err != nil {
		return nil
	}
	a.buffer = append(a.buffer[:0], "data: "...)
	a.buffer = append(a.buffer, body...)
	return append(a.buffer, "\n\ndata: [DONE]\n\n"...)
}

func (a *answerBuilder) usage() Usage {
	prompt := token.Count(a.completion.Prompt)
	return Usage{
		PromptTokens:     prompt,
		CompletionTokens: a.sequence.maxTokens,
		TotalTokens:      prompt + a.sequence.maxTokens,
		PromptDetails:    PromptDetails{CachedTokens: a.sequence.cachedTokens},
	}
}

func (a *answerBuilder) complete() completionAnswer {
	text := ""
	for i := range a.sequence.maxTokens {
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
