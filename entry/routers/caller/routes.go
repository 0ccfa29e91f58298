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

// PipelineRequest is the body of a pipeline's request.
type PipelineRequest struct {
	Input string `json:"input"`
	// MaxTokens may lower the generate stage's limit.
	MaxTokens int `json:"max-tokens"`
}

// PipelineAnswer is the JSON answer of a pipeline.
type PipelineAnswer struct {
	RequestID string             `json:"request-id"`
	Text      string             `json:"text"`
	Documents []stages.Document  `json:"documents,omitempty"`
	Tokens    uint64             `json:"tokens"`
	Stages    []walk.StageReport `json:"stages"`
}

func (r *Router) servePipeline(ctx context.Context, v *visit) *codes.Result {
	pipeline := v.snapshot.GetPipelineByName(v.request.PathValue("pipeline"))
	if pipeline == nil {
		return codes.NewResult(codes.UnknownPipeline, "no pipeline "+v.request.PathValue("pipeline"))
	}
	body := PipelineRequest{}
	if err := json.Unmarshal(v.body, &body); err != nil || body.Input == "" || body.MaxTokens < 0 {
		return codes.NewResult(codes.BadRequest, `want a JSON body such as {"input": "text", "max-tokens": 100}`)
	}
	q := &walk.Request{
		ID:        v.id,
		Pipeline:  pipeline,
		Team:      v.team,
		Priority:  v.priority,
		Deadline:  v.deadlineAt(pipeline.Deadline.Value()),
		Input:     body.Input,
		MaxTokens: body.MaxTokens,
	}
	if v.acceptsEvents() {
		return r.streamPipeline(ctx, v, q)
	}
	answer, result := r.options.Walker.Run(ctx, q)
	if result != nil {
		return result
	}
	return v.writeJSON(http.StatusOK, PipelineAnswer{
		RequestID: v.id,
		Text:      answer.Text,
		Documents: answer.Documents,
		Tokens:    answer.Tokens,
		Stages:    answer.Stages,
	})
}

// streamPipeline sends the last stage's events as they come. Once the first
// has gone out the HTTP status cannot change, so the end event carries the result.
func (r *Router) streamPipeline(ctx context.Context, v *visit, q *walk.Request) *codes.Result {
	stream := &eventWriter{visit: v}
	q.Sink = stream
	_, result := r.options.Walker.Run(ctx, q)
	if result != nil && !stream.begun {
		return result
	}
	final := result
	if final == nil {
		final = codes.NewResult(codes.OK, "")
	}
	stream.end(final)
	return streamed(result)
}

// streamed marks a result that the end event has carried already.
func streamed(result *codes.Result) *codes.Result {
	if result == nil {
		return nil
	}
	return &codes.Result{Code: result.Code, Outcome: result.Outcome, Detail: sentInEnd}
}

const sentInEnd = "sent in the end event"

func (r *Router) serveService(ctx context.Context, v *visit) *codes.Result {
	service := v.snapshot.GetServiceByName(v.request.PathValue("service"))
	if service == nil {
		return codes.NewResult(codes.UnknownService, "no service "+v.request.PathValue("service"))
	}
	path := "/" + v.request.PathValue("path")
	route := direct.FindRoute(service, v.request.Method, path)
	if route == nil {
		return codes.NewResult(codes.UnknownRoute, service.Name+" offers no "+v.request.Method+" "+path)
	}
	if query := v.request.URL.RawQuery; query != "" {
		path += "?" + query
	}
	answer, result := r.options.Direct.Run(ctx, &direct.Request{
		ID:          v.id,
		Service:     service,
		Route:       route,
		Team:        v.team,
		Priority:    v.priority,
		Deadline:    v.deadlineAt(service.Deadline.Value()),
		Method:      v.request.Method,
		Path:        path,
		ContentType: v.request.Header.Get("Content-Type"),
		Body:        v.body,
		Key:         strings.TrimSpace(v.request.Header.Get(HeaderKey)),
	})
	if result != nil {
		return result
	}
	v.writer.Header().Set("Content-Type", answer.ContentType)
	v.writer.WriteHeader(answer.Status)
	if v.request.Method != http.MethodHead {
		_, _ = v.writer.Write(answer.Body)
	}
	return nil
}
