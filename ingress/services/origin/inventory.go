package origin

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"time"

	"go.uber.org/zap"

	"verbenaroad.example/share/decide/turn"
	"verbenaroad.example/share/models/site"
	"verbenaroad.example/share/modules/logs"
)

const (
	// checkInterval is how often it is checked at least whether the inventory must be written.
	checkInterval = 250 * time.Millisecond
	// writeTimeout limits one write of the inventory, retryPause is the pause after one that failed.
	writeTimeout = 1500 * time.Millisecond
	retryPause   = time.Second
	// writeTakeover is how long a write may stay due until the next ingress by rank makes it.
	writeTakeover = time.Second
	// creationSpread, for each known ingress, is the range from which the delay of the first write is drawn:
	// at the first start no ingress knows the rank of the others. maxCreationSpread limits the range.
	creationSpread    = 10 * time.Millisecond
	maxCreationSpread = time.Second
	// recordTimeout is how long a version that the inventory does not name gets no streams.
	recordTimeout = time.Second
	// inventoryRankKey makes the ingress that writes the inventory independent of those that work for services.
	inventoryRankKey = "inventory"
)

// ErrNotRecorded means that no stream may begin at a software version, since the inventory does not name it
// and nothing else would tell after a restart that ingresses ran before.
var ErrNotRecorded = errors.New("the software version is not in the inventory")

// Start keeps the inventory in the store up to date until the context ends.
func (o *Registry) Start(ctx context.Context) { go o.loop(ctx) }

func (o *Registry) loop(ctx context.Context) {
	order := turn.NewOrder(writeTakeover)
	pause := time.Duration(0)
	for {
		select {
		case <-ctx.Done():
			return
		case <-time.After(max(pause, checkInterval)):
		case <-o.wakeUnless(pause > 0):
		}
		pause = 0
		if updated, isDue := o.confirm(time.Now()); isDue && o.isTurn(time.Now(), order) {
			if o.write(ctx, updated) != nil {
				pause = retryPause
			}
		} else if !isDue {
			order.Retain(nil)
		}
	}
}

// wakeUnless returns the channel that wakes the loop, or nil if it pauses.
func (o *Registry) wakeUnless(isPaused bool) <-chan struct{} {
	if isPaused {
		return nil
	}
	return o.wake
}

// confirm records up to when the store has confirmed the view, and returns the inventory as it should be.
func (o *Registry) confirm(now time.Time) (updated site.Inventory, isDue bool) {
	age := o.options.News.Age()
	o.lock.Lock()
	defer o.lock.Unlock()
	if !o.view.IsComplete || age > maxNewsAge {
		return site.Inventory{}, false
	}
	o.history.Confirm(now.Add(-age), o.view.Era)
	updated, isDue = o.history.Update(now, o.view.Era)
	if updated.Revision.IsZero() {
		updated.Revision.Era = o.view.Era // the condition that there is none yet
		if o.createAt.IsZero() {
			spread := min(time.Duration(len(o.view.Ingresses))*creationSpread, maxCreationSpread)
			o.createAt = now.Add(rand.N(spread + 1))
		}
		isDue = isDue && !now.Before(o.createAt)
	}
	return updated, isDue
}

// isTurn reports whether this ingress makes a write that is due.
func (o *Registry) isTurn(now time.Time, order *turn.Order) bool {
	place := slices.Index(o.options.Peers.Rank(inventoryRankKey), o.options.Peers.Self())
	return order.IsTurn(now, inventoryRankKey, place)
}

func (o *Registry) write(ctx context.Context, updated site.Inventory) error {
	value, err := o.options.Codec.WriteInventory(updated)
	if err == nil {
		ctx, cancel := context.WithTimeout(ctx, writeTimeout)
		defer cancel()
		_, err = o.options.Store.PutIf(ctx, o.options.Codec.InventoryKey(), value, updated.Revision)
	}
	o.options.Log.Info("inventory-written", zap.Stringers("software", updated.ListSoftware()), zap.Bool("complete", updated.IsComplete),
		zap.Uint64("era", updated.Era), zap.Stringer("revision-before", updated.Revision), logs.Err(err))
	return err
}

// AwaitRecorded waits until the inventory names a software version, so that after the loss of all ingresses
// those that start know of it. A version that nobody could record in time is used nevertheless, unless this
// ingress is not registered either: then nothing would tell those that start that one has run before.
func (o *Registry) AwaitRecorded(ctx context.Context, software site.Software) (waited bool, err error) {
	for ; ; waited = true {
		isRecorded, wait, changed := o.checkRecorded(time.Now(), software)
		switch {
		case isRecorded:
			return waited, nil
		case wait <= 0 && o.options.News.IsRegistered():
			return waited, nil
		case wait <= 0:
			return waited, ErrNotRecorded
		}
		timer := time.NewTimer(wait)
		select {
		case <-ctx.Done():
			timer.Stop()
			return true, ctx.Err()
		case <-changed:
			timer.Stop()
		case <-timer.C:
			o.options.Log.Warn("software-not-recorded", zap.Stringer("software", software),
				zap.Duration("age", o.options.News.Age()))
		}
	}
}

// checkRecorded reports whether the inventory names a software version. If it does not, checkRecorded returns how
// much longer streams wait for that, not positive: no longer, and a channel that is closed once the view changes.
func (o *Registry) checkRecorded(now time.Time, software site.Software) (isRecorded bool, wait time.Duration, changed <-chan struct{}) {
	o.lock.Lock()
	defer o.lock.Unlock()
	if o.history.IsRecorded(software) {
		delete(o.unrecordedSince, software)
		return true, 0, nil
	}
	since, isKnown := o.unrecordedSince[software]
	if !isKnown {
		since = now
		o.unrecordedSince[software] = now
	}
	return false, since.Add(recordTimeout).Sub(now), o.changed
}
