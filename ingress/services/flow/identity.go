package flow

import (
	"strings"

	"verbenaroad.example/share/decide/poison"
)

// maxIdentityParts limits the prompt parts by which a request is known.
const maxIdentityParts = 16

func newIdentity(q *Request, service string) poison.Identity {
	path, _, _ := strings.Cut(q.Target, "?")
	i := poison.Identity{Request: poison.NewID(q.Decision.Team, q.Host, path, q.Body), Service: poison.NewPartID(service, "")}
	for n := range min(len(q.Parts)-1, maxIdentityParts) {
		i.Parts = append(i.Parts, poison.NewPartID(service, q.Parts[n].ID))
	}
	return i
}

// describeParts returns the prompt parts that other requests may share, all but the last one, each with the
// ID under which it may be quarantined.
func (x *exchange) describeParts() []string {
	described := []string{}
	for n, id := range x.identity.Parts {
		described = append(described, x.Parts[n].ID+"="+string(id))
	}
	return described
}
