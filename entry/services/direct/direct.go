// Package direct runs calls of plain services. An idempotent call runs like a pipeline of one
// stage. A non-idempotent call first claims its idempotency key and runs at most once.
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

// callCost is the cost of one call in cost units.
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
	// Key is the caller's Idempotency-Key. It is required for non-idempotent calls.
	Key string
}

// Answer is the service's answer.
type Answer struct {
	Status      int
	ContentType string
	Body        []byte
}

// Agents chooses agents and sends them tombstone requests; *fleet.Fleet implements it.
type Agents interface {
	ChooseAgent(now time.Time, options fleet.ChooseOptions) (fleet.Attempt, *codes.Result)
	// RequestTombstone tombstones an attempt that has not started, so that the agent never starts
	// it, and returns the attempt's state.
	RequestTombstone(ctx context.Context, name string, ask *wire.Ask) (*wire.Told, error)
}

// Claims reads and writes claim records.
type Claims interface {
	GetClaim(ctx context.Context, key string) (*claim.Stored, error)
	SwapClaim(ctx context.Context, key string, record claim.Record, index uint64) (bool, error)
}

// Options are the dependencies of a Caller.
type Options struct {
	Runner        *calls.Runner
	Policy        *policy.Policy
	Agents        Agents
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

// FindRoute returns the first route that matches the method and path, or nil. A route whose path
// ends in a slash also matches all paths that begin with it.
func FindRoute(service *config.Service, method, path string) *config.ServiceRoute {
	for n := range service.Routes {
		route := &service.Routes[n]
		exact := route.Path == path
		underPrefix := strings.HasSuffix(route.Path, "/") && strings.HasPrefix(path, route.Path)
		if route.Method == method && (exact || underPrefix) {
			return route
		}
	}
	return nil
}

// Run returns the service's answer, or the final result if the call fails.
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
		return c.runIdempotent(ctx, q, c.newCall(q))
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

// stageLabels returns the labels that rules match for direct calls, which have no stage.
func stageLabels(q *Request) config.Labels {
	return config.Labels{"service": q.Service.Name, "kind": string(q.Service.Kind)}
}

func (c *Caller) runIdempotent(ctx context.Context, q *Request, call *calls.Call) (*Answer, *codes.Result) {
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

// digestOf hashes the service, method, path, content type and body, so that a key that is reused
// for a different call is detected as a conflict.
func digestOf(q *Request) string {
	sum := sha256.New()
	for _, part := range []string{q.Service.Name, q.Method, q.Path, q.ContentType} {
		_, _ = sum.Write([]byte(part))
		_, _ = sum.Write([]byte{0})
	}
	_, _ = sum.Write(q.Body)
	return hex.EncodeToString(sum.Sum(nil))
}

// statusOf returns the HTTP status of an answer stored in a claim; a missing one means 200.
func statusOf(answer *claim.Answer) int {
	if answer.Status == 0 {
		return http.StatusOK
	}
	return answer.Status
}
