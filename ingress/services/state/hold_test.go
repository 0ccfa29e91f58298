package state_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"verbenaroad.example/ingress/services/state"
	"verbenaroad.example/platform/record"
	"verbenaroad.example/share/decide/mirror"
	"verbenaroad.example/share/models/site"
)

// inEra returns a record with a revision of an era.
func inEra(era, number uint64, key, value string) site.Record {
	return site.Record{Key: key, Value: []byte(value), Revision: site.Revision{Era: era, Number: number}}
}

func newServerValue(born, sequence int, serverState string) string {
	return fmt.Sprintf(`{"Service":"s","Address":"10.0.0.1:80","Zone":"z","Version":"v1","Slots":4,"ColdRemainingMs":0,"State":%q,"born":%d,"Sequence":%d}`, serverState, born, sequence)
}

// restoreBook returns a book that knew some records in era 1, up to revision 90, and has then listed others in era 2,
// up to revision 80.
func restoreBook(before, after []site.Record) *state.Book {
	b := state.NewBook(state.Options{Codec: record.Codec{}, Log: zap.NewNop()})
	b.ApplyListing(before, site.Revision{Era: 1, Number: 90})
	b.Confirm()
	b.ApplyListing(after, site.Revision{Era: 2, Number: 80})
	return b
}

// Guards against a configuration that comes back from the copy, or is written again, in place of a newer one, and
// against one that is newer and is refused since its revision is lower.
func TestNewestConfigurationStaysInForce(t *testing.T) {
	is := is.New(t)
	b := restoreBook([]site.Record{inEra(1, 85, "op/config", `{"Version":62}`)}, []site.Record{inEra(2, 60, "op/config", `{"Version":54}`)})
	is.Equal(b.View().Version(), uint64(62))
	b.Apply([]site.Record{inEra(2, 81, "op/config", `{"Version":58}`)}, site.Revision{Era: 2, Number: 81})
	is.Equal(b.View().Version(), uint64(62))
	late := state.NewBook(state.Options{Codec: record.Codec{}, Log: zap.NewNop()})
	late.ApplyListing([]site.Record{inEra(2, 81, "op/config", `{"Version":58}`)}, site.Revision{Era: 2, Number: 82})
	late.ApplyDelta(b.Since(late.Extent()))
	late.Confirm()
	is.Equal(late.View().Version(), uint64(62))
	b.Apply([]site.Record{inEra(2, 83, "op/config", `{"Version":65}`)}, site.Revision{Era: 2, Number: 83})
	is.Equal(b.View().Version(), uint64(65))

	b = restoreBook([]site.Record{inEra(1, 85, "op/config", `{"Version":62}`)}, []site.Record{inEra(2, 75, "op/config", `{"Version":65}`)})
	is.Equal(b.View().Version(), uint64(65))
	b = restoreBook([]site.Record{inEra(1, 85, "op/config", `{"Version":62}`)}, nil)
	is.Equal(b.View().Version(), uint64(62))
	b = restoreBook([]site.Record{inEra(1, 85, "op/config", `{"Version":62}`)}, []site.Record{inEra(2, 75, "op/config", `{`)})
	is.Equal(b.View().Version(), uint64(62))
}

// Guards against a server that has left or drains and is used again after a restore, and against one that has
// registered since and is not.
func TestOlderRegistrationsDoNotComeBack(t *testing.T) {
	const key = "servers/n"
	left := site.Record{Key: key, Revision: site.Revision{Era: 1, Number: 91}, Deleted: true}
	cases := map[string]struct {
		before []site.Record
		// leaves is set if the registration before is removed before the restore.
		leaves bool
		after  []site.Record
		ready  int
	}{
		"drains, ready in the copy":        {before: []site.Record{inEra(1, 85, key, newServerValue(7, 9, "draining"))}, after: []site.Record{inEra(2, 60, key, newServerValue(7, 3, "ready"))}},
		"left, ready in the copy":          {before: []site.Record{inEra(1, 85, key, newServerValue(7, 9, "ready"))}, leaves: true, after: []site.Record{inEra(2, 60, key, newServerValue(7, 9, "ready"))}},
		"left, and started again":          {before: []site.Record{inEra(1, 85, key, newServerValue(7, 9, "ready"))}, leaves: true, after: []site.Record{inEra(2, 75, key, newServerValue(8, 1, "ready"))}, ready: 1},
		"left in the view only":            {before: []site.Record{inEra(1, 85, key, newServerValue(7, 9, "ready"))}, leaves: true, after: []site.Record{inEra(2, 75, key, newServerValue(7, 12, "ready"))}, ready: 1},
		"ready, drains since":              {before: []site.Record{inEra(1, 85, key, newServerValue(7, 9, "ready"))}, after: []site.Record{inEra(2, 75, key, newServerValue(7, 12, "draining"))}},
		"started again, earlier in copy":   {before: []site.Record{inEra(1, 85, key, newServerValue(8, 1, "ready"))}, after: []site.Record{inEra(2, 60, key, newServerValue(7, 9, "draining"))}, ready: 1},
		"ready, missing in the copy":       {before: []site.Record{inEra(1, 85, key, newServerValue(7, 9, "ready"))}, ready: 1},
		"ready, written since by somebody": {before: []site.Record{inEra(1, 85, key, newServerValue(7, 9, "ready"))}, after: []site.Record{inEra(2, 75, key, `{"Service":7}`)}, ready: 1},
		"left before this ingress started": {after: []site.Record{inEra(2, 75, key, newServerValue(7, 9, "ready"))}},
		"registered for the first time":    {after: []site.Record{inEra(2, 95, key, newServerValue(7, 9, "ready"))}, ready: 1},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			b := state.NewBook(state.Options{Codec: record.Codec{}, Log: zap.NewNop()})
			b.ApplyListing(c.before, site.Revision{Era: 1, Number: 90})
			if c.leaves {
				b.Apply([]site.Record{left}, left.Revision)
			}
			b.ApplyListing(c.after, site.Revision{Era: 2, Number: 80})
			is.Equal(len(b.View().Servers["s"]), c.ready)
		})
	}
}

// Guards against a server that left before a restore, and that an ingress which started in the outage keeps as one
// whose registration has expired in it.
func TestServerThatLeftIsNotKeptAfterAnOutage(t *testing.T) {
	is := is.New(t)
	const key = "servers/n"
	left := site.Record{Key: key, Value: []byte(newServerValue(7, 9, "ready")), Revision: site.Revision{Era: 1, Number: 91}, Deleted: true}
	b := state.NewBook(state.Options{Codec: record.Codec{}, Log: zap.NewNop()})
	b.SetDirect(true)
	b.ObserveWatchFailure(time.Now().Add(-2*time.Second), errGone)
	b.ApplyListing([]site.Record{inEra(2, 60, key, newServerValue(7, 9, "ready"))}, site.Revision{Era: 2, Number: 80})
	b.ObserveWatchAnswer()
	b.ApplyDelta(mirror.Delta{Holds: []site.Record{left}, CompleteRevision: site.Revision{Era: 2, Number: 80}, EarlierRevision: left.Revision})
	is.Equal(len(b.View().Servers["s"]), 0)
}

// Guards against what is held for a server staying in force for ever: the server itself, which is gone, or its end,
// while it is alive and has nothing to write again.
func TestHoldsOfServersExpire(t *testing.T) {
	is := is.New(t)
	ready := inEra(1, 85, "servers/n", newServerValue(7, 9, "ready"))
	b := restoreBook([]site.Record{ready}, nil)
	b.DropExpired(time.Now().Add(2 * time.Second))
	is.Equal(len(b.View().Servers["s"]), 1)
	b.DropExpired(time.Now().Add(3 * time.Second))
	is.Equal(len(b.View().Servers["s"]), 0)

	b = restoreBook([]site.Record{inEra(1, 85, "servers/n", newServerValue(8, 9, "draining"))}, []site.Record{inEra(2, 60, "servers/n", newServerValue(8, 9, "ready"))})
	is.Equal(len(b.View().Servers["s"]), 0)
	b.DropExpired(time.Now().Add(11 * time.Second))
	is.Equal(len(b.View().Servers["s"]), 1)
}

// Guards against a server whose registration, written anew after the restore, is refused since its clock has gone
// back.
func TestServerThatWritesAfterTheRestoreIsTaken(t *testing.T) {
	is := is.New(t)
	b := restoreBook([]site.Record{inEra(1, 85, "servers/n", newServerValue(9, 9, "draining"))}, []site.Record{inEra(2, 60, "servers/n", newServerValue(8, 9, "ready"))})
	is.Equal(len(b.View().Servers["s"]), 0)
	b.Apply([]site.Record{inEra(2, 81, "servers/n", newServerValue(8, 1, "ready"))}, site.Revision{Era: 2, Number: 81})
	is.Equal(len(b.View().Servers["s"]), 1)
}

// Guards against an evacuation that ends, or begins again, with a restore, and against one that does not end when
// the operator ends it afterwards.
func TestEvacuationsAndQuarantinesOutlastARestore(t *testing.T) {
	is := is.New(t)
	evacuation := inEra(1, 85, evacuationKey, "{}")
	quarantine := inEra(1, 86, "verbenaroad/quarantine/7", `{"service":"s"}`)
	b := restoreBook([]site.Record{evacuation, quarantine}, nil)
	is.Equal(b.View().Evacuated, []string{"north-a"})
	is.Equal(len(b.View().Quarantines), 1)
	b.DropExpired(time.Now().Add(59 * time.Second))
	is.Equal(b.View().Evacuated, []string{"north-a"})
	b.Apply([]site.Record{inEra(2, 81, evacuationKey, "{}")}, site.Revision{Era: 2, Number: 81})
	b.Apply([]site.Record{{Key: evacuationKey, Revision: site.Revision{Era: 2, Number: 82}, Deleted: true}}, site.Revision{Era: 2, Number: 82})
	is.Equal(len(b.View().Evacuated), 0)
	b.DropExpired(time.Now().Add(time.Hour))
	is.Equal(len(b.View().Quarantines), 1)

	b = restoreBook(nil, []site.Record{inEra(2, 60, evacuationKey, "{}"), inEra(2, 61, quarantine.Key, `{"service":"s"}`)})
	is.Equal(len(b.View().Evacuated), 1) // it may have begun since the restore
	is.Equal(len(b.View().Quarantines), 1)

	b = state.NewBook(state.Options{Codec: record.Codec{}, Log: zap.NewNop()})
	b.ApplyListing([]site.Record{evacuation, quarantine}, site.Revision{Era: 1, Number: 90})
	b.ApplyListing(nil, site.Revision{Era: 1, Number: 95})
	b.ApplyListing([]site.Record{inEra(2, 60, evacuationKey, "{}"), inEra(2, 61, quarantine.Key, `{"service":"s"}`)}, site.Revision{Era: 2, Number: 80})
	is.Equal(len(b.View().Evacuated), 0)
	is.Equal(len(b.View().Quarantines), 0)
}

// Guards against the trial of a quarantined request whose condition never holds, since its quarantine has another
// revision in the new era.
func TestQuarantineHasItsRevisionInTheNewEra(t *testing.T) {
	is := is.New(t)
	const key, value = "verbenaroad/quarantine/7", `{"service":"s"}`
	b := restoreBook([]site.Record{inEra(1, 85, key, value)}, []site.Record{inEra(2, 70, key, value)})
	is.Equal(b.View().Quarantines["7"].Revision, site.Revision{Era: 2, Number: 70})
}

// Guards against an ingress that starts with what a restored store holds, before it has asked others what was in
// force; and against a start that waits for others although the store was never restored.
func TestConfigurationOfARestoredStoreIsUsedOnceConfirmed(t *testing.T) {
	is := is.New(t)
	for era, confirmed := range map[uint64]bool{0: true, 1: false} {
		b := state.NewBook(state.Options{Codec: record.Codec{}, Log: zap.NewNop()})
		b.ApplyListing([]site.Record{inEra(era, 60, "op/config", `{"Version":54}`)}, site.Revision{Era: era, Number: 80})
		is.Equal(b.View().Version() == 54, confirmed)
		is.Equal(b.View().IsComplete, confirmed)
		is.Equal(b.IsUnconfirmed(), !confirmed)
		b.Confirm()
		is.Equal(b.View().Version(), uint64(54))
		is.True(b.View().IsComplete)
	}
}
