package origin_test

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"verbenaroad.example/ingress/services/origin"
	"verbenaroad.example/ingress/services/recall"
	"verbenaroad.example/ingress/services/state"
	"verbenaroad.example/platform/record"
	"verbenaroad.example/share/decide/memo"
	"verbenaroad.example/share/models/site"
)

// world is a store and the memos of all ingresses.
type world struct {
	lock  sync.Mutex
	memos map[string]memo.Memo
	// isSilent is set if an ingress that may hold a memo does not answer.
	isSilent bool
	// age is the age of the news of the store.
	age     time.Duration
	lookups int
	records map[string][]byte
}

func newWorld() *world { return &world{memos: map[string]memo.Memo{}, records: map[string][]byte{}} }

func (w *world) Put(m memo.Memo)    { w.memos[m.Key] = m }
func (w *world) Drop(key string)    { delete(w.memos, key) }
func (*world) Rank(string) []string { return []string{"ingress-0"} }
func (*world) Self() string         { return "ingress-0" }

func (w *world) Find(_ context.Context, key string) recall.Finding {
	w.lookups++
	m, found := w.memos[key]
	return recall.Finding{Memo: m, Found: found, HeldBy: "ingress-1", Answered: !w.isSilent, Conclusive: !w.isSilent}
}

// store writes the marks.
type store struct{ *world }

func (s store) Put(_ context.Context, key string, value []byte, _ site.Lease) (site.Revision, error) {
	s.lock.Lock()
	defer s.lock.Unlock()
	s.records[key] = value
	return site.Revision{}, nil
}

func (s store) Remove(_ context.Context, key string) (site.Revision, error) {
	s.lock.Lock()
	defer s.lock.Unlock()
	delete(s.records, key)
	return site.Revision{}, nil
}

func (w *world) Age() time.Duration { return w.age }

func newRegistry(w *world) *origin.Registry {
	return origin.NewRegistry(origin.Options{Memos: w, News: w, Peers: w, Store: store{w}, Codec: record.Codec{}, Log: zap.NewNop()})
}

func newView(versions ...string) *state.View {
	return &state.View{IsComplete: true, Versions: map[string][]string{"engines": versions, "others": {"v7"}}}
}

var engines = []string{"engines"} //nolint:gochecknoglobals // a constant in all but syntax

// Guards against a stream whose origin is guessed, that is not found although it was recorded, or that is
// refused although its service has had one version only.
func TestOriginOfAStream(t *testing.T) {
	v1, v2 := site.Software{Service: "engines", Version: "v1"}, site.Software{Service: "engines", Version: "v2"}
	for name, c := range map[string]struct {
		view     *state.View
		attempt  string
		services []string
		isSilent bool
		want     origin.Origin
	}{
		"one version":                            {newView("v1"), "", engines, false, origin.Origin{Software: v1, Source: origin.SourceOnly}},
		"one version, recorded":                  {newView("v1"), "recorded", engines, false, origin.Origin{Software: v1, Source: origin.SourceMemo, HeldBy: "ingress-1"}},
		"one version, not recorded":              {newView("v2"), "other", engines, false, origin.Origin{Software: v2, Source: origin.SourceOnly}},
		"another version is not known yet":       {newView("v2"), "recorded", engines, false, origin.Origin{Software: v1, Source: origin.SourceMemo, HeldBy: "ingress-1"}},
		"two versions, recorded":                 {newView("v1", "v2"), "recorded", engines, false, origin.Origin{Software: v1, Source: origin.SourceMemo, HeldBy: "ingress-1"}},
		"two versions, not stated":               {newView("v1", "v2"), "", engines, false, origin.Origin{}},
		"two versions, not recorded":             {newView("v1", "v2"), "other", engines, false, origin.Origin{}},
		"two versions, a holder does not answer": {newView("v1", "v2"), "other", engines, true, origin.Origin{MayBeHeld: true}},
		"registrations may be missing":           {&state.View{Versions: map[string][]string{"engines": {"v1"}}}, "", engines, false, origin.Origin{MayBeHeld: true}},
		"two services, recorded":                 {newView("v1"), "recorded", []string{"others", "engines"}, false, origin.Origin{Software: v1, Source: origin.SourceMemo, HeldBy: "ingress-1"}},
		"two services, one of them updated":      {newView("v1", "v2"), "", []string{"others", "engines"}, false, origin.Origin{}},
		"two services of one version each":       {newView("v1"), "", []string{"engines", "others"}, false, origin.Origin{Software: v1, Source: origin.SourceOnly}},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			w := newWorld()
			w.isSilent = c.isSilent
			r := newRegistry(w)
			r.SetView(c.view)
			r.RecordBegun("recorded", v1, time.Now().Add(time.Minute))
			is.Equal(r.Find(context.Background(), c.attempt, c.services), c.want)
		})
	}
}

// Guards against an ingress that reaches neither the store nor another ingress and takes the version that
// it knows for the only one, although another one may have been added since.
func TestOldNewsDoNotTellTheOnlyVersion(t *testing.T) {
	only := origin.Origin{Software: site.Software{Service: "engines", Version: "v1"}, Source: origin.SourceOnly}
	for name, c := range map[string]struct {
		age      time.Duration
		isSilent bool
		want     origin.Origin
	}{
		"new, no other ingress answers": {time.Second, true, only},
		"old, another ingress answers":  {time.Minute, false, only},
		"old, no other ingress answers": {time.Minute, true, origin.Origin{MayBeHeld: true}},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			w := newWorld()
			w.age, w.isSilent = c.age, c.isSilent
			r := newRegistry(w)
			r.SetView(newView("v1"))
			is.Equal(r.Find(context.Background(), "other", engines), c.want)
		})
	}
}

// Guards against a lookup that has nothing to look up, and against records of streams that nobody takes up.
func TestRecordsEndWithTheirStream(t *testing.T) {
	is := is.New(t)
	w := newWorld()
	r := newRegistry(w)
	r.SetView(newView("v1"))
	r.RecordBegun("a", site.Software{Service: "engines", Version: "v1"}, time.Now().Add(time.Minute))
	is.Equal(r.Find(context.Background(), "", engines).Source, origin.SourceOnly)
	is.Equal(w.lookups, 0)
	is.Equal(len(w.memos), 1)
	r.RecordComplete("a")
	is.Equal(len(w.memos), 0)
}

// Guards against an ingress that starts after the loss of all and takes the version that is left for the
// only one: the service is marked in the store while it has several.
func TestServiceWithSeveralVersionsIsMarked(t *testing.T) {
	is := is.New(t)
	w := newWorld()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	r := newRegistry(w)
	r.SetView(newView("v1", "v2"))
	r.Start(ctx)
	key := record.Codec{}.MixedKey("engines")
	isMarked := func() bool {
		w.lock.Lock()
		defer w.lock.Unlock()
		return len(w.records) == 1 && w.records[key] != nil
	}
	for began := time.Now(); !isMarked(); {
		is.True(time.Since(began) < 20*time.Second)
		time.Sleep(20 * time.Millisecond)
	}
	started := newRegistry(newWorld())
	after := newView("v2")
	after.Mixed = map[string]bool{record.Codec{}.MixedService(key): true}
	started.SetView(after)
	is.Equal(started.Find(ctx, "", engines), origin.Origin{})
}
