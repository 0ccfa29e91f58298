package calls

import (
	"bytes"
	"encoding/json"
)

// usageTail is the number of bytes kept of a stream's end. It has room for a completion's last
// event and the [DONE] event.
const usageTail = 1024

// usageEvent holds the number of cached prompt tokens from a completion's last event.
type usageEvent struct {
	Usage *struct {
		PromptDetails *struct {
			CachedTokens int `json:"cached_tokens"`
		} `json:"prompt_tokens_details"`
	} `json:"usage"`
}

// tail keeps the last usageTail bytes of a stream.
type tail struct {
	data []byte
}

func (t *tail) add(part []byte) {
	t.data = append(t.data, part...)
	if len(t.data) > usageTail {
		t.data = append(t.data[:0], t.data[len(t.data)-usageTail:]...)
	}
}

// cachedTokens returns how many of the prompt's tokens the engine reports as cached, or -1 if it
// doesn't report that.
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
