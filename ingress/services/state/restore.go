package state

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
	// restoreInterval is how often it is checked whether records must be written again.
	restoreInterval = 500 * time.Millisecond
	// restoreTimeout limits one write.
	restoreTimeout = 1500 * time.Millisecond
	// restoreTakeover is how long a record may be missing until the next ingress by rank writes it.
	restoreTakeover = 2 * time.Second
	// restoreRankPrefix makes the ingress that writes a record independent of those that work for it.
	restoreRankPrefix = "restore/"
)

// Writes changes records of the store, and returns the revisions of the changes.
type Writes interface {
	Put(ctx context.Context, key string, value []byte, lease site.Lease) (site.Revision, error)
	// PutIf writes a record if its last change has the given revision.
	PutIf(ctx context.Context, key string, value []byte, revision site.Revision) (site.Revision, error)
	Remove(ctx context.Context, key string) (site.Revision, error)
}

// Ranks ranks the ingresses.
type Ranks interface {
	// Rank returns the names of the ingresses that can be reached, ordered by their score for a key.
	Rank(key string) []string
	// Self returns the name of this ingress.
	Self() string
}

// Writer changes records of the store, and applies each change to the Book once the store has acknowledged it. Even
// if the store loses it before any ingress has watched it, the change is known here.
type Writer struct {
	Book   *Book
	Writes Writes
}

// Put writes a record unconditionally.
func (w *Writer) Put(ctx context.Context, key string, value []byte, lease site.Lease) (site.Revision, error) {
	revision, err := w.Writes.Put(ctx, key, value, lease)
	return revision, w.apply(site.Record{Key: key, Value: value, Revision: revision, Lease: lease}, err)
}

// PutIf writes a record if its last change has the given revision.
func (w *Writer) PutIf(ctx context.Context, key string, value []byte, condition site.Revision) (site.Revision, error) {
	revision, err := w.Writes.PutIf(ctx, key, value, condition)
	return revision, w.apply(site.Record{Key: key, Value: value, Revision: revision}, err)
}

// Remove deletes a record unconditionally.
func (w *Writer) Remove(ctx context.Context, key string) (site.Revision, error) {
	revision, err := w.Writes.Remove(ctx, key)
	return revision, w.apply(site.Record{Key: key, Revision: revision, Deleted: true}, err)
}

// apply applies a change unless its write failed, and returns the error of the write.
func (w *Writer) apply(r site.Record, err error) error {
	if err == nil {
		w.Book.Merge([]site.Record{r})
	}
	return err
}

// Restorer writes the records of the ingresses again that a restored store has lost: quarantines and marks of
// versions, and their ends. Nobody else writes them.
type Restorer struct {
	Book   *Book
	Writes Writes
	Ranks  Ranks
	Log    *zap.Logger
}

// Start writes lost records again until the context ends.
func (r *Restorer) Start(ctx context.Context) { go r.loop(ctx) }

func (r *Restorer) loop(ctx context.Context) {
	order := turn.NewOrder(restoreTakeover)
	for pauses.Wait(ctx, restoreInterval) {
		lost := r.Book.listLost()
		keys := make([]string, 0, len(lost))
		for _, record := range lost {
			keys = append(keys, record.Key)
		}
		order.Retain(keys)
		for _, record := range lost {
			place := slices.Index(r.Ranks.Rank(restoreRankPrefix+record.Key), r.Ranks.Self())
			if order.IsTurn(time.Now(), record.Key, place) {
				r.write(ctx, record)
			}
		}
	}
}

func (r *Restorer) write(ctx context.Context, record site.Record) {
	ctx, cancel := context.WithTimeout(ctx, restoreTimeout)
	defer cancel()
	var err error
	if record.Deleted {
		_, err = r.Writes.Remove(ctx, record.Key)
	} else {
		_, err = r.Writes.Put(ctx, record.Key, record.Value, site.Lease{})
	}
	r.Log.Warn("record-restored", zap.String("key", record.Key), zap.Bool("removed", record.Deleted),
		zap.Stringer("revision-before", record.Revision), logs.Err(err))
}

// listLost returns the records of the ingresses that are in force here, and that the restored store lacks or holds
// otherwise, sorted by key.
func (b *Book) listLost() []site.Record {
	policy := holdPolicy{b.options.Codec}
	b.lock.Lock()
	defer b.lock.Unlock()
	return slices.DeleteFunc(b.records.Holds(), func(r site.Record) bool { return !policy.isOwn(r.Key) })
}
