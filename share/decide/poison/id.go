// Package poison detects requests that crash the backend servers that run them, based on the
// outcomes of their attempts.
package poison

import (
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// ID identifies a request across all its attempts and at every ingress. Identical requests of
// a team share an ID.
type ID string

// idBase is the numeric base of an ID.
const idBase = 16

// NewID returns the ID of a request: a hash of its team, host, path without the query, and
// body.
func NewID(team, host, path string, body []byte) ID {
	h := xxhash.New()
	for _, part := range []string{team, host, path} {
		_, _ = h.WriteString(part) // never returns an error
		_, _ = h.Write([]byte{0})
	}
	_, _ = h.Write(body)
	return ID(strconv.FormatUint(h.Sum64(), idBase))
}

// partPrefix precedes the IDs of prompt parts.
const partPrefix = "part-"

// NewPartID returns the ID of a part of the prompts of a service. An empty part stands for any of them.
func NewPartID(service, part string) ID {
	h := xxhash.New()
	_, _ = h.WriteString(service) // never returns an error
	_, _ = h.Write([]byte{0})
	_, _ = h.WriteString(part)
	return ID(partPrefix + strconv.FormatUint(h.Sum64(), idBase))
}

// IsPart reports whether an ID is that of a prompt part, as opposed to that of a request.
func (i ID) IsPart() bool { return strings.HasPrefix(string(i), partPrefix) }
