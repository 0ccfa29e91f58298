package runner

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"

	"verbenaroad.example/vload/models/scene"
)

// The headers of the caller API.
const (
	headerDeadline = "Verbena-Deadline"
	headerPriority = "Verbena-Priority"
	headerKey      = "Idempotency-Key"
	typeStream     = "text/event-stream"
	typeJSON       = "application/json"
)

// completionsPath is the API of the model engines.
const completionsPath = "/v1/completions"

// keyPlaceholder is replaced by the idempotency key in a class's own body.
const keyPlaceholder = "{key}"

// maker builds the requests of one class.
type maker struct {
	class    *scene.Class
	target   *scene.Target
	path     string
	prompter *prompter
	// keyPrefix differs from run to run, since the system remembers the keys of earlier runs.
	keyPrefix string
}

// newMaker returns the maker of a class.
func newMaker(s *scene.Scenario, class *scene.Class, p *prompter, nonce string) *maker {
	m := &maker{class: class, target: &s.Target, prompter: p, keyPrefix: nonce + "-" + class.Name + "-"}
	m.path = class.Path
	switch {
	case s.Target.Kind == scene.TargetEngine:
		m.path = completionsPath
	case class.Pipeline != "":
		m.path = "/v1/pipelines/" + url.PathEscape(class.Pipeline)
	case class.Service != "":
		m.path = "/v1/services/" + url.PathEscape(class.Service) + "/" + strings.TrimPrefix(class.Path, "/")
	}
	return m
}

// spec says what one request carries.
type spec struct {
	// count numbers the requests of the class from 0.
	count   uint64
	seed    uint64
	address string
}

// make builds the request.
func (m *maker) make(ctx context.Context, s spec) (*http.Request, error) {
	key := m.key(s.count)
	body := m.body(m.seed(s), key)
	request, err := http.NewRequestWithContext(ctx, m.class.Method, "http://"+s.address+m.path, bytes.NewReader(body))
	if err != nil {
		return nil, ErrRunner.Wrap(err)
	}
	// net/http sends a request a second time, unasked, when a reused connection breaks and
	// it can have the body again. The figures would then count one request where two were
	// sent, and an order could run twice. A body that cannot be had again rules it out.
	request.GetBody = nil
	request.Body = io.NopCloser(bytes.NewReader(body))
	m.setHeaders(request.Header, key)
	return request, nil
}

// seed returns what decides the prompt: the same key goes with the same body.
func (m *maker) seed(s spec) uint64 {
	switch {
	case m.class.Key == scene.KeyRepeat:
		return s.count / uint64(m.class.KeyRepeats)
	case m.class.Prompt.Distinct > 0:
		return s.seed % uint64(m.class.Prompt.Distinct)
	default:
		return s.seed
	}
}

// setHeaders fills in the headers of the class.
func (m *maker) setHeaders(h http.Header, key string) {
	h.Set("Content-Type", typeJSON)
	if m.class.Stream {
		h.Set("Accept", typeStream)
	}
	if m.class.Token != "" {
		h.Set("Authorization", "Bearer "+m.class.Token)
	}
	if m.target.Kind == scene.TargetEntry {
		h.Set(headerDeadline, m.class.Deadline.Value().String())
	}
	if m.class.Priority != "" {
		h.Set(headerPriority, string(m.class.Priority))
	}
	if key != "" {
		h.Set(headerKey, key)
	}
}

// key returns the idempotency key of the class's count-th request, or none.
func (m *maker) key(count uint64) string {
	switch m.class.Key {
	case scene.KeyUnique:
		return m.keyPrefix + strconv.FormatUint(count, 10)
	case scene.KeyRepeat:
		return m.keyPrefix + strconv.FormatUint(count/uint64(m.class.KeyRepeats), 10)
	default:
		return ""
	}
}

// body returns the request's body. Prompts are plain ASCII, so quoting them needs no full JSON encoder.
func (m *maker) body(seed uint64, key string) []byte {
	if m.class.Body != "" {
		return []byte(strings.ReplaceAll(m.class.Body, keyPlaceholder, key))
	}
	prompt := m.prompter.prompt(seed)
	const overhead = 128
	body := make([]byte, 0, len(prompt)+overhead)
	if m.target.Kind == scene.TargetEngine {
		return m.appendCompletion(body, prompt)
	}
	body = append(body, `{"input":`...)
	body = strconv.AppendQuote(body, prompt)
	if m.class.MaxTokens > 0 {
		body = append(body, `,"max-tokens":`...)
		body = strconv.AppendInt(body, int64(m.class.MaxTokens), 10)
	}
	return append(body, '}')
}

// appendCompletion adds the body of a completions call.
func (m *maker) appendCompletion(body []byte, prompt string) []byte {
	body = append(body, `{"model":`...)
	body = strconv.AppendQuote(body, m.target.Model)
	body = append(body, `,"prompt":`...)
	body = strconv.AppendQuote(body, prompt)
	if m.class.MaxTokens > 0 {
		body = append(body, `,"max_tokens":`...)
		body = strconv.AppendInt(body, int64(m.class.MaxTokens), 10)
	}
	body = append(body, `,"stream":`...)
	body = strconv.AppendBool(body, m.class.Stream)
	return append(body, '}')
}
