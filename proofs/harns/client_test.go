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

// reply is what a caller saw of one request.
type reply struct {
	// err is set when the connection broke or the caller gave up.
	err        error
	status     int
	body       []byte
	retryAfter string
	requestID  string
	// failure is the error body of anything but success.
	failure struct {
		Code    codes.Code    `json:"code"`
		Name    string        `json:"name"`
		Outcome codes.Outcome `json:"outcome"`
		Detail  string        `json:"detail"`
	}
	// ended is set when a stream brought its end record.
	ended bool
	text  string
	sent  time.Time
	took  time.Duration
}

// ok tells whether the caller has a whole, successful answer.
func (r reply) ok() bool {
	return r.err == nil && r.status == http.StatusOK && r.failure.Code == codes.OK
}

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

// visit is one request of a caller.
type visit struct {
	method, path, body string
	key                string
	// deadline is sent as the header; empty: none.
	deadline string
	stream   bool
	// patience is when the caller hangs up; 0: after a minute.
	patience time.Duration
}

// send makes the request on a connection of its own, so that nothing is sent twice unasked.
func send(address netip.AddrPort, v visit) (r reply) {
	limit := v.patience
	if limit == 0 {
		limit = patience
	}
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	r.sent = time.Now()
	defer func() { r.took = time.Since(r.sent) }()
	body := struct{ io.Reader }{strings.NewReader(v.body)}
	request, err := http.NewRequestWithContext(ctx, v.method, "http://"+address.String()+v.path, body)
	if err != nil {
		r.err = err
		return r
	}
	request.ContentLength = int64(len(v.body))
	if v.body == "" {
		request.Body = http.NoBody
	}
	v.setHeaders(request.Header)
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
	r.read(v.stream && r.status == http.StatusOK)
	return r
}

func (v visit) setHeaders(h http.Header) {
	h.Set("Authorization", "Bearer "+teamToken)
	h.Set("Content-Type", "application/json")
	if v.key != "" {
		h.Set("Idempotency-Key", v.key)
	}
	if v.deadline != "" {
		h.Set("Verbena-Deadline", v.deadline)
	}
	if v.stream {
		h.Set("Accept", "text/event-stream")
	}
}

// read takes the error body, the text of a pipeline's answer or a stream's events.
func (r *reply) read(stream bool) {
	if stream {
		r.readEvents()
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

func (r *reply) readEvents() {
	for _, event := range strings.Split(string(r.body), "\n\n") {
		event = strings.TrimSpace(event)
		if data, found := strings.CutPrefix(event, "event: end\ndata: "); found {
			r.ended = json.Unmarshal([]byte(data), &r.failure) == nil
			continue
		}
		data, found := strings.CutPrefix(event, "data: ")
		if !found {
			continue
		}
		piece := struct {
			Choices []struct {
				Text string `json:"text"`
			} `json:"choices"`
		}{}
		if json.Unmarshal([]byte(data), &piece) == nil && len(piece.Choices) > 0 {
			r.text += piece.Choices[0].Text
		}
	}
}

// order is the request of one order; its body follows from the key.
func order(key string) visit {
	return visit{method: http.MethodPost, path: "/v1/services/orders/orders", key: key, body: orderBody(key), deadline: "15s"}
}

func orderBody(key string) string {
	return `{"spruce-boards":2,"order":"` + key + `"}`
}

// draft is a request of the pipeline that generates text.
func draft(prompt string, tokens int, stream bool) visit {
	body, _ := json.Marshal(map[string]any{"input": prompt, "max-tokens": tokens})
	return visit{method: http.MethodPost, path: "/v1/pipelines/draft", body: string(body), stream: stream}
}

func (d *deployment) callers(entry int) netip.AddrPort {
	d.t.Helper()
	return d.entries[entry].address("", "callers=")
}

func (d *deployment) send(entry int, v visit) reply {
	d.t.Helper()
	return send(d.callers(entry), v)
}

// pending is a request on its way.
type pending struct {
	address netip.AddrPort
	visit   visit
	reply   reply
	done    chan struct{}
}

// begin sends the request without waiting for its answer.
func (d *deployment) begin(entry int, v visit) *pending {
	d.t.Helper()
	p := &pending{address: d.callers(entry), visit: v, done: make(chan struct{})}
	go p.run()
	return p
}

func (p *pending) run() {
	defer close(p.done)
	p.reply = send(p.address, p.visit)
}

func (p *pending) wait() reply {
	<-p.done
	return p.reply
}

// checkOrder fails unless the reply is the answer to the order of that key.
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
		t.Fatalf("order %s got another's answer: %s", key, r.body)
	}
}

// checkText fails unless the text is the whole answer to its own prompt.
func checkText(t *testing.T, prompt string, tokens int, r reply) {
	t.Helper()
	if !r.ok() {
		t.Fatalf("prompt %q: %s", prompt, r)
	}
	if r.text != token.MakeText(prompt, tokens) {
		t.Fatalf("prompt %q: the text is not its own whole answer: %q", prompt, r.text)
	}
}

func same(a, b reply) bool { return bytes.Equal(a.body, b.body) }

// notes is a request of the pipeline with two stages.
func notes(prompt string, tokens int) visit {
	v := draft(prompt, tokens, false)
	v.path = "/v1/pipelines/notes"
	return v
}
