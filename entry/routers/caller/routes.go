package caller

import (
	"context"
	"encoding/json"
	"net/http"
	"strings"

	"verbenaroad.example/entry/services/direct"
	"verbenaroad.example/entry/services/stages"
	"verbenaroad.example/entry/services/walk"
	"verbenaroad.example/share/modules/codes"
)

// PipelineRequest is the JSON body of a request of a pipeline.
type PipelineRequest struct {
	Input string `json:"input"`
	// MaxTokens lowers the limit of the generate stage; 0: the limit of the stage.
	MaxTokens int `json:"max-tokens"`
}

// PipelineAnswer is the JSON body of the answer to a request of a pipeline.
type PipelineAnswer struct {
	RequestID string             `json:"request-id"`
	Text      string             `json:"text"`
	Documents []stages.Document  `json:"documents,omitempty"`
	Tokens    uint64             `json:"tokens"`
	Stages    []walk.StageReport `json:"stages"`
}

// servePipeline runs a pipeline and answers with JSON, or with server-sent events if the caller
// accepts them.
func (r *Router) servePipeline(ctx context.Context, x *exchange) *codes.Result {
	pipeline := x.snapshot.GetPipelineByName(x.request.PathValue("pipeline"))
	if pipeline == nil {
		return codes.NewResult(codes.UnknownPipeline, "no pipeline "+x.request.PathValue("pipeline"))
	}
	body := PipelineRequest{}
	if err := json.Unmarshal(x.body, &body); err != nil || body.Input == "" || body.MaxTokens < 0 {
		return codes.NewResult(codes.BadRequest, `want a JSON body such as {"input": "text", "max-tokens": 100}`)
	}
	q := &walk.Request{
		ID:        x.id,
		Pipeline:  pipeline,
		Team:      x.team,
		Priority:  x.priority,
		Deadline:  x.deadlineAt(pipeline.Deadline.Value()),
		Input:     body.Input,
		MaxTokens: body.MaxTokens,
	}
	if x.acceptsEvents() {
		return r.streamPipeline(ctx, x, q)
	}
	answer, result := r.options.Walker.Run(ctx, q)
	if result != nil {
		return result
	}
	return x.writeJSON(http.StatusOK, PipelineAnswer{
		RequestID: x.id,
		Text:      answer.Text,
		Documents: answer.Documents,
		Tokens:    answer.Tokens,
		Stages:    answer.Stages,
	})
}

// streamPipeline forwards the events of the last stage as they arrive. The HTTP status cannot
// change after the first event, so the result is sent in a final end event.
func (r *Router) streamPipeline(ctx context.Context, x *exchange, q *walk.Request) *codes.Result {
	stream := &eventWriter{exchange: x}
	q.Sink = stream
	_, result := r.options.Walker.Run(ctx, q)
	result = describeStop(ctx, result)
	if result != nil && !stream.started {
		return result
	}
	final := result
	if final == nil {
		final = codes.NewResult(codes.OK, "")
	}
	stream.end(final)
	return markSent(result)
}

// markSent returns a copy of a result that is marked as sent in the end event, or nil for nil.
func markSent(result *codes.Result) *codes.Result {
	if result == nil {
		return nil
	}
	return &codes.Result{Code: result.Code, Outcome: result.Outcome, Detail: sentInEndEvent}
}

// sentInEndEvent is the detail of a result that was sent in the end event. finish does not write
// such a result again.
const sentInEndEvent = "sent in the end event"

// serveService runs one call of a plain service and forwards its answer.
func (r *Router) serveService(ctx context.Context, x *exchange) *codes.Result {
	service := x.snapshot.GetServiceByName(x.request.PathValue("service"))
	if service == nil {
		return codes.NewResult(codes.UnknownService, "no service "+x.request.PathValue("service"))
	}
	path := "/" + x.request.PathValue("path")
	route := direct.FindRoute(service, x.request.Method, path)
	if route == nil {
		return codes.NewResult(codes.UnknownRoute, service.Name+" offers no "+x.request.Method+" "+path)
	}
	if query := x.request.URL.RawQuery; query != "" {
		path += "?" + query
	}
	answer, result := r.options.Direct.Run(ctx, &direct.Request{
		ID:          x.id,
		Service:     service,
		Route:       route,
		Team:        x.team,
		Priority:    x.priority,
		Deadline:    x.deadlineAt(service.Deadline.Value()),
		Method:      x.request.Method,
		Path:        path,
		ContentType: x.request.Header.Get("Content-Type"),
		Body:        x.body,
		Key:         strings.TrimSpace(x.request.Header.Get(HeaderIdempotencyKey)),
	})
	if result != nil {
		return result
	}
	x.writer.Header().Set("Content-Type", answer.ContentType)
	x.writer.WriteHeader(answer.Status)
	if x.request.Method != http.MethodHead {
		_, _ = x.writer.Write(answer.Body)
	}
	return nil
}
