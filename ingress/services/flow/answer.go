package flow

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"verbenaroad.example/share/modules/codes"
)

const (
	// shortRetryAfter is the Retry-After for requests that may be accepted on an immediate retry.
	shortRetryAfter = 100 * time.Millisecond
	// noServerRetryAfter is the Retry-After for a service without available servers: about one
	// heartbeat interval of the servers.
	noServerRetryAfter = time.Second
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
		body = nil // cannot happen: a map of strings and numbers can always be encoded
	}
	h.Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(statusOf(r))
	_, _ = w.Write(body) // fails only if the caller has disconnected
}

// statusOf returns the HTTP status for a result. It uses 429 and 503 only for requests that did not
// run and never will, because callers retry after these statuses. A caller whose connection ended is told that its request
// was given up by a status that puts no blame on the request.
func statusOf(r *codes.Result) int {
	if r.Code == codes.Canceled {
		return http.StatusBadGateway
	}
	status := codes.GetEntry(r.Code).Status
	notRun := status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests
	if notRun && r.Outcome != codes.OutcomeNotRun {
		return http.StatusBadGateway
	}
	return status
}

// connectionHeaders are the hop-by-hop headers, which are not forwarded.
var connectionHeaders = []string{ //nolint:gochecknoglobals // a table that does not change
	"Connection", "Proxy-Connection", "Keep-Alive", "Transfer-Encoding", "Te", "Trailer", "Upgrade",
	"Proxy-Authenticate", "Proxy-Authorization", "Content-Length",
}

// StripConnection removes hop-by-hop headers, including those listed in the Connection header.
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
