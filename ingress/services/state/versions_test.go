package state_test

import (
	"testing"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"verbenaroad.example/ingress/services/state"
	"verbenaroad.example/platform/record"
	"verbenaroad.example/share/decide/mirror"
	"verbenaroad.example/share/models/site"
)

func newVersionRecord(id, version, serverState string, revision uint64) site.Record {
	value := `{"Service":"engines","Address":"10.0.0.1:1","Zone":"north-a","Slots":4,"Sequence":1,"ColdRemainingMs":0,"State":"` + serverState + `","Version":"` + version + `"}`
	return site.Record{Key: "servers/" + id, Value: []byte(value), Revision: at(revision)}
}

// Guards against a version that is overlooked because its servers get no new work: streams that began there
// are still taken up.
func TestVersionsIncludeServersWithoutNewWork(t *testing.T) {
	is := is.New(t)
	b := state.NewBook(state.Options{Codec: record.Codec{}, Log: zap.NewNop()})
	b.ApplyListing([]site.Record{
		newVersionRecord("n", "v2", "ready", 1), newVersionRecord("d", "v1", "draining", 2), newVersionRecord("e", "v2", "ready", 3),
	}, at(3))
	is.Equal(b.View().Versions["engines"], []string{"v1", "v2"})
	is.Equal(countReady(b), 2)
}

// Guards against an ingress that does not learn from a peer which versions streams may have begun at, against one
// that believes an inventory which is gone or cannot be read, and against one that does not learn of a new era.
func TestInventoryIsApplied(t *testing.T) {
	is := is.New(t)
	options := state.Options{Codec: record.Codec{}, Log: zap.NewNop()}
	b, follower := state.NewBook(options), state.NewBook(options)
	key := record.Codec{}.InventoryKey()
	b.ApplyListing([]site.Record{
		newVersionRecord("n", "v2", "ready", 1),
		{Key: key, Value: []byte(`{"versions":{"engines":["v1","v2"]},"complete":true,"era":0}`), Revision: at(2)},
	}, at(2))
	follower.ApplyDelta(b.Since(mirror.Extent{}))
	want := site.Inventory{Versions: map[string][]string{"engines": {"v1", "v2"}}, IsComplete: true, Revision: at(2)}
	is.Equal(*b.View().Inventory, want)
	is.Equal(*follower.View().Inventory, want)
	b.Apply([]site.Record{{Key: key, Value: []byte("[]"), Revision: at(3)}}, at(3))
	is.Equal(b.View().Inventory, nil)
	follower.ApplyDelta(mirror.Delta{Records: []site.Record{{Key: key, Revision: at(4), Deleted: true}}, CompleteRevision: at(4)})
	is.Equal(follower.View().Inventory, nil)
	is.Equal(follower.View().Era, uint64(0))
	follower.ApplyListing([]site.Record{newVersionRecord("n", "v2", "ready", 1)}, site.Revision{Era: 1, Number: 4})
	follower.Confirm()
	is.Equal(follower.View().Era, uint64(1))
}

// Guards against a view that is taken for complete while registrations may be missing, and against one
// that stays incomplete because the last part changed no record.
func TestViewStatesWhetherItIsComplete(t *testing.T) {
	is := is.New(t)
	b := state.NewBook(state.Options{Codec: record.Codec{}, Log: zap.NewNop()})
	first := newVersionRecord("n", "v1", "ready", 1)
	b.Merge([]site.Record{first})
	is.True(!b.View().IsComplete)
	b.ApplyListing([]site.Record{first}, at(1))
	is.True(b.View().IsComplete)
}

// Guards against a version that is overlooked because its server has registered and left between two answers of the store,
// while another ingress has seen it and begun streams there.
func TestVersionsIncludeServersThatCameAndWent(t *testing.T) {
	seen := map[string]bool{}
	b := state.NewBook(state.Options{Codec: record.Codec{}, Log: zap.NewNop(), OnChange: func(v *state.View) {
		for _, version := range v.Versions["engines"] {
			seen[version] = true
		}
	}})
	b.ApplyListing([]site.Record{newVersionRecord("n", "v2", "ready", 1)}, at(1))
	b.Apply([]site.Record{
		newVersionRecord("s", "v1", "ready", 2), {Key: "servers/s", Revision: at(3), Deleted: true},
	}, at(3))
	if !seen["v1"] {
		t.Error("no view tells of v1")
	}
}
