package state_test

import (
	"context"
	"errors"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"verbenaroad.example/ingress/services/state"
	"verbenaroad.example/platform/record"
	"verbenaroad.example/share/models/site"
)

// recordedWrites records the writes of one ingress, and ranks it. Its writes are acknowledged in era 2.
type recordedWrites struct {
	number uint64
	writes []string
	place  int
	err    error
}

func (w *recordedWrites) acknowledge(write string) (site.Revision, error) {
	w.number++
	w.writes = append(w.writes, write)
	return site.Revision{Era: 2, Number: 80 + w.number}, w.err
}

func (w *recordedWrites) Put(_ context.Context, key string, _ []byte, _ site.Lease) (site.Revision, error) {
	return w.acknowledge("put " + key)
}

func (w *recordedWrites) PutIf(context.Context, string, []byte, site.Revision) (site.Revision, error) {
	return w.acknowledge("put with a condition")
}

func (w *recordedWrites) Remove(_ context.Context, key string) (site.Revision, error) {
	return w.acknowledge("remove " + key)
}

func (*recordedWrites) Self() string { return "self" }

func (w *recordedWrites) Rank(string) []string {
	return slices.Insert([]string{"a", "b"}, w.place, "self")
}

// newLossyBook returns a book of a store that was restored and has lost the inventory and the end of a quarantine, and an
// evacuation of the operator.
func newLossyBook() *state.Book {
	const quarantine = "verbenaroad/quarantine/7"
	b := state.NewBook(state.Options{Codec: record.Codec{}, Log: zap.NewNop()})
	b.ApplyListing([]site.Record{inEra(1, 50, quarantine, `{"service":"s"}`)}, site.Revision{Era: 1, Number: 60})
	b.Apply([]site.Record{
		{Key: quarantine, Revision: site.Revision{Era: 1, Number: 61}, Deleted: true},
		inEra(1, 62, "verbenaroad/software", `{"versions":{"s":["v1"]},"complete":true,"era":1}`), inEra(1, 63, evacuationKey, "{}"),
	}, site.Revision{Era: 1, Number: 63})
	b.ApplyListing([]site.Record{inEra(2, 50, quarantine, `{"service":"s"}`)}, site.Revision{Era: 2, Number: 80})
	return b
}

// Guards against records of the ingresses that a restored store has lost and nobody writes again, against several
// ingresses that write them at once, and against one that writes them again and again, or writes for the operator.
func TestLostRecordsAreWrittenAgainOnce(t *testing.T) {
	for place, want := range map[int]int{0: 2, 1: 0} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			b, w := newLossyBook(), &recordedWrites{place: place}
			restorer := &state.Restorer{Book: b, Writes: &state.Writer{Book: b, Writes: w}, Ranks: w, Log: zap.NewNop()}
			restorer.Start(t.Context())
			time.Sleep(1900 * time.Millisecond)
			is.Equal(len(w.writes), want)
			time.Sleep(time.Minute)
			is.Equal(w.writes, []string{"remove verbenaroad/quarantine/7", "put verbenaroad/software"})
			is.Equal(len(b.View().Quarantines), 0)
			is.Equal(b.View().Inventory.Versions["s"], []string{"v1"})
		})
	}
}

// Guards against a quarantine that is acknowledged and lost before any ingress has seen it, and against one that is
// used although its write failed.
func TestAcknowledgedWriteIsKnownAtOnce(t *testing.T) {
	is := is.New(t)
	for err, want := range map[error]int{nil: 1, errGone: 0} {
		b := state.NewBook(state.Options{Codec: record.Codec{}, Log: zap.NewNop()})
		b.ApplyListing(nil, site.Revision{Era: 2, Number: 80})
		writer := &state.Writer{Book: b, Writes: &recordedWrites{err: err}}
		_, got := writer.Put(t.Context(), "verbenaroad/quarantine/7", []byte(`{"service":"s"}`), site.Lease{})
		is.True(errors.Is(got, err))
		is.Equal(len(b.View().Quarantines), want)
		b.ApplyListing(nil, site.Revision{Era: 3, Number: 70})
		is.Equal(len(b.View().Quarantines), want)
	}
}
