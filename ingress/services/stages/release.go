package stages

import (
	"context"
	"time"

	"go.uber.org/zap"

	"verbenaroad.example/share/models/site"
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
		r := b.toRelease[holder]
		if r == nil {
			r = &release{since: time.Now()}
			b.toRelease[holder] = r
		}
		r.handles = append(r.handles, queueHandle{queue: queue, handle: h})
	}
}

// loopRelease releases the queued handles, with one call per server that holds any of them.
func (b *Batcher) loopRelease(ctx context.Context) {
	for pauses.Wait(ctx, releaseInterval) {
		b.lock.Lock()
		now := time.Now()
		for address, r := range b.toRelease {
			holder, known := b.servers[address]
			if !known {
				holder = site.Server{Address: address}
			}
			if !b.mayRelease(now, holder, r) {
				continue
			}
			delete(b.toRelease, address)
			go b.runRelease(ctx, holder, r.handles)
		}
		b.lock.Unlock()
	}
}

// mayRelease reports whether a release may be sent now. Releases to a server with a rate limit are
// gathered for longer, and those to a server that is paused until the pause ends.
func (b *Batcher) mayRelease(now time.Time, holder site.Server, r *release) bool {
	if !b.options.Pauses.PausedUntil(now, &holder).IsZero() {
		return false
	}
	perSecond, limited := b.options.Limits.Find(&holder)
	return !limited || now.Sub(r.since) >= limitedReleaseInterval(perSecond)
}

// limitedReleaseInterval returns the time between two releases to a server that takes perSecond
// requests. Releases take no call's place, because they free the memory that the next call needs. They
// add half as many requests as the server takes, and one every two seconds.
func limitedReleaseInterval(perSecond float64) time.Duration {
	return time.Duration(2 / (perSecond + 1) * float64(time.Second))
}

func (b *Batcher) runRelease(ctx context.Context, holder site.Server, queued []queueHandle) {
	ctx, cancel := context.WithTimeout(ctx, releaseTimeout)
	defer cancel()
	handles := make([]string, 0, len(queued))
	for _, h := range queued {
		handles = append(handles, h.handle)
	}
	if err := b.options.Pools.Release(ctx, holder, handles); err != nil {
		b.options.Log.Info("release-failed", zap.Stringer("holder", holder.Address), zap.Int("handles", len(handles)), logs.Err(err))
	}
	b.lock.Lock()
	defer b.lock.Unlock()
	for _, h := range queued {
		if q := b.queues[h.queue]; q != nil {
			b.perform(h.queue, q, q.planner.MarkReleased(time.Now(), []string{h.handle}))
		}
	}
}
