package calls

import (
	"bytes"
	"encoding/json"
)

// usageTail is enough for the last event of a completion and its end mark.
const usageTail = 1024

// usageEvent is the part of a completion's last event that counts the prompt.
type usageEvent struct {
	Usage *struct {
		PromptDetails *struct {
			CachedTokens int `json:"cached_tokens"`
		} `json:"prompt_tokens_details"`
	} `json:"usage"`
}

// tail keeps the end of a stream.
type tail struct {
	data []byte
}

func (t *tail) add(piece []byte) {
	t.data = append(t.data, piece...)
	if len(t.data) > usageTail {
		t.data = append(t.data[:0], t.data[len(t.data)-usageTail:]...)
	}
}

// cachedTokens returns what the engine's usage says of the prompt, -1 where it says nothing.
func (t *tail) cachedTokens() int {
	lines := bytes.Split(t.data, []byte("\n"))
	for n := len(lines) - 1; n >= 0; n-- {
		data, found := bytes.CutPrefix(bytes.TrimSpace(lines[n]), []byte("data: "))
		if !found || !bytes.Contains(data, []byte(`"usage"`)) {
			continue
		}
		event := usageEvent{}
		if json.Unmarshal(data, &event) != nil || event.Usage == nil || event.Usage.PromptDetails == nil {
			return -1
		}
		return event.Usage.PromptDetails.CachedTokens
	}
	return -1
}
