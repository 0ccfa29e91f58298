package origin

import (
	"context"
	"maps"
	"slices"
	"time"

	"go.uber.org/zap"

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
	dueSince := map[string]time.Time{}
	for pauses.Wait(ctx, markInterval) {
		now := time.Now()
		o.lock.Lock()
		unmarked := o.history.ListUnmarked()
		outdated := o.history.ListOutdated(now)
		versions := o.view.Versions
		o.lock.Unlock()
		maps.DeleteFunc(dueSince, func(service string, _ time.Time) bool {
			return !slices.Contains(unmarked, service) && !slices.Contains(outdated, service)
		})
		for _, service := range unmarked {
			if o.isMarker(now, service, dueSince) {
				o.mark(ctx, service, versions[service])
			}
		}
		for _, service := range outdated {
			if o.isMarker(now, service, dueSince) {
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

// isMarker reports whether this ingress writes the mark of a service now. The first by rank does so at once,
// the others one after the other if the mark stays due, since the first may be cut off from the store.
func (o *Registry) isMarker(now time.Time, service string, dueSince map[string]time.Time) bool {
	if _, isDue := dueSince[service]; !isDue {
		dueSince[service] = now
	}
	place := slices.Index(o.options.Peers.Rank(markRankPrefix+service), o.options.Peers.Self())
	return place >= 0 && now.Sub(dueSince[service]) >= time.Duration(place)*markTakeover
}
