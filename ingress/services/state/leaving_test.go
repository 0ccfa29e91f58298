package state_test

import (
	"strings"
	"testing"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"verbenaroad.example/ingress/services/state"
	"verbenaroad.example/platform/record"
	"verbenaroad.example/share/models/site"
)

// Guards against a server that said that it leaves and is used again because of a record that was
// written before it did, and against one that is not used after it has started again.
func TestLeavingServerIsNotListedUntilItStartsAgain(t *testing.T) {
	is := is.New(t)
	leaving := map[int64]bool{}
	b := state.NewBook(state.Options{
		Codec: record.Codec{}, Log: zap.NewNop(), IsLeaving: func(s *site.Server) bool { return s.ID == "n" && leaving[s.Incarnation] },
	})
	put := func(born string, revision uint64) {
		value := strings.Replace(northServer, `"Slots":4`, `"Slots":4,"born":`+born, 1)
		b.Apply([]site.Record{{Key: "servers/n", Value: []byte(value), Revision: at(revision)}}, at(revision))
	}
	b.ApplyListing([]site.Record{{Key: "servers/s", Value: []byte(southServer), Revision: at(3)}}, at(3))
	put("100", 4)
	is.Equal(countReady(b), 2)
	leaving[100] = true
	b.Refresh()
	is.Equal(countReady(b), 1)
	is.Equal(b.View().Leaving[0].ID, "n")
	put("100", 5)
	is.Equal(countReady(b), 1)
	put("101", 6)
	is.Equal(countReady(b), 2)
	is.Equal(len(b.View().Leaving), 0)
}
