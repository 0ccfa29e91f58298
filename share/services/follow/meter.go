package follow

import (
	"sync/atomic"
	"time"

	"verbenaroad.example/share/modules/wire"
)

// meter holds the counts that are updated outside the control loop, without its lock.
type meter struct {
	heartbeatsSent, heartbeatsReceived, listReads, fetchedBytes, servedBytes atomic.Uint64
	adoptingNanos                                                            atomic.Int64
}

// fillIn returns counts with the meter's counts filled in.
func (m *meter) fillIn(counts Counts) Counts {
	counts.HeartbeatsSent = m.heartbeatsSent.Load()
	counts.HeartbeatsReceived = m.heartbeatsReceived.Load()
	counts.ListReads = m.listReads.Load()
	counts.FetchedBytes = m.fetchedBytes.Load()
	counts.ServedBytes = m.servedBytes.Load()
	counts.Adopting = time.Duration(m.adoptingNanos.Load())
	return counts
}

// chunkBytes returns the total size of an answer's chunks in bytes.
func chunkBytes(answer *wire.Chunks) uint64 {
	size := 0
	for _, chunk := range answer.GetChunks() {
		size += len(chunk.GetData())
	}
	return uint64(size) //nolint:gosec // a sum of lengths
}
