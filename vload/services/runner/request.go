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

// Headers and content types of the caller API.
const (
	headerDeadline = "Verbena-Deadline"
	headerPriority = "Verbena-Priority"
	headerKey      = "Idempotency-Key"
	typeStream     = "text/event-stream"
	typeJSON       = "application/json"
)

// completionsPath is the path of the completions API of model engines.
const completionsPath = "/v1/completions"

// keyPlaceholder is replaced by the idempotency key in a body that the scenario gives.
const keyPlaceholder = "{key}"

// requestBuilder builds the requests of one class.
type requestBuilder struct {
	class   *scene.Class
	target  *scene.Target
	path    string
	prompts *promptGenerator
	// keyPrefix differs between runs, since the system under test remembers the keys of earlier
	// runs.
	keyPrefix string
}

// newRequestBuilder returns a builder for the class.
func newRequestBuilder(s *scene.Scenario, class *scene.Class, p *promptGenerator, nonce string) *requestBuilder {
	b := &requestBuilder{class: class, target: &s.Target, prompts: p, keyPrefix: nonce + "-" + class.Name + "-"}
	b.path = class.Path
	switch {
	case s.Target.Kind == scene.TargetEngine:
		b.path = completionsPath
	case class.Pipeline != "":
		b.path = "/v1/pipelines/" + url.PathEscape(class.Pipeline)
	case class.Service != "":
		b.path = "/v1/services/" + url.PathEscape(class.Service) + "/" + strings.TrimPrefix(class.Path, "/")
	}
	return b
}

// spec holds what distinguishes a request from others of its class.
type spec struct {
	// count numbers the requests of the class from 0.
	count   uint64
	seed    uint64
	address string
}

func (b *requestBuilder) build(ctx context.Context, s spec) (*http.Request, error) {
	key := b.key(s.count)
	body := b.body(b.seed(s), key)
	request, err := http.NewRequestWithContext(ctx, b.class.Method, "http://"+s.address+b.path, bytes.NewReader(body))
	if err != nil {
		return nil, ErrRunner.Wrap(err)
	}
	// net/http retries a request on its own if a reused connection breaks and the body can be
	// obtained again. The figures would then count one request where two were sent, and a
	// non-idempotent call could run twice. A body that cannot be obtained again prevents this.
	request.GetBody = nil
	request.Body = io.NopCloser(bytes.NewReader(body))
	b.setHeaders(request.Header, key)
	return request, nil
}

// seed returns the seed of the prompt. Requests with the same idempotency key have the same seed
// and thus the same body.
func (b *requestBuilder) seed(s spec) uint64 {
	switch {
	case b.class.Key == scene.KeyRepeat:
		return s.count / uint64(b.class.KeyRepeats)
	case b.class.Prompt.Distinct > 0:
		return s.seed % uint64(b.class.Prompt.Distinct)
	default:
		return s.seed
	}
}

// setHeaders sets the request headers that the class asks for.
func (b *requestBuilder) setHeaders(h http.Header, key string) {
	h.Set("Content-Type", typeJSON)
	if b.class.Stream {
		h.Set("Accept", typeStream)
	}
	if b.class.Token != "" {
		h.Set("Authorization", "Bearer "+b.class.Token)
	}
	if b.target.Kind == scene.TargetEntry {
		h.Set(headerDeadline, b.class.Deadline.Value().String())
	}
	if b.class.Priority != "" {
		h.Set(headerPriority, string(b.class.Priority))
	}
	if key != "" {
		h.Set(headerKey, key)
	}
}

// key returns the idempotency key of the class's request number count; it is empty if the class
// uses no keys.
func (b *requestBuilder) key(count uint64) string {
	switch b.class.Key {
	case scene.KeyUnique:
		return b.keyPrefix + strconv.FormatUint(count, 10)
	case scene.KeyRepeat:
		return b.keyPrefix + strconv.FormatUint(count/uint64(b.class.KeyRepeats), 10)
	default:
		return ""
	}
}

// body returns the request's body. Prompts are plain ASCII, so quoting them does not need a JSON
// encoder.
func (b *requestBuilder) body(seed uint64, key string) []byte {
	if b.class.Body != "" {
		return []byte(strings.ReplaceAll(b.class.Body, keyPlaceholder, key))
	}
	prompt := b.prompts.generate(seed)
	const overhead = 128
	body := make([]byte, 0, len(prompt)+overhead)
	if b.target.Kind == scene.TargetEngine {
		return b.appendCompletion(body, prompt)
	}
	body = append(body, `{"input":`...)
	body = strconv.AppendQuote(body, prompt)
	if b.class.MaxTokens > 0 {
		body = append(body, `,"max-tokens":`...)
		body = strconv.AppendInt(body, int64(b.class.MaxTokens), 10)
	}
	return append(body, '}')
}

// appendCompletion appends the JSON body of a completions call.
func (b *requestBuilder) appendCompletion(body []byte, prompt string) []byte {
	body = append(body, `{"model":`...)
	body = strconv.AppendQuote(body, b.target.Model)
	body = append(body, `,"prompt":`...)
	body = strconv.AppendQuote(body, prompt)
	if b.class.MaxTokens > 0 {
		body = append(body, `,"max_tokens":`...)
		body = strconv.AppendInt(body, int64(b.class.MaxTokens), 10)
	}
	body = append(body, `,"stream":`...)
	body = strconv.AppendBool(body, b.class.Stream)
	return append(body, '}')
}
