// Package poison finds requests that crash the backend servers that run them, by what
// became of their attempts.
package poison

import (
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// ID tells requests apart over all their attempts, at any ingress.
type ID string

// idBase is that of the number in an ID.
const idBase = 16

// NewID returns the ID of a team's request: its host and path, without the query, and its body.
func NewID(team, host, path string, body []byte) ID {
	h := xxhash.New()
	for _, part := range []string{team, host, path} {
		_, _ = h.WriteString(part) // a hash takes everything
		_, _ = h.Write([]byte{0})
	}
	_, _ = h.Write(body)
	return ID(strconv.FormatUint(h.Sum64(), idBase))
}
