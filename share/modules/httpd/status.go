package httpd

import (
	"net/http"

	"github.com/lesismal/nbio/nbhttp"
)

// statusClassSize is the number of status codes in one class, for example 4xx.
const statusClassSize = 100

// statusWriter replaces statuses that nbhttp does not know.
//
// Guards against a refusal that the caller takes for an answer: nbhttp drops a status without a
// standard text, for example 499 or a backend server's own, and sends 200 instead. A client treats
// an unknown status as the x00 status of its class (RFC 9110, section 15), so that one is sent.
type statusWriter struct {
	*nbhttp.Response
}

// WriteHeader sends the status, or the x00 status of its class if it has no standard text.
func (w statusWriter) WriteHeader(status int) {
	w.Response.WriteHeader(knownStatus(status))
}

func knownStatus(status int) int {
	if http.StatusText(status) != "" {
		return status
	}
	class := status / statusClassSize * statusClassSize
	if http.StatusText(class) != "" {
		return class
	}
	return http.StatusBadGateway
}
