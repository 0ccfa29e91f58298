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

// ErrorBody is the one error body of the API.
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

// writeResult writes a result as the error body, with the header that says when to come back.
func (r *Router) writeResult(v *visit, result *codes.Result) {
	if result.RetryAfter > 0 {
		seconds := int(math.Ceil(result.RetryAfter.Seconds()))
		v.writer.Header().Set("Retry-After", strconv.Itoa(seconds))
	}
	_ = v.writeJSON(codes.GetEntry(result.Code).Status, newErrorBody(v.id, result))
}

func (v *visit) writeJSON(status int, body any) *codes.Result {
	encoded, err := json.Marshal(body)
	if err != nil {
		return codes.NewResult(codes.Internal, err.Error())
	}
	v.writer.Header().Set("Content-Type", "application/json")
	v.writer.Header().Set("Content-Length", strconv.Itoa(len(encoded)))
	v.writer.WriteHeader(status)
	if v.request.Method == http.MethodHead {
		return nil // a body would pass for the next answer of the connection
	}
	_, _ = v.writer.Write(encoded)
	return nil
}

// finish writes what is left to write, counts and logs.
func (r *Router) finish(v *visit, result *codes.Result) {
	final := result
	if final == nil {
		final = codes.NewResult(codes.OK, "")
	}
	if result != nil && result.Detail != sentInEnd {
		r.writeResult(v, result)
	}
	took := time.Since(v.started)
	r.results.add(final)
	team := ""
	if v.team != nil {
		team = v.team.Name
	}
	r.options.Log.Info("request-ended",
		zap.String("request-id", v.id),
		zap.String("team", team),
		zap.String("path", v.request.URL.Path),
		zap.Uint32("code", uint32(final.Code)),
		zap.String("outcome", string(final.Outcome)),
		zap.Duration("took", took),
		zap.String("detail", final.Detail),
	)
}

// Results counts requests by result code.
type Results struct {
	lock sync.Mutex
	// codes counts by name.
	codes map[string]uint64
}

// NewResults returns zero counts.
func NewResults() *Results {
	return &Results{codes: map[string]uint64{}}
}

func (r *Results) add(result *codes.Result) {
	r.lock.Lock()
	defer r.lock.Unlock()
	r.codes[result.Code.Name()]++
}

// GetCounts returns the number of requests by the name of their result code.
func (r *Results) GetCounts() map[string]uint64 {
	r.lock.Lock()
	defer r.lock.Unlock()
	out := make(map[string]uint64, len(r.codes))
	for name, count := range r.codes {
		out[name] = count
	}
	return out
}
