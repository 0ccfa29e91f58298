package admin

import (
	"crypto/rand"
	"crypto/subtle"
	"encoding/json"
	"errors"
	"net/http"
	"strconv"
	"strings"
	"time"

	"verbenaroad.example/entry/services/change"
	"verbenaroad.example/share/models/config"
	"verbenaroad.example/share/modules/codes"
	"verbenaroad.example/share/services/admapi"
)

const (
	headerRequestID = "X-Request-Id"
	// bootstrapOperator is the operator name of requests that the bootstrap token authorized.
	bootstrapOperator = "bootstrap"
	maxRequestIDBytes = 64
)

// call is one request with the operator who sent it.
type call struct {
	request   *http.Request
	requestID string
	operator  config.Operator
	// bootstrap is set if the bootstrap token authorized the request.
	bootstrap bool
	// status is the HTTP status of the answer.
	status int
}

func (c *call) author() change.Author {
	return change.Author{
		Operator:    c.operator.Name,
		TokenSHA256: c.operator.TokenSHA256,
		Bootstrap:   c.bootstrap,
	}
}

// guard returns the HTTP handler of a route. It authorizes the operator before the route handles
// the request, and logs the request afterwards.
func (r *Router) guard(t route) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		started := time.Now()
		c := &call{request: q, requestID: requestID(q), status: http.StatusOK}
		w.Header().Set(headerRequestID, c.requestID)
		refusal := r.authorize(c, t.role)
		if refusal != nil {
			c.writeError(w, refusal)
		} else {
			t.handle(w, c)
		}
		r.log(c, started)
	})
}

func (r *Router) log(c *call, started time.Time) {
	if r.options.Log == nil {
		return
	}
	r.options.Log(Event{
		RequestID: c.requestID,
		Operator:  c.operator.Name,
		Method:    c.request.Method,
		Path:      c.request.URL.Path,
		Status:    c.status,
		Duration:  time.Since(started),
	})
}

// requestID returns the X-Request-Id header of a request, or a random id if the header is empty,
// too long or would break the format of a log line.
func requestID(q *http.Request) string {
	id := q.Header.Get(headerRequestID)
	valid := len(id) > 0 && len(id) <= maxRequestIDBytes
	for _, b := range []byte(id) {
		valid = valid && b > ' ' && b < 0x7f && b != '"' && b != '='
	}
	if valid {
		return id
	}
	return rand.Text()
}

// authorize sets the operator of a call. It returns an error if the token is not valid or the
// operator lacks the role.
func (r *Router) authorize(c *call, role config.Role) error {
	token, found := strings.CutPrefix(c.request.Header.Get("Authorization"), "Bearer ")
	if !found || token == "" {
		return codes.NewResult(codes.BadToken, "want an operator's token as Authorization: Bearer")
	}
	snapshot := r.options.Snapshots.Snapshot()
	if snapshot == nil || snapshot.Revision == 0 {
		return r.authorizeBootstrap(c, token)
	}
	operator := snapshot.GetOperatorByToken(token)
	if operator == nil {
		return codes.NewResult(codes.BadToken, "no operator has this token")
	}
	c.operator = *operator
	if role == config.RoleChange && operator.Role != config.RoleChange {
		return codes.NewResult(codes.Forbidden, "the operator's role is "+string(operator.Role))
	}
	return nil
}

// authorizeBootstrap authorizes a request by the bootstrap token, which is valid only for the first
// change. A configuration may exist that this process has not loaded yet, so the change is marked
// as the first one, and its compare-and-swap in the key-value service is refused if a configuration
// exists.
func (r *Router) authorizeBootstrap(c *call, token string) error {
	digest := r.options.BootstrapSHA256
	if digest == "" {
		return codes.NewResult(codes.NotReady, "the instance has no configuration yet")
	}
	if subtle.ConstantTimeCompare([]byte(config.DigestToken(token)), []byte(digest)) != 1 {
		return codes.NewResult(codes.BadToken, "no configuration exists and this is not the bootstrap token")
	}
	c.operator = config.Operator{Name: bootstrapOperator, Role: config.RoleChange}
	c.bootstrap = true
	return nil
}

func (c *call) writeJSON(w http.ResponseWriter, status int, body any) {
	c.status = status
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// The error is dropped: it means that the client has disconnected and cannot receive an answer.
	_ = json.NewEncoder(w).Encode(body)
}

func (c *call) writeError(w http.ResponseWriter, err error) {
	result := asResult(err)
	c.writeErrorBody(w, admapi.Error{
		Code:       result.Code,
		Outcome:    result.Outcome,
		Detail:     result.Detail,
		RetryAfter: config.Duration(result.RetryAfter),
	})
}

func (c *call) writeErrorBody(w http.ResponseWriter, body admapi.Error) {
	body.Name = body.Code.Name()
	body.RequestID = c.requestID
	if body.RetryAfter > 0 {
		seconds := (body.RetryAfter.Value() + time.Second - 1) / time.Second
		w.Header().Set("Retry-After", strconv.FormatInt(int64(seconds), 10))
	}
	c.writeJSON(w, codes.GetEntry(body.Code).Status, body)
}

// asResult returns the result that err wraps, else an internal error.
func asResult(err error) *codes.Result {
	var result *codes.Result
	if errors.As(err, &result) {
		return result
	}
	return codes.NewResult(codes.Internal, err.Error())
}
