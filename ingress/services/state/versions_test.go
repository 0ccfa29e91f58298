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
	value := `{"Service":"engines","Address":"10.0.0.1:1","Zone":"north-a","Slots":4,"State":"` + serverState + `","Version":"` + version + `"}`
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

// Guards against an ingress that does not learn from a peer that a service has several versions, or that they
// are gone.
func TestMarkOfSeveralVersionsIsApplied(t *testing.T) {
	is := is.New(t)
	options := state.Options{Codec: record.Codec{}, Log: zap.NewNop()}
	b, follower := state.NewBook(options), state.NewBook(options)
	key := record.Codec{}.MixedKey("engines")
	b.ApplyListing([]site.Record{newVersionRecord("n", "v2", "ready", 1), {Key: key, Value: []byte("{}"), Revision: at(2)}}, at(2))
	follower.ApplyDelta(b.Since(mirror.Extent{}))
	is.True(b.View().Mixed["engines"])
	is.True(follower.View().Mixed["engines"])
	b.Apply([]site.Record{{Key: key, Revision: at(3), Deleted: true}}, at(3))
	follower.ApplyDelta(b.Since(mirror.Extent{CompleteRevision: at(2)}))
	is.True(!b.View().Mixed["engines"])
	is.True(!follower.View().Mixed["engines"])
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
