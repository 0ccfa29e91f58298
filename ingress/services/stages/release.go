package stages

import (
	"context"
	"net/netip"
	"time"

	"go.uber.org/zap"

	"verbenaroad.example/share/modules/logs"
	"verbenaroad.example/share/modules/pauses"
)

// Discard queues results for release. They are released within about releaseInterval.
func (b *Batcher) Discard(queue string, handles []string) {
	b.lock.Lock()
	defer b.lock.Unlock()
	b.queueRelease(queue, handles)
}

// queueRelease adds handles to those of the next release. The caller holds the lock.
func (b *Batcher) queueRelease(queue string, handles []string) {
	for _, h := range handles {
		holder, err := b.options.Pools.ReadHolder(h)
		if err != nil {
			b.options.Log.Warn("handle-unreadable", zap.String("handle", h), logs.Err(err))
			continue
		}
		b.toRelease[holder] = append(b.toRelease[holder], queueHandle{queue: queue, handle: h})
	}
}

// loopRelease releases the queued handles, with one call per server that holds any of them.
func (b *Batcher) loopRelease(ctx context.Context) {
	for pauses.Wait(ctx, releaseInterval) {
		b.lock.Lock()
		toRelease := b.toRelease
		b.toRelease = map[netip.AddrPort][]queueHandle{}
		b.lock.Unlock()
		for holder, queued := range toRelease {
			go b.runRelease(ctx, holder, queued)
		}
	}
}

func (b *Batcher) runRelease(ctx context.Context, holder netip.AddrPort, queued []queueHandle) {
	ctx, cancel := context.WithTimeout(ctx, releaseTimeout)
	defer cancel()
	handles := make([]string, 0, len(queued))
	for _, h := range queued {
		handles = append(handles, h.handle)
	}
	if err := b.options.Pools.Release(ctx, holder, handles); err != nil {
		b.options.Log.Info("release-failed", zap.Stringer("holder", holder), zap.Int("handles", len(handles)), logs.Err(err))
	}
	b.lock.Lock()
	defer b.lock.Unlock()
	for _, h := range queued {
		if q := b.queues[h.queue]; q != nil {
			b.perform(h.queue, q, q.planner.MarkReleased(time.Now(), []string{h.handle}))
		}
	}
}
