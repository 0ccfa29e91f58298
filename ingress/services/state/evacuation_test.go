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

const (
	evacuationKey = "op/evacuate/north-a"
	coldConfig    = `{"Version":7,"Routes":[],"Services":[{"Name":"engines","ColdStartS":3.0,"ColdPerS":9.0}]}`
	northServer   = `{"Service":"engines","Address":"10.0.0.1:1","Zone":"north-a","State":"ready","Version":"v1","Sequence":1,"Slots":4,"ColdRemainingMs":0}`
	southServer   = `{"Service":"engines","Address":"10.0.0.2:1","Zone":"south-a","State":"ready","Version":"v1","Sequence":1,"Slots":4,"ColdRemainingMs":1500}`
)

func countReady(b *state.Book) int { return len(b.View().Servers["engines"]) }

// Guards against an evacuation that takes effect only in ingresses that can reach the store. An
// ingress that cannot reach it must learn the start and the end of an evacuation from a peer.
func TestEvacuationIsAppliedFromStoreAndPeers(t *testing.T) {
	is := is.New(t)
	options := state.Options{Codec: record.Codec{}, Log: zap.NewNop()}
	b := state.NewBook(options)
	b.ApplyListing([]site.Record{
		{Key: "op/config", Value: []byte(coldConfig), Revision: at(1)},
		{Key: "servers/n", Value: []byte(northServer), Revision: at(2)},
		{Key: "servers/s", Value: []byte(southServer), Revision: at(3)},
	}, at(3))
	is.Equal(countReady(b), 2)
	b.Apply([]site.Record{{Key: evacuationKey, Value: []byte("{}"), Revision: at(4)}}, at(4))
	is.Equal(countReady(b), 1)
	is.Equal(b.View().Evacuated, []string{"north-a"})

	follower := state.NewBook(options)
	follower.ApplyDelta(b.Since(mirror.Extent{}))
	is.Equal(countReady(follower), 1)

	b.Apply([]site.Record{{Key: evacuationKey, Revision: at(5), Deleted: true}}, at(5))
	is.Equal(countReady(b), 2)
	follower.ApplyDelta(b.Since(mirror.Extent{CompleteRevision: at(4)}))
	is.Equal(countReady(follower), 2)
	for _, s := range follower.View().Servers["engines"] {
		is.True(!s.ColdUntil.IsZero()) // n: its evacuation just ended; s: its registration states it
	}
}

// Guards against an evacuation that stays in force because its record was deleted while this
// ingress received no updates.
func TestEvacuationMissingInListingHasEnded(t *testing.T) {
	is := is.New(t)
	b := state.NewBook(state.Options{Codec: record.Codec{}, Log: zap.NewNop()})
	north := site.Record{Key: "servers/n", Value: []byte(northServer), Revision: at(2)}
	b.ApplyListing([]site.Record{{Key: evacuationKey, Value: []byte("{}"), Revision: at(1)}, north}, at(2))
	is.Equal(countReady(b), 0)
	b.ApplyListing([]site.Record{north}, at(9))
	is.Equal(countReady(b), 1)
}
