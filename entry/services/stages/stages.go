// Package stages builds the call of each kind of stage from the pipeline's state and adds the
// stage's answer to that state. The calls are OpenAI-style embeddings, rerank and completions, and
// a vector search.
package stages

import (
	"encoding/json"
	"net/http"
	"strings"

	"github.com/zeebo/errs"

	"verbenaroad.example/share/models/config"
)

// ErrStage is the class of errors of this package.
var ErrStage = errs.Class("stage") //nolint:gochecknoglobals // an error class is a constant in all but syntax

// defaultLimit applies to a stage without a limit of documents or tokens.
const defaultLimit = 8

// Document is a text that retrieval found.
type Document struct {
	ID   string `json:"id"`
	Text string `json:"text"`
}

// State holds the request and the results of the stages that have run.
type State struct {
	Input     string
	Vector    []float64
	Documents []Document
	MaxTokens int
	Text      string
}

// Call is one stage's HTTP call.
type Call struct {
	Method string
	Path   string
	Body   []byte
	// Stream is set if the answer consists of server-sent events.
	Stream bool
	// Prompt is the prompt of a generate stage, which prefix caches match; empty for other kinds.
	Prompt string
}

type embeddingCall struct {
	Model string   `json:"model"`
	Input []string `json:"input"`
}

type searchCall struct {
	Vector []float64 `json:"vector"`
	Limit  int       `json:"limit"`
}

type rerankCall struct {
	Model     string   `json:"model"`
	Query     string   `json:"query"`
	Documents []string `json:"documents"`
	TopN      int      `json:"top_n"`
}

type completionCall struct {
	Model     string `json:"model"`
	Prompt    string `json:"prompt"`
	MaxTokens int    `json:"max_tokens"`
	Stream    bool   `json:"stream"`
	Priority  int    `json:"priority"`
}

// BuildCall returns the call of a stage for the current state.
func BuildCall(stage config.Stage, state *State, priority config.Priority) (Call, error) {
	switch stage.Kind {
	case config.StageEncode:
		return newCall("/v1/embeddings", embeddingCall{Model: stage.Model, Input: []string{state.Input}})
	case config.StageRetrieve:
		return newCall("/v1/search", searchCall{Vector: state.Vector, Limit: limitOf(stage)})
	case config.StageRerank:
		return newCall("/v1/rerank", rerankCall{
			Model:     stage.Model,
			Query:     state.Input,
			Documents: textsOf(state.Documents),
			TopN:      limitOf(stage),
		})
	case config.StageGenerate:
		return buildCompletion(stage, state, priority)
	default:
		return Call{}, ErrStage.New("unknown kind %q", stage.Kind)
	}
}

func buildCompletion(stage config.Stage, state *State, priority config.Priority) (Call, error) {
	tokens := limitOf(stage)
	if state.MaxTokens > 0 && state.MaxTokens < tokens {
		tokens = state.MaxTokens
	}
	prompt := PromptOf(state)
	call, err := newCall("/v1/completions", completionCall{
		Model:     stage.Model,
		Prompt:    prompt,
		MaxTokens: tokens,
		Stream:    true,
		Priority:  priority.Rank(),
	})
	call.Stream = true
	call.Prompt = prompt
	return call, err
}

// PromptOf returns the documents followed by the input, so that requests with the same documents
// share a prefix.
func PromptOf(state *State) string {
	parts := append(textsOf(state.Documents), state.Input)
	return strings.Join(parts, "\n")
}

func newCall(path string, body any) (Call, error) {
	encoded, err := json.Marshal(body)
	if err != nil {
		return Call{}, ErrStage.Wrap(err)
	}
	return Call{Method: http.MethodPost, Path: path, Body: encoded}, nil
}

func limitOf(stage config.Stage) int {
	if stage.Limit > 0 {
		return stage.Limit
	}
	return defaultLimit
}

func textsOf(documents []Document) []string {
	texts := make([]string, 0, len(documents)+1)
	for _, d := range documents {
		texts = append(texts, d.Text)
	}
	return texts
}
