// Package stages makes the call of each stage kind from what the pipeline
// knows so far, and takes what the stage adds from its answer. Shapes: the
// OpenAI-style embeddings, rerank and completions calls, and a vector search.
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

const defaultLimit = 8

// Document is a text that retrieval found.
type Document struct {
	ID   string `json:"id"`
	Text string `json:"text"`
}

// State is what a pipeline knows between two stages.
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
	// Stream is set where the answer is server-sent events.
	Stream bool
	// Prompt is what a prefix cache sees; empty for other kinds.
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

// BuildCall returns the call of a stage for what is known so far.
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

// PromptOf puts the documents before the question, so that requests over the same documents share a prefix.
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
