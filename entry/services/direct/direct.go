// Package direct runs calls of plain services. An idempotent call is one
// stage; a non-idempotent one is claimed by its key first and runs at most once.
package direct

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"net/http"
	"strings"
	"time"

	"go.uber.org/zap"

	"verbenaroad.example/entry/services/calls"
	"verbenaroad.example/entry/services/fleet"
	"verbenaroad.example/entry/services/policy"
	"verbenaroad.example/share/decide/admit"
	"verbenaroad.example/share/decide/claim"
	"verbenaroad.example/share/decide/match"
	"verbenaroad.example/share/decide/spend"
	"verbenaroad.example/share/models/config"
	"verbenaroad.example/share/modules/codes"
	"verbenaroad.example/share/modules/wire"
)

const callCost = 0.1

// Request is one call of a plain service.
type Request struct {
	ID          string
	Service     *config.Service
	Route       *config.ServiceRoute
	Team        *config.Team
	Priority    config.Priority
	Deadline    time.Time
	Method      string
	Path        string
	ContentType string
	Body        []byte
	// Key is the caller's Idempotency-Key; it must be set for non-idempotent calls.
	Key string
}

// Answer is what the service answered.
type Answer struct {
	Status      int
	ContentType string
	Body        []byte
}

// Asker asks an agent what became of an attempt; *fleet.Fleet is one.
type Asker interface {
	ChooseAgent(now time.Time, options fleet.ChooseOptions) (fleet.Attempt, *codes.Result)
	AskAgent(ctx context.Context, name string, ask *wire.Ask) (*wire.Told, error)
}

// Claims reads and writes claim records.
type Claims interface {
	GetClaim(ctx context.Context, key string) (*claim.Stored, error)
	SwapClaim(ctx context.Context, key string, record claim.Record, index uint64) (bool, error)
}

// Options are the parts of a Caller.
type Options struct {
	Runner        *calls.Runner
	Policy        *policy.Policy
	Agents        Asker
	Claims        Claims
	Configuration calls.Configuration
	Log           *zap.Logger
}

// Caller runs calls of plain services.
type Caller struct {
	options Options
}

// NewCaller returns a caller.
func NewCaller(options Options) *Caller {
	return &Caller{options: options}
}

// FindRoute returns the route that a method and path belong to, or nil.
func FindRoute(service *config.Service, method, path string) *config.ServiceRoute {
	for n := range service.Routes {
		route := &service.Routes[n]
		whole := route.Path == path
		below := strings.HasSuffix(route.Path, "/") && strings.HasPrefix(path, route.Path)
		if route.Method == method && (whole || below) {
			return route
		}
	}
	return nil
}

// Run returns the service's answer, or the final result at once when the call is given up on.
func (c *Caller) Run(ctx context.Context, q *Request) (*Answer, *codes.Result) {
	if !q.Route.Idempotent && q.Key == "" {
		return nil, codes.NewResult(codes.KeyRequired, "send an Idempotency-Key header with this call")
	}
	snapshot, refusal := c.options.Configuration.GetUsable(ctx)
	if refusal != nil {
		return nil, refusal
	}
	if refusal := c.admit(snapshot, q); refusal != nil {
		return nil, refusal
	}
	if q.Route.Idempotent {
		return c.runOnce(ctx, q, c.newCall(q))
	}
	return c.runClaimed(ctx, snapshot, q)
}

func (c *Caller) admit(snapshot *config.Snapshot, q *Request) *codes.Result {
	now := time.Now()
	if refusal := c.options.Policy.CheckSpend(now, snapshot, q.Service.Name, q.Priority, callCost); refusal != nil {
		return refusal
	}
	decision := c.options.Policy.DecideAdmission(now, admit.Request{
		Team:      q.Team.Name,
		Rate:      q.Team.Rate,
		Burst:     q.Team.Burst,
		Cost:      callCost,
		Remaining: time.Until(q.Deadline),
	})
	return decision.Refusal
}

func (c *Caller) newCall(q *Request) *calls.Call {
	headers := []*wire.Header{}
	if q.ContentType != "" {
		headers = append(headers, &wire.Header{Name: "Content-Type", Value: q.ContentType})
	}
	if q.Key != "" {
		headers = append(headers, &wire.Header{Name: "Idempotency-Key", Value: q.Key})
	}
	return &calls.Call{
		RequestID:    q.ID,
		Stage:        q.Service.Name,
		Service:      q.Service.Name,
		Team:         q.Team,
		Priority:     q.Priority,
		CallerLabels: match.CallerLabels(q.Team),
		StageLabels:  stageLabels(q),
		Deadline:     q.Deadline,
		Cost:         callCost,
		Method:       q.Method,
		Path:         q.Path,
		Headers:      headers,
		Body:         q.Body,
		Idempotent:   q.Route.Idempotent,
	}
}

// stageLabels lets rules tell direct calls apart as they do stages.
func stageLabels(q *Request) config.Labels {
	return config.Labels{"service": q.Service.Name, "kind": string(q.Service.Kind)}
}

func (c *Caller) runOnce(ctx context.Context, q *Request, call *calls.Call) (*Answer, *codes.Result) {
	got, result := c.options.Runner.Run(ctx, call)
	if result == nil || result.Outcome != codes.OutcomeNotRun {
		c.addUse(ctx, q)
	}
	if result != nil {
		return nil, result
	}
	return &Answer{Status: got.Status, ContentType: got.ContentType, Body: got.Body}, nil
}

func (c *Caller) addUse(ctx context.Context, q *Request) {
	snapshot, refusal := c.options.Configuration.GetUsable(ctx)
	if refusal != nil {
		return
	}
	use := spend.Use{Stage: q.Service.Name, Team: q.Team.Name, Priority: q.Priority, Cost: callCost}
	c.options.Policy.AddUse(time.Now(), snapshot, q.Service.Name, use)
}

// digestOf binds a key to the whole call, so that the same key with another body is a conflict.
func digestOf(q *Request) string {
	sum := sha256.New()
	for _, part := range []string{q.Service.Name, q.Method, q.Path, q.ContentType} {
		_, _ = sum.Write([]byte(part))
		_, _ = sum.Write([]byte{0})
	}
	_, _ = sum.Write(q.Body)
	return hex.EncodeToString(sum.Sum(nil))
}

// statusOf is the status of an answer kept in a claim.
func statusOf(answer *claim.Answer) int {
	if answer.Status == 0 {
		return http.StatusOK
	}
	return answer.Status
}
