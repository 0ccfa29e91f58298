package origin

import (
	"context"
	"slices"
	"time"

	"go.uber.org/zap"

	"verbenaroad.example/share/decide/turn"
	"verbenaroad.example/share/models/site"
	"verbenaroad.example/share/modules/logs"
	"verbenaroad.example/share/modules/pauses"
)

const (
	// markInterval is how often the marks in the store are checked.
	markInterval = time.Second
	// markTimeout limits one write of a mark.
	markTimeout = 1500 * time.Millisecond
	// markTakeover is how long a mark may stay due until the next ingress by rank writes it.
	markTakeover = 3 * time.Second
	// markRankPrefix makes the ingress that marks a service independent of those that work for it.
	markRankPrefix = "versions/"
)

// Start keeps the marks in the store until the context ends. A service that has several versions is
// marked, so that an ingress that starts later, when all others may be gone, does not take the version
// that it sees for the only one. The mark is removed once there was a single version for long enough.
func (o *Registry) Start(ctx context.Context) { go o.loop(ctx) }

func (o *Registry) loop(ctx context.Context) {
	order := turn.NewOrder(markTakeover)
	for pauses.Wait(ctx, markInterval) {
		now := time.Now()
		o.lock.Lock()
		unmarked := o.history.ListUnmarked()
		outdated := o.history.ListOutdated(now)
		versions := o.view.Versions
		o.lock.Unlock()
		order.Retain(slices.Concat(unmarked, outdated))
		for _, service := range unmarked {
			if order.IsTurn(now, service, o.findPlace(service)) {
				o.mark(ctx, service, versions[service])
			}
		}
		for _, service := range outdated {
			if order.IsTurn(now, service, o.findPlace(service)) {
				o.unmark(ctx, service)
			}
		}
	}
}

func (o *Registry) mark(ctx context.Context, service string, versions []string) {
	value, err := o.options.Codec.WriteMixed(versions)
	if err == nil {
		ctx, cancel := context.WithTimeout(ctx, markTimeout)
		defer cancel()
		_, err = o.options.Store.Put(ctx, o.options.Codec.MixedKey(service), value, site.Lease{})
	}
	o.options.Log.Info("versions-mark", zap.String("service", service), zap.Strings("versions", versions), logs.Err(err))
}

func (o *Registry) unmark(ctx context.Context, service string) {
	ctx, cancel := context.WithTimeout(ctx, markTimeout)
	defer cancel()
	_, err := o.options.Store.Remove(ctx, o.options.Codec.MixedKey(service))
	o.options.Log.Info("versions-unmark", zap.String("service", service), logs.Err(err))
}

// findPlace returns the place of this ingress by rank among those that mark a service.
func (o *Registry) findPlace(service string) int {
	return slices.Index(o.options.Peers.Rank(markRankPrefix+service), o.options.Peers.Self())
}
