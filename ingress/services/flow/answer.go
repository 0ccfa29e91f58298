package flow

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"verbenaroad.example/share/modules/codes"
)

const (
	// briefPause is told to callers of a request that another ingress or server may take at once.
	briefPause = 100 * time.Millisecond
	// noServerPause is told to callers of a service without servers: about a heartbeat of theirs.
	noServerPause = time.Second
)

// WriteResult writes the final answer to a request that no backend server answered.
func WriteResult(w http.ResponseWriter, r *codes.Result) {
	h := w.Header()
	h.Set("Content-Type", "application/json")
	if r.RetryAfter > 0 {
		h.Set("Retry-After", strconv.FormatFloat(r.RetryAfter.Seconds(), 'f', 2, 64))
	}
	body, err := json.Marshal(map[string]any{
		"code": uint32(r.Code), "name": r.Code.Name(), "outcome": r.Outcome, "detail": r.Detail,
	})
	if err != nil {
		body = nil // a map of texts and numbers is always encoded
	}
	h.Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(statusOf(r))
	_, _ = w.Write(body) // a caller that has gone needs no answer
}

// statusOf keeps 429 and 503 for requests that have not run and never will:
// callers take them for a promise and send the request again.
func statusOf(r *codes.Result) int {
	status := codes.GetEntry(r.Code).Status
	promise := status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests
	if promise && r.Outcome != codes.OutcomeNotRun {
		return http.StatusBadGateway
	}
	return status
}

// connectionHeaders concern one connection only and are not forwarded.
var connectionHeaders = []string{ //nolint:gochecknoglobals // a table that does not change
	"Connection", "Proxy-Connection", "Keep-Alive", "Transfer-Encoding", "Te", "Trailer", "Upgrade",
	"Proxy-Authenticate", "Proxy-Authorization", "Content-Length",
}

// StripConnection removes the headers that concern one connection, those that Connection names among them.
func StripConnection(h http.Header) {
	for _, line := range h.Values("Connection") {
		for _, name := range splitList(line) {
			h.Del(name)
		}
	}
	for _, name := range connectionHeaders {
		h.Del(name)
	}
}

func copyHeader(to, from http.Header) {
	from = from.Clone()
	StripConnection(from)
	for name, values := range from {
		to[name] = values
	}
}
