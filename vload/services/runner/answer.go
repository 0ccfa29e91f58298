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
	// maxAnswer bounds an answer that is no stream.
	maxAnswer = 16 << 20
	// maxEvent bounds one event of a stream.
	maxEvent = 1 << 20
	// endEvent is the type of the last event of the caller API.
	endEvent = "end"
	// doneData is the last event of a model engine.
	doneData = "[DONE]"
	// headerRetryAfter is given in whole seconds.
	headerRetryAfter = "Retry-After"
)

// errIncomplete says that an answer broke off or is not what its class expects.
var errIncomplete = errors.New("incomplete answer")

// result is the body of a refusal and the data of the end event.
type result struct {
	Code       *codes.Code   `json:"code"`
	Name       string        `json:"name"`
	Outcome    codes.Outcome `json:"outcome"`
	RetryAfter string        `json:"retry-after"`
	RequestID  string        `json:"request-id"`
}

// answer reads one response and keeps what the sample needs.
type answer struct {
	class  *scene.Class
	kind   scene.TargetKind
	sample *tally.Sample
	// intended is the time that the first token counts from.
	intended time.Time
	last     time.Time
	// text digests the tokens of a class with SameAnswer; nil for others.
	text *xxhash.Digest
}

// read takes in the whole response and sets the sample's ending and result; an error means that it broke off.
func (a *answer) read(response *http.Response) error {
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

// readRefusal takes in an answer whose status is no success.
func (a *answer) readRefusal(response *http.Response) error {
	text, err := io.ReadAll(io.LimitReader(response.Body, maxEvent))
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

// setRefusal notes a result other than success.
func (a *answer) setRefusal(r *result) {
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

// setRequestID notes the id; submissions that repeat a key may be given the first one's answer again.
func (a *answer) setRequestID(id string) {
	if a.class.Key != scene.KeyRepeat {
		a.sample.RequestID = id
	}
}

// parseSeconds reads a Retry-After header in seconds; 0 where there is none.
func parseSeconds(text string) time.Duration {
	seconds, err := strconv.ParseFloat(text, 64)
	if err != nil {
		return 0
	}
	return time.Duration(seconds * float64(time.Second))
}

// readBody takes in an answer that is no stream. A body shorter than its Content-Length is a read error.
func (a *answer) readBody(response *http.Response) error {
	text, err := io.ReadAll(io.LimitReader(response.Body, maxAnswer))
	if err != nil {
		return err
	}
	isJSON := strings.HasPrefix(response.Header.Get("Content-Type"), typeJSON)
	if a.kind == scene.TargetHTTP || a.class.Service != "" || !isJSON {
		if isJSON && !json.Valid(text) {
			return errIncomplete
		}
		a.sample.Ending = tally.EndingWhole
		return nil
	}
	r := result{}
	if json.Unmarshal(text, &r) != nil {
		return errIncomplete
	}
	a.setResult(&r)
	return nil
}

// setResult notes the result of a finished answer; an answer that names no code is a success by its status.
func (a *answer) setResult(r *result) {
	if r.Code != nil && *r.Code != codes.OK {
		a.setRefusal(r)
		return
	}
	a.sample.Ending = tally.EndingWhole
	a.setRequestID(r.RequestID)
}

// readStream takes in the events of a stream up to its end.
func (a *answer) readStream(body io.Reader) error {
	ended := false
	for event, err := range sse.Read(body, &sse.ReadConfig{MaxEventSize: maxEvent}) {
		if err != nil {
			return err
		}
		if ended {
			return errIncomplete // an event behind the end belongs to no answer that ended
		}
		ended, err = a.takeEvent(&event)
		if err != nil {
			return err
		}
	}
	if !ended {
		return errIncomplete
	}
	if a.sample.Ending == tally.EndingWhole && a.class.ExpectTokens > 0 && a.sample.Tokens != a.class.ExpectTokens {
		return errIncomplete
	}
	return nil
}

// takeEvent notes one event and says whether it is the end.
func (a *answer) takeEvent(event *sse.Event) (bool, error) {
	if a.kind == scene.TargetEntry && event.Type == endEvent {
		r := result{}
		if json.Unmarshal([]byte(event.Data), &r) != nil || r.Code == nil {
			return false, errIncomplete
		}
		a.setResult(&r)
		return true, nil
	}
	if a.kind != scene.TargetEntry && event.Data == doneData {
		a.sample.Ending = tally.EndingWhole
		return true, nil
	}
	if event.Type == "" && !isUsage(event.Data) {
		a.takeToken()
		a.takeText(event.Data)
	}
	return false, nil
}

// isUsage says whether an engine's event carries figures and no token. A search is enough:
// the text of a token cannot hold the quotes unescaped.
func isUsage(data string) bool {
	return strings.Contains(data, `"choices":[]`) || strings.Contains(data, `"choices": []`)
}

// token is the part of a token's event that holds its text, as the system and as engines write it.
type token struct {
	Text    string `json:"text"`
	Choices []struct {
		Text string `json:"text"`
	} `json:"choices"`
}

// takeText adds the token to the digest. Ids and times in the event differ between equal answers.
func (a *answer) takeText(data string) {
	if a.text == nil {
		return
	}
	t := token{}
	if json.Unmarshal([]byte(data), &t) != nil {
		return
	}
	_, _ = a.text.WriteString(t.Text)
	for _, choice := range t.Choices {
		_, _ = a.text.WriteString(choice.Text)
	}
	a.sample.Text = a.text.Sum64()
}

// takeToken notes the time of one token.
func (a *answer) takeToken() {
	now := time.Now()
	if a.sample.Tokens == 0 {
		a.sample.FirstToken = now.Sub(a.intended)
	} else {
		a.sample.Gaps = append(a.sample.Gaps, now.Sub(a.last))
	}
	a.sample.Tokens++
	a.last = now
}
