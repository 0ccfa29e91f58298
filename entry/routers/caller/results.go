package caller

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"sync"
	"time"

	"go.uber.org/zap"

	"verbenaroad.example/share/modules/codes"
)

// ErrorBody is the body of every answer that reports a failure, and the data of the end event of a
// stream.
type ErrorBody struct {
	Code       codes.Code    `json:"code"`
	Name       string        `json:"name"`
	Outcome    codes.Outcome `json:"outcome"`
	Detail     string        `json:"detail,omitempty"`
	RetryAfter string        `json:"retry-after,omitempty"`
	RequestID  string        `json:"request-id"`
}

func newErrorBody(id string, result *codes.Result) ErrorBody {
	body := ErrorBody{
		Code:      result.Code,
		Name:      result.Code.Name(),
		Outcome:   result.Outcome,
		Detail:    result.Detail,
		RequestID: id,
	}
	if result.RetryAfter > 0 {
		body.RetryAfter = result.RetryAfter.Round(time.Millisecond).String()
	}
	return body
}

// writeResult writes a result as an ErrorBody. If the result has a retry delay, the
// answer has a Retry-After header.
func (r *Router) writeResult(x *exchange, result *codes.Result) {
	if result.RetryAfter > 0 {
		seconds := int(math.Ceil(result.RetryAfter.Seconds()))
		x.writer.Header().Set("Retry-After", strconv.Itoa(seconds))
	}
	_ = x.writeJSON(codes.GetEntry(result.Code).Status, newErrorBody(x.id, result))
}

// writeJSON writes a body as JSON. If the body cannot be encoded, it writes nothing and returns a
// result.
func (x *exchange) writeJSON(status int, body any) *codes.Result {
	encoded, err := json.Marshal(body)
	if err != nil {
		return codes.NewResult(codes.Internal, err.Error())
	}
	x.writer.Header().Set("Content-Type", "application/json")
	x.writer.Header().Set("Content-Length", strconv.Itoa(len(encoded)))
	x.writer.WriteHeader(status)
	if x.request.Method == http.MethodHead {
		return nil // the client would read a body as the beginning of the next response
	}
	_, _ = x.writer.Write(encoded)
	return nil
}

// finish writes the result unless it has been written, counts it and logs the request.
func (r *Router) finish(x *exchange, result *codes.Result) {
	final := result
	if final == nil {
		final = codes.NewResult(codes.OK, "")
	}
	if result != nil && result.Detail != sentInEndEvent {
		r.writeResult(x, result)
	}
	duration := time.Since(x.started)
	r.results.add(final)
	team := ""
	if x.team != nil {
		team = x.team.Name
	}
	r.options.Log.Info("request-ended",
		zap.String("request-id", x.id),
		zap.String("team", team),
		zap.String("path", x.request.URL.Path),
		zap.Uint32("code", uint32(final.Code)),
		zap.String("outcome", string(final.Outcome)),
		zap.Duration("took", duration),
		zap.String("detail", final.Detail),
	)
}

// Results counts requests by result code.
type Results struct {
	lock sync.Mutex
	// counts has the names of result codes as keys.
	counts map[string]uint64
}

// NewResults returns a Results without any counted request.
func NewResults() *Results {
	return &Results{counts: map[string]uint64{}}
}

func (r *Results) add(result *codes.Result) {
	r.lock.Lock()
	defer r.lock.Unlock()
	r.counts[result.Code.Name()]++
}

// GetCounts returns the number of requests for each name of a result code.
func (r *Results) GetCounts() map[string]uint64 {
	r.lock.Lock()
	defer r.lock.Unlock()
	out := make(map[string]uint64, len(r.counts))
	for name, count := range r.counts {
		out[name] = count
	}
	return out
}
