package runner

import (
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/tmaxmax/go-sse"

	"verbenaroad.example/share/modules/codes"
	"verbenaroad.example/vload/models/scene"
	"verbenaroad.example/vload/services/tally"
)

const (
	// maxAnswerBytes limits how much is read of an answer that is not a stream.
	maxAnswerBytes = 16 << 20
	// maxEventBytes limits one event of a stream and the body of a refusal.
	maxEventBytes = 1 << 20
	// endEvent is the type of the event that ends a stream of the caller API.
	endEvent = "end"
	// doneData is the data of the event that ends a model engine's stream.
	doneData = "[DONE]"
	// headerRetryAfter is the header in which a refusal advises how long to wait, in whole seconds.
	headerRetryAfter = "Retry-After"
)

// errIncomplete is returned for an answer that lacks its end record or does not match what its
// class expects.
var errIncomplete = errors.New("incomplete answer")

// result is the body of a refusal and the data of the end event.
type result struct {
	Code       *codes.Code   `json:"code"`
	Name       string        `json:"name"`
	Outcome    codes.Outcome `json:"outcome"`
	RetryAfter string        `json:"retry-after"`
	RequestID  string        `json:"request-id"`
}

// answerReader reads one response and fills in its sample.
type answerReader struct {
	class  *scene.Class
	kind   scene.TargetKind
	sample *tally.Sample
	// intended is the scheduled send time, from which the time to the first token is measured.
	intended  time.Time
	lastToken time.Time
	// digest hashes the tokens' text if the class has SameAnswer set; otherwise it is nil.
	digest *xxhash.Digest
}

// read reads the response to its end and sets the sample's ending and result. It returns an error
// if the answer breaks off or is incomplete.
func (a *answerReader) read(response *http.Response) error {
	if response.StatusCode < 200 || response.StatusCode > 299 {
		return a.readRefusal(response)
	}
	stream := strings.HasPrefix(response.Header.Get("Content-Type"), typeStream)
	if stream != a.class.Stream {
		return errIncomplete
	}
	if stream {
		return a.readStream(response.Body)
	}
	return a.readBody(response)
}

// readRefusal reads an answer whose HTTP status is not 2xx.
func (a *answerReader) readRefusal(response *http.Response) error {
	text, err := io.ReadAll(io.LimitReader(response.Body, maxEventBytes))
	if err != nil {
		return err
	}
	r := result{}
	if json.Unmarshal(text, &r) != nil || r.Code == nil {
		r = result{Name: "http-" + strconv.Itoa(response.StatusCode)}
	}
	a.setRefusal(&r)
	if a.sample.RetryAfter == 0 {
		a.sample.RetryAfter = parseSeconds(response.Header.Get(headerRetryAfter))
	}
	return nil
}

// setRefusal records a result other than success.
func (a *answerReader) setRefusal(r *result) {
	a.sample.Ending = tally.EndingRefused
	a.sample.CodeName = r.Name
	if r.Name == "" && r.Code != nil {
		a.sample.CodeName = r.Code.Name()
	}
	a.sample.Outcome = r.Outcome
	a.setRequestID(r.RequestID)
	wait, err := time.ParseDuration(r.RetryAfter)
	if err == nil {
		a.sample.RetryAfter = wait
	}
}

// setRequestID records the request id, except in a class that repeats idempotency keys: there the
// answer to the first request of a key may be returned again, so ids may legitimately recur.
func (a *answerReader) setRequestID(id string) {
	if a.class.Key != scene.KeyRepeat {
		a.sample.RequestID = id
	}
}

// parseSeconds parses a Retry-After header given in seconds; it returns 0 if that is absent or
// invalid.
func parseSeconds(text string) time.Duration {
	seconds, err := strconv.ParseFloat(text, 64)
	if err != nil {
		return 0
	}
	return time.Duration(seconds * float64(time.Second))
}

// readBody reads an answer that is not a stream. A body shorter than its Content-Length is a read
// error.
func (a *answerReader) readBody(response *http.Response) error {
	text, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes))
	if err != nil {
		return err
	}
	isJSON := strings.HasPrefix(response.Header.Get("Content-Type"), typeJSON)
	if a.kind == scene.TargetHTTP || a.class.Service != "" || !isJSON {
		if isJSON && !json.Valid(text) {
			return errIncomplete
		}
		a.sample.Ending = tally.EndingComplete
		return nil
	}
	r := result{}
	if json.Unmarshal(text, &r) != nil {
		return errIncomplete
	}
	a.setResult(&r)
	return nil
}

// setResult records the result of a complete answer. Without a code the answer is a success, as its
// HTTP status was.
func (a *answerReader) setResult(r *result) {
	if r.Code != nil && *r.Code != codes.OK {
		a.setRefusal(r)
		return
	}
	a.sample.Ending = tally.EndingComplete
	a.setRequestID(r.RequestID)
}

// readStream reads the events of a stream until the body ends.
func (a *answerReader) readStream(body io.Reader) error {
	ended := false
	for event, err := range sse.Read(body, &sse.ReadConfig{MaxEventSize: maxEventBytes}) {
		if err != nil {
			return err
		}
		if ended {
			return errIncomplete // no event may follow the one that ends the stream
		}
		ended, err = a.readEvent(&event)
		if err != nil {
			return err
		}
	}
	if !ended {
		return errIncomplete
	}
	if a.sample.Ending == tally.EndingComplete && a.class.ExpectTokens > 0 && a.sample.Tokens != a.class.ExpectTokens {
		return errIncomplete
	}
	return nil
}

// readEvent handles one event and reports whether it ends the stream.
func (a *answerReader) readEvent(event *sse.Event) (bool, error) {
	if a.kind == scene.TargetEntry && event.Type == endEvent {
		r := result{}
		if json.Unmarshal([]byte(event.Data), &r) != nil || r.Code == nil {
			return false, errIncomplete
		}
		a.setResult(&r)
		return true, nil
	}
	if a.kind != scene.TargetEntry && event.Data == doneData {
		a.sample.Ending = tally.EndingComplete
		return true, nil
	}
	if event.Type == "" && !isUsage(event.Data) {
		a.recordToken()
		a.hashText(event.Data)
	}
	return false, nil
}

// isUsage reports whether an engine's event carries usage figures instead of a token. A substring
// search is sufficient, since the text of a token cannot contain unescaped quotes.
func isUsage(data string) bool {
	return strings.Contains(data, `"choices":[]`) || strings.Contains(data, `"choices": []`)
}

// tokenEvent is the part of a token's event that holds its text: in the caller API's format or, as
// choices, in that of engines.
type tokenEvent struct {
	Text    string `json:"text"`
	Choices []struct {
		Text string `json:"text"`
	} `json:"choices"`
}

// hashText adds the text of a token to the digest. The rest of the event is left out, since ids and
// times differ between equal answers.
func (a *answerReader) hashText(data string) {
	if a.digest == nil {
		return
	}
	t := tokenEvent{}
	if json.Unmarshal([]byte(data), &t) != nil {
		return
	}
	_, _ = a.digest.WriteString(t.Text)
	for _, choice := range t.Choices {
		_, _ = a.digest.WriteString(choice.Text)
	}
	a.sample.TextDigest = a.digest.Sum64()
}

// recordToken counts a token and records its time.
func (a *answerReader) recordToken() {
	now := time.Now()
	if a.sample.Tokens == 0 {
		a.sample.FirstToken = now.Sub(a.intended)
	} else {
		a.sample.Gaps = append(a.sample.Gaps, now.Sub(a.lastToken))
	}
	a.sample.Tokens++
	a.lastToken = now
}
