package harns_test

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"testing"
	"time"

	"verbenaroad.example/fakes/modules/ledger"
	"verbenaroad.example/fakes/modules/token"
	"verbenaroad.example/share/modules/codes"
)

// reply is the result of one request as the caller observes it.
type reply struct {
	// err is set if the connection failed or the caller canceled the request at its timeout.
	err        error
	status     int
	body       []byte
	retryAfter string
	requestID  string
	// failure is the error body, or the data of the end record of a stream.
	failure struct {
		Code    codes.Code    `json:"code"`
		Name    string        `json:"name"`
		Outcome codes.Outcome `json:"outcome"`
		Detail  string        `json:"detail"`
	}
	// hasEnd is set if a stream contained its end record.
	hasEnd bool
	text   string
	sentAt time.Time
	took   time.Duration
}

// ok reports whether the reply has status 200 and no error. A stream that lacks its end record also
// counts; hasEnd distinguishes the two.
func (r reply) ok() bool {
	return r.err == nil && r.status == http.StatusOK && r.failure.Code == codes.OK
}

// notRun reports whether the reply is a failure that states that the request did not run.
func (r reply) notRun() bool {
	return r.err == nil && !r.ok() && r.failure.Outcome == codes.OutcomeNotRun
}

func (r reply) String() string {
	if r.err != nil {
		return "connection: " + r.err.Error()
	}
	if r.ok() {
		return "ok: " + string(r.body)
	}
	return strconv.Itoa(r.status) + " " + r.failure.Name + " " + string(r.failure.Outcome) + ": " + r.failure.Detail
}

// clientRequest is a request that a caller sends.
type clientRequest struct {
	method, path, body string
	key                string
	// deadline is the value of the Verbena-Deadline header. The header is not sent if it is empty.
	deadline string
	stream   bool
	// callerTimeout is the time after which the caller cancels the request; 0 means waitTimeout.
	callerTimeout time.Duration
}

// send sends the request on a new connection. The body hides its type and the connection is not
// reused, so that the HTTP client cannot retry the request on its own.
func send(address netip.AddrPort, q clientRequest) (r reply) {
	timeout := q.callerTimeout
	if timeout == 0 {
		timeout = waitTimeout
	}
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	r.sentAt = time.Now()
	defer func() { r.took = time.Since(r.sentAt) }()
	body := struct{ io.Reader }{strings.NewReader(q.body)}
	request, err := http.NewRequestWithContext(ctx, q.method, "http://"+address.String()+q.path, body)
	if err != nil {
		r.err = err
		return r
	}
	request.ContentLength = int64(len(q.body))
	if q.body == "" {
		request.Body = http.NoBody
	}
	q.setHeaders(request.Header)
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Do(request)
	if err != nil {
		r.err = err
		return r
	}
	defer func() { _ = response.Body.Close() }()
	r.status = response.StatusCode
	r.retryAfter = response.Header.Get("Retry-After")
	r.requestID = response.Header.Get("Verbena-Request-Id")
	r.body, r.err = io.ReadAll(response.Body)
	r.parse(q.stream && r.status == http.StatusOK)
	return r
}

func (q clientRequest) setHeaders(h http.Header) {
	h.Set("Authorization", "Bearer "+teamToken)
	h.Set("Content-Type", "application/json")
	if q.key != "" {
		h.Set("Idempotency-Key", q.key)
	}
	if q.deadline != "" {
		h.Set("Verbena-Deadline", q.deadline)
	}
	if q.stream {
		h.Set("Accept", "text/event-stream")
	}
}

// parse decodes the error body, the text of a pipeline's answer, or the events of a stream.
func (r *reply) parse(stream bool) {
	if stream {
		r.parseEvents()
		return
	}
	if r.status != http.StatusOK {
		_ = json.Unmarshal(r.body, &r.failure)
		return
	}
	answer := struct {
		Text string `json:"text"`
	}{}
	if json.Unmarshal(r.body, &answer) == nil {
		r.text = answer.Text
	}
}

// parseEvents concatenates the text of a stream's events and decodes its end record.
func (r *reply) parseEvents() {
	for _, event := range strings.Split(string(r.body), "\n\n") {
		event = strings.TrimSpace(event)
		if data, found := strings.CutPrefix(event, "event: end\ndata: "); found {
			r.hasEnd = json.Unmarshal([]byte(data), &r.failure) == nil
			continue
		}
		data, found := strings.CutPrefix(event, "data: ")
		if !found {
			continue
		}
		chunk := struct {
			Choices []struct {
				Text string `json:"text"`
			} `json:"choices"`
		}{}
		if json.Unmarshal([]byte(data), &chunk) == nil && len(chunk.Choices) > 0 {
			r.text += chunk.Choices[0].Text
		}
	}
}

// orderRequest returns a non-idempotent request to the service "orders". The body is derived from
// the idempotency key.
func orderRequest(key string) clientRequest {
	return clientRequest{method: http.MethodPost, path: "/v1/services/orders/orders", key: key, body: orderBody(key), deadline: "15s"}
}

func orderBody(key string) string {
	return `{"spruce-boards":2,"order":"` + key + `"}`
}

// draftRequest returns a request to the pipeline "draft", which generates text.
func draftRequest(prompt string, tokens int, stream bool) clientRequest {
	body, _ := json.Marshal(map[string]any{"input": prompt, "max-tokens": tokens})
	return clientRequest{method: http.MethodPost, path: "/v1/pipelines/draft", body: string(body), stream: stream}
}

// callerAddress returns the address at which an entry accepts callers.
func (d *deployment) callerAddress(entry int) netip.AddrPort {
	d.t.Helper()
	return d.entries[entry].address("", "callers=")
}

func (d *deployment) send(entry int, q clientRequest) reply {
	d.t.Helper()
	return send(d.callerAddress(entry), q)
}

// pending is a request in flight.
type pending struct {
	address netip.AddrPort
	request clientRequest
	reply   reply
	done    chan struct{}
}

// sendAsync sends the request in a new goroutine and returns at once.
func (d *deployment) sendAsync(entry int, q clientRequest) *pending {
	d.t.Helper()
	p := &pending{address: d.callerAddress(entry), request: q, done: make(chan struct{})}
	go p.run()
	return p
}

func (p *pending) run() {
	defer close(p.done)
	p.reply = send(p.address, p.request)
}

func (p *pending) wait() reply {
	<-p.done
	return p.reply
}

// checkOrder fails the test unless the reply is the answer to the order with this key.
func checkOrder(t *testing.T, key string, r reply) {
	t.Helper()
	if !r.ok() {
		t.Fatalf("order %s: %s", key, r)
	}
	answer := struct {
		Key        string `json:"key"`
		BodyDigest string `json:"body-digest"`
	}{}
	if err := json.Unmarshal(r.body, &answer); err != nil {
		t.Fatalf("order %s: %v in %s", key, err, r.body)
	}
	if answer.Key != key || answer.BodyDigest != ledger.Digest([]byte(orderBody(key))) {
		t.Fatalf("order %s: answer belongs to another order: %s", key, r.body)
	}
}

// checkText fails the test unless the text is the complete answer to this prompt.
func checkText(t *testing.T, prompt string, tokens int, r reply) {
	t.Helper()
	if !r.ok() {
		t.Fatalf("prompt %q: %s", prompt, r)
	}
	if r.text != token.MakeText(prompt, tokens) {
		t.Fatalf("prompt %q: text is not the complete answer to this prompt: %q", prompt, r.text)
	}
}

// sameBody reports whether two replies have the same body.
func sameBody(a, b reply) bool { return bytes.Equal(a.body, b.body) }

// notesRequest returns a request to the pipeline "notes", which has two stages: encode and
// generate.
func notesRequest(prompt string, tokens int) clientRequest {
	q := draftRequest(prompt, tokens, false)
	q.path = "/v1/pipelines/notes"
	return q
}
