package link

import (
	"crypto/rand"
	"encoding/hex"
)

const incarnationBytes = 8

// NewIncarnation returns an id that no other start of a process has.
func NewIncarnation() string {
	id := make([]byte, incarnationBytes)
	_, _ = rand.Read(id) // never fails
	return hex.EncodeToString(id)
}
