package follow

import (
	"sync/atomic"
	"time"

	"verbenaroad.example/share/modules/wire"
)

// meter counts control work outside the control loop, without its lock.
type meter struct {
	beatsSent, beatsReceived, lists, fetched, served atomic.Uint64
	// adopting is in nanoseconds.
	adopting atomic.Int64
}

// addTo returns the counts with those of the meter filled in.
func (m *meter) addTo(c Counts) Counts {
	c.BeatsSent = m.beatsSent.Load()
	c.BeatsReceived = m.beatsReceived.Load()
	c.Lists = m.lists.Load()
	c.FetchedBytes = m.fetched.Load()
	c.ServedBytes = m.served.Load()
	c.Adopting = time.Duration(m.adopting.Load())
	return c
}

// sizeOf returns the bytes of an answer's chunks.
func sizeOf(answer *wire.Chunks) uint64 {
	size := 0
	for _, chunk := range answer.GetChunks() {
		size += len(chunk.GetData())
	}
	return uint64(size) //nolint:gosec // a sum of lengths
}
