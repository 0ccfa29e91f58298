package origin_test

import (
	"context"
	"errors"
	"sync"
	"testing"
	"testing/synctest"
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
	// isSilent is set if an ingress that may hold a memo does not answer, and the store does not take writes.
	isSilent bool
	// age is the age of the news of the store.
	age     time.Duration
	lookups int
	records map[string][]byte
	// revision is that of the last write, calls the number of writes that were tried.
	revision uint64
	calls    int
	// observers are the registries that hear of each write, with the versions of the engines that they know.
	observers map[*origin.Registry][]string
	// isUnregistered is set if this ingress could not register.
	isUnregistered bool
}

var errConflict = errors.New("the condition does not hold")

func newWorld() *world {
	return &world{memos: map[string]memo.Memo{}, records: map[string][]byte{}, observers: map[*origin.Registry][]string{}}
}

func (w *world) Put(m memo.Memo)    { w.memos[m.Key] = m }
func (w *world) Drop(key string)    { delete(w.memos, key) }
func (*world) Rank(string) []string { return []string{"ingress-0"} }
func (*world) Self() string         { return "ingress-0" }

func (w *world) Find(_ context.Context, key string) recall.Finding {
	w.lookups++
	m, found := w.memos[key]
	return recall.Finding{Memo: m, Found: found, HeldBy: "ingress-1", Answered: !w.isSilent, Conclusive: !w.isSilent}
}

// PutIf writes a record unless the condition does not hold. The records have the revisions 1, 2, 3 and so on.
func (w *world) PutIf(_ context.Context, key string, value []byte, revision site.Revision) (site.Revision, error) {
	w.lock.Lock()
	defer w.lock.Unlock()
	w.calls++
	if revision.Number != w.revision || w.isSilent {
		return site.Revision{}, errConflict
	}
	w.revision++
	w.records[key] = value
	for r, versions := range w.observers {
		w.pass(r, versions)
	}
	return site.Revision{Number: w.revision}, nil
}

func (w *world) Age() time.Duration {
	w.lock.Lock()
	defer w.lock.Unlock()
	return w.age
}

// RecordsAge returns the same: nothing waits unread in this world.
func (w *world) RecordsAge() time.Duration { return w.Age() }

// set sets the age of the news, and whether others are silent.
func (w *world) set(age time.Duration, isSilent bool) {
	w.lock.Lock()
	defer w.lock.Unlock()
	w.age, w.isSilent = age, isSilent
}

// countCalls returns the number of writes that were tried.
func (w *world) countCalls() int {
	w.lock.Lock()
	defer w.lock.Unlock()
	return w.calls
}

func (w *world) IsRegistered() bool { return !w.isUnregistered }

// readInventory returns what the store holds.
func (w *world) readInventory() *site.Inventory {
	w.lock.Lock()
	defer w.lock.Unlock()
	return w.decode()
}

// decode decodes the inventory of the last write, nil if there is none. The caller holds the lock.
func (w *world) decode() *site.Inventory {
	value, found := w.records[record.Codec{}.InventoryKey()]
	if !found {
		return nil
	}
	i, err := record.Codec{}.ReadInventory(value)
	if err != nil {
		return nil
	}
	i.Revision.Number = w.revision
	return &i
}

// pass passes a registry a view with engines of these versions and what the store holds. The caller holds the lock.
func (w *world) pass(r *origin.Registry, versions []string) {
	v := newView(versions...)
	v.Inventory = w.decode()
	r.SetView(v)
}

// second is an ingress that comes after another one by rank.
type second struct{ *world }

func (second) Rank(string) []string { return []string{"ingress-0", "ingress-1"} }
func (second) Self() string         { return "ingress-1" }

func newRegistry(w *world) *origin.Registry { return newRegistryOf(w, w) }

func newRegistryOf(w *world, peers origin.Peers) *origin.Registry {
	return origin.NewRegistry(origin.Options{Memos: w, News: w, Peers: peers, Store: w, Codec: record.Codec{}, Log: zap.NewNop()})
}

// newView returns a view with engines of these versions, as the inventory tells as well.
func newView(versions ...string) *state.View {
	all := map[string][]string{"engines": versions, "others": {"v7"}}
	return &state.View{IsComplete: true, Versions: all, Inventory: &site.Inventory{Versions: all, IsComplete: true, Revision: site.Revision{Number: 1}}}
}

// start starts the registry until the test ends, and waits until it has taken note of its view.
func start(t *testing.T, r *origin.Registry) {
	t.Helper()
	r.Start(t.Context())
	time.Sleep(time.Second)
	synctest.Wait()
}

var engines = []string{"engines"} //nolint:gochecknoglobals // a constant in all but syntax

// find looks up the origin of a stream. Of the evidence it leaves the age of the news where it tells the version.
func find(t *testing.T, r *origin.Registry, attempt string, services []string) origin.Origin {
	t.Helper()
	o := r.Find(t.Context(), attempt, services)
	age := o.Evidence.Age
	o.Evidence = origin.Evidence{}
	if o.Source == origin.SourceOnly {
		o.Evidence.Age = age
	}
	return o
}

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
		"two versions, not stated":               {newView("v1", "v2"), "", engines, false, origin.Origin{MayBeHeld: true}},
		"two versions, not recorded":             {newView("v1", "v2"), "other", engines, false, origin.Origin{}},
		"two versions, a holder does not answer": {newView("v1", "v2"), "other", engines, true, origin.Origin{MayBeHeld: true}},
		"registrations may be missing":           {&state.View{Versions: map[string][]string{"engines": {"v1"}}}, "", engines, false, origin.Origin{MayBeHeld: true}},
		"two services, recorded":                 {newView("v1"), "recorded", []string{"others", "engines"}, false, origin.Origin{Software: v1, Source: origin.SourceMemo, HeldBy: "ingress-1"}},
		"two services, one of them updated":      {newView("v1", "v2"), "", []string{"others", "engines"}, false, origin.Origin{MayBeHeld: true}},
		"two services of one version each":       {newView("v1"), "other", []string{"engines", "others"}, false, origin.Origin{Software: v1, Source: origin.SourceOnly}},
		"two services, not stated":               {newView("v1"), "", []string{"engines", "others"}, false, origin.Origin{MayBeHeld: true}},
	} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			w := newWorld()
			w.isSilent = c.isSilent
			r := newRegistry(w)
			r.SetView(c.view)
			start(t, r)
			r.RecordBegun("recorded", v1, time.Now().Add(time.Minute))
			t.Log(name)
			is.Equal(find(t, r, c.attempt, c.services), c.want)
		})
	}
}

// Guards against an ingress that is cut off from the store and takes the version that it knows for the only
// one, although another one may have been added since: if it reaches no other ingress, if all that it knows answer, which
// may be cut off as well and need not be all there are, and if the caller has not stated what they could be asked for.
func TestOldNewsDoNotTellTheOnlyVersion(t *testing.T) {
	only := site.Software{Service: "engines", Version: "v1"}
	for name, c := range map[string]struct {
		age      time.Duration
		attempt  string
		isSilent bool
		want     origin.Origin
	}{
		"new, not all other ingresses answer": {time.Second, "other", true, origin.Origin{Software: only, Source: origin.SourceOnly, Evidence: origin.Evidence{Age: time.Second}}},
		"old, all other ingresses answer":     {time.Minute, "other", false, origin.Origin{MayBeHeld: true}},
		"old, confirmed within a lease":       {3 * time.Second, "", false, origin.Origin{Software: only, Source: origin.SourceOnly, Evidence: origin.Evidence{Age: 3 * time.Second}}},
		"old, not all other ingresses answer": {time.Minute, "other", true, origin.Origin{MayBeHeld: true}},
		"old, attempt not stated":             {time.Minute, "", false, origin.Origin{MayBeHeld: true}},
		"new, attempt not stated":             {time.Second, "", false, origin.Origin{Software: only, Source: origin.SourceOnly, Evidence: origin.Evidence{Age: time.Second}}},
	} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			w := newWorld()
			r := newRegistry(w)
			r.SetView(newView("v1"))
			start(t, r)
			t.Log(name)
			w.set(c.age, c.isSilent)
			time.Sleep(c.age)
			is.Equal(find(t, r, c.attempt, engines), c.want)
		})
	}
}

// Guards against a lookup that has nothing to look up, and against records of streams that nobody takes up.
func TestRecordsEndWithTheirStream(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newWorld()
		r := newRegistry(w)
		r.SetView(newView("v1"))
		start(t, r)
		r.RecordBegun("a", site.Software{Service: "engines", Version: "v1"}, time.Now().Add(time.Minute))
		is.Equal(r.Find(t.Context(), "", engines).Source, origin.SourceOnly)
		is.Equal(w.lookups, 0)
		is.Equal(len(w.memos), 1)
		r.RecordComplete("a")
		is.Equal(len(w.memos), 0)
	})
}

// Guards against calls to the store for streams whose origin the only version of their service tells, and against
// streams of several versions that are not kept there.
func TestStreamsOfSeveralVersionsAreSelected(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newWorld()
		r := newRegistry(w)
		is.True(!r.Select().IsKnown)
		r.SetView(newView("v1"))
		start(t, r)
		r.RecordBegun("a", site.Software{Service: "engines", Version: "v1"}, time.Now().Add(time.Minute))
		r.RecordBegun("b", site.Software{Service: "others", Version: "v7"}, time.Now().Add(time.Minute))
		is.True(r.Select().IsKnown)
		is.Equal(r.Select().Name, "")
		r.SetView(newView("v1", "v2"))
		selection := r.Select()
		is.True(selection.Name != "")
		is.True(selection.Keeps(w.memos[origin.MemoPrefix+"a"])) // begun before the second version came
		is.True(!selection.Keeps(w.memos[origin.MemoPrefix+"b"]))
		is.True(!selection.Keeps(memo.Memo{Key: "retries/a", Value: w.memos[origin.MemoPrefix+"a"].Value}))
		is.True(selection.Life >= time.Minute)
	})
}
