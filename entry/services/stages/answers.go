package stages

import (
	"bytes"
	"encoding/json"
	"strings"

	"github.com/tmaxmax/go-sse"

	"verbenaroad.example/share/models/config"
)

type embeddingAnswer struct {
	Data []struct {
		Embedding []float64 `json:"embedding"`
	} `json:"data"`
}

type searchAnswer struct {
	Documents []Document `json:"documents"`
}

type rerankAnswer struct {
	Results []struct {
		Index int `json:"index"`
	} `json:"results"`
}

type completionEvent struct {
	Choices []struct {
		Text string `json:"text"`
	} `json:"choices"`
}

// doneData is the data of the event that ends a completion's stream.
const doneData = "[DONE]"

// ApplyAnswer adds a stage's complete answer to the state.
func ApplyAnswer(kind config.StageKind, body []byte, state *State) error {
	switch kind {
	case config.StageEncode:
		return applyEmbedding(body, state)
	case config.StageRetrieve:
		return applyDocuments(body, state)
	case config.StageRerank:
		return applyOrder(body, state)
	case config.StageGenerate:
		return applyText(body, state)
	default:
		return ErrStage.New("unknown kind %q", kind)
	}
}

func applyEmbedding(body []byte, state *State) error {
	answer := embeddingAnswer{}
	if err := json.Unmarshal(body, &answer); err != nil {
		return ErrStage.Wrap(err)
	}
	if len(answer.Data) != 1 || len(answer.Data[0].Embedding) == 0 {
		return ErrStage.New("want one embedding, got %d", len(answer.Data))
	}
	state.Vector = answer.Data[0].Embedding
	return nil
}

func applyDocuments(body []byte, state *State) error {
	answer := searchAnswer{}
	if err := json.Unmarshal(body, &answer); err != nil {
		return ErrStage.Wrap(err)
	}
	state.Documents = answer.Documents
	return nil
}

// applyOrder keeps the documents that the rerank answer names, in its order. An index that is out
// of range or occurs twice is an error.
func applyOrder(body []byte, state *State) error {
	answer := rerankAnswer{}
	if err := json.Unmarshal(body, &answer); err != nil {
		return ErrStage.Wrap(err)
	}
	ordered := make([]Document, 0, len(answer.Results))
	seen := make(map[int]bool, len(answer.Results))
	for _, result := range answer.Results {
		if result.Index < 0 || result.Index >= len(state.Documents) || seen[result.Index] {
			return ErrStage.New("rerank index %d of %d documents", result.Index, len(state.Documents))
		}
		seen[result.Index] = true
		ordered = append(ordered, state.Documents[result.Index])
	}
	state.Documents = ordered
	return nil
}

func applyText(body []byte, state *State) error {
	text := strings.Builder{}
	for event, err := range sse.Read(bytes.NewReader(body), nil) {
		if err != nil {
			return ErrStage.Wrap(err)
		}
		if event.Data == doneData {
			break
		}
		completion := completionEvent{}
		if err := json.Unmarshal([]byte(event.Data), &completion); err != nil {
			return ErrStage.Wrap(err)
		}
		for _, choice := range completion.Choices {
			text.WriteString(choice.Text)
		}
	}
	state.Text = text.String()
	return nil
}
