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
	bootstrapName   = "bootstrap"
	maxRequestID    = 64
)

// call is one request of a known operator.
type call struct {
	request   *http.Request
	requestID string
	operator  config.Operator
	// bootstrap is set where the operator came by the bootstrap token.
	bootstrap bool
	status    int
}

func (c *call) author() change.Author {
	return change.Author{
		Operator:    c.operator.Name,
		TokenSHA256: c.operator.TokenSHA256,
		Bootstrap:   c.bootstrap,
	}
}

// guard finds the operator and checks the role before a route is handled.
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

// requestID keeps a caller's id when it is fit for a log line.
func requestID(q *http.Request) string {
	id := q.Header.Get(headerRequestID)
	fit := len(id) > 0 && len(id) <= maxRequestID
	for _, b := range []byte(id) {
		fit = fit && b > ' ' && b < 0x7f && b != '"' && b != '='
	}
	if fit {
		return id
	}
	return rand.Text()
}

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

// authorizeBootstrap lets the first change in. A process may see no
// configuration only because it has not loaded it yet, so that the change
// itself is bound to be the first one by the compare-and-swap.
func (r *Router) authorizeBootstrap(c *call, token string) error {
	want := r.options.BootstrapSHA256
	if want == "" {
		return codes.NewResult(codes.NotReady, "the instance has no configuration yet")
	}
	if subtle.ConstantTimeCompare([]byte(config.DigestToken(token)), []byte(want)) != 1 {
		return codes.NewResult(codes.BadToken, "no configuration exists and this is not the bootstrap token")
	}
	c.operator = config.Operator{Name: bootstrapName, Role: config.RoleChange}
	c.bootstrap = true
	return nil
}

func (c *call) writeJSON(w http.ResponseWriter, status int, body any) {
	c.status = status
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// The caller may be gone; there is nobody left to tell.
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

func asResult(err error) *codes.Result {
	var result *codes.Result
	if errors.As(err, &result) {
		return result
	}
	return codes.NewResult(codes.Internal, err.Error())
}
