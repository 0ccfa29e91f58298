package pieces

import (
	"context"
	"net/netip"
	"time"

	"go.uber.org/zap"

	"verbenaroad.example/share/modules/logs"
	"verbenaroad.example/share/modules/pauses"
)

// Discard releases results soon.
func (o *Owner) Discard(service string, handles []string) {
	o.lock.Lock()
	defer o.lock.Unlock()
	o.gather(service, handles)
}

func (o *Owner) gather(service string, handles []string) {
	for _, h := range handles {
		holder, err := o.options.Pools.ReadHolder(h)
		if err != nil {
			o.options.Log.Warn("handle-unreadable", zap.String("handle", h), logs.Err(err))
			continue
		}
		o.released[holder] = append(o.released[holder], heldHandle{service: service, handle: h})
	}
}

// loopRelease sends the gathered handles, one call for each server that holds some.
func (o *Owner) loopRelease(ctx context.Context) {
	for pauses.Wait(ctx, releaseEvery) {
		o.lock.Lock()
		released := o.released
		o.released = map[netip.AddrPort][]heldHandle{}
		o.lock.Unlock()
		for holder, held := range released {
			go o.runRelease(ctx, holder, held)
		}
	}
}

func (o *Owner) runRelease(ctx context.Context, holder netip.AddrPort, held []heldHandle) {
	ctx, cancel := context.WithTimeout(ctx, releaseTimeout)
	defer cancel()
	handles := make([]string, 0, len(held))
	for _, h := range held {
		handles = append(handles, h.handle)
	}
	if err := o.options.Pools.Release(ctx, holder, handles); err != nil {
		o.options.Log.Info("release-failed", zap.Stringer("holder", holder), zap.Int("handles", len(handles)), logs.Err(err))
	}
	o.lock.Lock()
	defer o.lock.Unlock()
	for _, h := range held {
		if u := o.units[h.service]; u != nil {
			o.perform(h.service, u, u.planner.MarkReleased(time.Now(), []string{h.handle}))
		}
	}
}
