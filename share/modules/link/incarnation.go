package link

import (
	"crypto/rand"
	"encoding/hex"
)

const incarnationBytes = 8

// NewIncarnation returns a random id that identifies one run of a process.
func NewIncarnation() string {
	id := make([]byte, incarnationBytes)
	_, _ = rand.Read(id) // never fails
	return hex.EncodeToString(id)
}
