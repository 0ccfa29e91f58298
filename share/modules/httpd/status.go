package httpd

import (
	"net/http"

	"github.com/lesismal/nbio/nbhttp"
)

const classSize = 100

// writer sends statuses that nbhttp does not know.
//
// Guards against a refusal that passes for an answer: nbhttp drops a status
// without a standard text, such as 499 or a backend server's own, and sends 200
// instead. Whoever meets an unknown status treats it as the x00 of its class
// (RFC 9110, section 15), so that is what is sent.
type writer struct {
	*nbhttp.Response
}

// WriteHeader sends the status, or the general one of its class.
func (w writer) WriteHeader(status int) {
	w.Response.WriteHeader(knownStatus(status))
}

func knownStatus(status int) int {
	if http.StatusText(status) != "" {
		return status
	}
	class := status / classSize * classSize
	if http.StatusText(class) != "" {
		return class
	}
	return http.StatusBadGateway
}
