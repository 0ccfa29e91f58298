package origin

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"go.uber.org/zap"

	"verbenaroad.example/share/decide/turn"
	"verbenaroad.example/share/models/site"
	"verbenaroad.example/share/modules/logs"
	"verbenaroad.example/share/modules/uptime"
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
	// incompleteDelay is how much later an ingress makes the first write if it does not know all versions.
	incompleteDelay = 2 * time.Second
	// inventoryRankKey makes the ingress that writes the inventory independent of those that work for services.
	inventoryRankKey = "inventory"
)

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
		if updated, isDue := o.confirm(); isDue && o.isTurn(time.Now(), order) {
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
func (o *Registry) confirm() (updated site.Inventory, isDue bool) {
	now := uptime.Now() // before the age: the process may be stopped between the two
	age := o.options.News.RecordsAge()
	o.lock.Lock()
	defer o.lock.Unlock()
	if !o.view.IsComplete || age > Lease {
		return site.Inventory{}, false
	}
	o.confirmAt(now.Add(-age))
	updated, isDue = o.history.Update(now, o.view.Era)
	if updated.Revision.IsZero() {
		updated.Revision.Era = o.view.Era // the condition that there is none yet
		isDue = isDue && o.mayCreate(now)
	}
	return updated, isDue
}

// mayCreate reports whether this ingress makes the first write. One that does not know all versions leaves it to those
// that do for a while: what it writes is not complete, and announces versions that may be in use. The caller holds
// the lock.
func (o *Registry) mayCreate(now time.Time) bool {
	if o.createAt.IsZero() {
		spread := min(time.Duration(len(o.view.Ingresses))*creationSpread, maxCreationSpread)
		o.createAt = now.Add(rand.N(spread + 1)) //nolint:gosec // a delay, no secret
	}
	if !o.history.IsComplete() {
		return !now.Before(o.createAt.Add(incompleteDelay))
	}
	return !now.Before(o.createAt)
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
	o.options.Log.Info("inventory-written", zap.Stringers("software", updated.ListSoftware()), zap.Stringers("announced", updated.ListPending()), zap.Bool("complete", updated.IsComplete),
		zap.Uint64("era", updated.Era), zap.Stringer("revision-before", updated.Revision), logs.Err(err))
	return err
}

// Withheld are software versions of a service at which no stream may begin now.
type Withheld struct {
	Versions []string
	// Wait is the time until the first stream may begin at one of them. If IsNew is set it may be shorter: the
	// inventory names no version of the service yet, and the first one gets streams at once.
	Wait  time.Duration
	IsNew bool
	// Changed is closed when this has to be looked at again before that.
	Changed <-chan struct{}
}

// FindWithheld returns at which of the given registered versions of a service no stream that may be taken up may begin
// now, since the inventory does not name them, or announces them. A version that the inventory has not named for the
// whole notice, since the store takes no writes, is used nevertheless, unless this ingress is not registered either: then
// nothing would tell those that start later that one has run before.
func (o *Registry) FindWithheld(service string, versions []string) Withheld {
	now := uptime.Now()
	o.lock.Lock()
	defer o.lock.Unlock()
	withheld := Withheld{Wait: notice, IsNew: !o.history.NamesAny(service), Changed: o.changed}
	for _, version := range versions {
		left := o.findNoticeLeft(now, site.Software{Service: service, Version: version})
		if left <= 0 {
			continue
		}
		withheld.Versions = append(withheld.Versions, version)
		withheld.Wait = min(withheld.Wait, left)
	}
	return withheld
}

// findNoticeLeft returns how much longer no stream may begin at a software; 0: it may begin. The caller holds the lock.
func (o *Registry) findNoticeLeft(now time.Time, s site.Software) time.Duration {
	left := o.history.NoticeLeft(now, s)
	switch {
	case o.reported[s]:
		return 0 // streams have begun there, and go on beginning while the inventory announces it
	case left > 0 || o.history.IsNamed(s):
		return left
	case !o.options.News.IsRegistered():
		return checkInterval
	case !o.reported[s]:
		o.reported[s] = true
		o.options.Log.Warn("software-not-recorded", zap.Stringer("software", s), zap.Duration("records-age", o.options.News.RecordsAge()))
	}
	return 0
}
