package state_test

import (
	"context"
	"fmt"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"verbenaroad.example/ingress/services/state"
	"verbenaroad.example/platform/record"
	"verbenaroad.example/share/models/site"
)

// countingStore holds records and counts the calls and the records that it sends.
type countingStore struct {
	stubStore
	records     []site.Record
	calls, sent int
	// era is that of the answers; 0: they state none.
	era uint64
}

func (s *countingStore) List(_ context.Context, prefix string) ([]site.Record, site.Revision, error) {
	s.calls++
	found := []site.Record{}
	for _, r := range s.records {
		if strings.HasPrefix(r.Key, prefix) {
			found = append(found, r)
		}
	}
	s.sent += len(found)
	return found, site.Revision{Era: s.era, Number: 1}, nil
}

// newDeployment returns a store with n ingresses in the given number of failure domains, three backend
// servers for each ingress, and a configuration.
func newDeployment(t *testing.T, n, domains int) *countingStore {
	t.Helper()
	s := &countingStore{}
	codec := record.Codec{}
	put := func(key string, value []byte) {
		s.records = append(s.records, site.Record{Key: key, Value: value, Revision: at(uint64(len(s.records) + 1))})
	}
	put("op/config", []byte(`{"Version":1}`))
	for i := range 3 * n {
		put(fmt.Sprintf("servers/i-%d", i), []byte(`{"Service":"s","Address":"10.0.0.1:80","Zone":"z","State":"ready","Version":"v1","Slots":8,"ColdRemainingMs":0,"Sequence":1}`))
	}
	for i := range n {
		ingress := site.Ingress{
			Name: fmt.Sprintf("n%d", i), Domain: fmt.Sprintf("d%d", i%domains), Address: netip.MustParseAddrPort("10.0.0.2:80"), Capacity: 1,
		}
		value, err := codec.WriteIngress(ingress)
		if err != nil {
			t.Fatal(err)
		}
		put(codec.IngressKey(ingress), value)
	}
	return s
}

func newBook() *state.Book {
	return state.NewBook(state.Options{Codec: record.Codec{}, Log: zap.NewNop()})
}

func discover(s *countingStore) *state.Book {
	book := newBook()
	reader := state.Reader{Book: book, Store: s, Domain: "d0", Log: zap.NewNop()}
	reader.DiscoverPeers(context.Background(), func() bool { return len(book.View().Ingresses) > 1 })
	return book
}

// Guards against a store whose link is saturated when all ingresses start at once: what one start reads
// must not grow with the backend servers, nor with the ingresses of other failure domains.
func TestFirstLookReadsTheOwnDomainOnly(t *testing.T) {
	const domains = 7
	for _, n := range []int{100, 1000, 2000} {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			is := is.New(t)
			s := newDeployment(t, n, domains)
			book := discover(s)
			is.Equal(s.calls, 1)
			is.True(s.sent <= n/domains+1)
			is.Equal(len(book.View().Ingresses), s.sent)
			is.True(!book.IsListed()) // the records come from the ingress that watches the store
		})
	}
}

// Guards against a slower return of small deployments: an ingress that was registered before, with few
// others in its failure domain, has all records after two calls, without waiting for another ingress or
// for its registration.
func TestReturnToASmallDeploymentIsCompleteAtOnce(t *testing.T) {
	is := is.New(t)
	s := newDeployment(t, 6, 1)
	book := newBook()
	reader := state.Reader{Book: book, Store: s, Name: "n3", Domain: "d0", Log: zap.NewNop()}
	reader.DiscoverPeers(context.Background(), func() bool { return len(book.View().Ingresses) > 1 })
	is.True(book.IsListed())
	is.Equal(s.calls, 2)
}

// Guards against a start that needs another ingress although its failure domain has few: it has all records
// after three calls.
func TestFirstLookOfSmallDeploymentIsComplete(t *testing.T) {
	for _, n := range []int{1, 6, 28} {
		is := is.New(t)
		s := newDeployment(t, n, 6)
		book := discover(s)
		is.True(book.IsListed())
		is.Equal(len(book.View().Ingresses), n)
		is.True(s.calls <= 3) // the third if no other ingress was registered
	}
}

// Guards against losing an ingress from the view when the registration that an earlier version wrote for
// it, under another key, ends.
func TestEndOfAnEarlierRegistrationIsIgnored(t *testing.T) {
	is := is.New(t)
	codec := record.Codec{}
	ingress := site.Ingress{Name: "a", Domain: "d0", Address: netip.MustParseAddrPort("10.0.0.2:80"), Capacity: 1}
	value, err := codec.WriteIngress(ingress)
	is.NoErr(err)
	book := newBook()
	earlier := codec.IngressPrefix() + "a"
	book.ApplyListing([]site.Record{{Key: earlier, Value: value, Revision: at(1)}}, at(1))
	book.Apply([]site.Record{{Key: codec.IngressKey(ingress), Value: value, Revision: at(2)}}, at(2))
	book.Apply([]site.Record{{Key: earlier, Revision: at(3), Deleted: true}}, at(3))
	book.DropExpired(time.Now().Add(time.Hour))
	is.Equal(len(book.View().Ingresses), 1)
	book.Apply([]site.Record{{Key: codec.IngressKey(ingress), Revision: at(4), Deleted: true}}, at(4))
	book.DropExpired(time.Now().Add(time.Hour))
	is.Equal(len(book.View().Ingresses), 0)
}
