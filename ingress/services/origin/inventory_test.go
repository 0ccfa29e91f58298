package origin_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"verbenaroad.example/ingress/services/origin"
	"verbenaroad.example/share/models/site"
)

// observe lets a registry know of engines of these versions, and hear of what is written from now on.
func (w *world) observe(r *origin.Registry, versions ...string) {
	w.lock.Lock()
	w.observers[r] = versions
	w.pass(r, versions)
	w.lock.Unlock()
	time.Sleep(time.Second)
	synctest.Wait()
}

// Guards against an ingress that starts after the loss of all and takes the version that is left for the only
// one: the one before had left the store when it came, and both are in the inventory.
func TestVersionThatReplacedAnotherIsNotTheOnlyOne(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newWorld()
		r := newRegistry(w)
		r.MarkFirstRun()
		start(t, r)
		w.observe(r, "v1")
		is.Equal(r.Find(t.Context(), "", engines).Software.Version, "v1")
		w.observe(r)
		w.observe(r, "v2")
		is.Equal(w.readInventory().Versions["engines"], []string{"v1", "v2"})
		is.Equal(w.countCalls(), 2) // one for each change, none while nothing changes

		started := newRegistry(w)
		start(t, started)
		w.observe(started, "v2")
		is.Equal(started.Find(t.Context(), "", engines).Source, origin.SourceNone)
		time.Sleep(5 * time.Minute)
		is.Equal(w.readInventory().Versions["engines"], []string{"v2"})
		is.Equal(started.Find(t.Context(), "", engines).Software.Version, "v2")
		is.Equal(w.countCalls(), 3) // the two do not add and drop it by turns
	})
}

// Guards against an ingress that takes what it sees for all there was, because the store holds no inventory:
// nobody has written it, or a restored store has lost it.
func TestMissingInventoryTellsNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newWorld()
		r := newRegistry(w)
		start(t, r)
		w.observe(r, "v2")
		is.True(w.readInventory() != nil)
		is.True(!w.readInventory().IsComplete) // its own write tells it nothing
		is.Equal(r.Find(t.Context(), "", engines).Source, origin.SourceNone)
		time.Sleep(time.Minute)
		is.True(w.readInventory().IsComplete)
		is.Equal(r.Find(t.Context(), "", engines).Source, origin.SourceOnly)
	})
}

// Guards against an ingress that starts after a restore and trusts an inventory that may be older than what was
// in force, and against one that knows better and does not confirm it.
func TestInventoryOfAnEarlierEraIsNotTrusted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newWorld()
		older := newView("v1")
		older.Era, older.Inventory.Revision = 3, site.Revision{Era: 3, Number: 1}
		w.revision = 1
		started := newRegistry(w)
		started.SetView(older)
		start(t, started)
		is.Equal(started.Find(t.Context(), "", engines).Source, origin.SourceNone)
		is.Equal(w.countCalls(), 0)

		r := newRegistry(w)
		r.SetView(newView("v1"))
		start(t, r)
		r.SetView(older)
		time.Sleep(time.Second)
		is.Equal(w.readInventory().Era, uint64(3))
		is.Equal(r.Find(t.Context(), "", engines).Source, origin.SourceOnly)
		confirmed := *older
		confirmed.Inventory = w.readInventory()
		started.SetView(&confirmed)
		time.Sleep(time.Second)
		is.Equal(started.Find(t.Context(), "", engines).Source, origin.SourceOnly)
	})
}

// Guards against a stream that begins at a version before that is recorded, against one that waits for long, or
// again and again, since nobody can record it, and against one that nothing at all would tell of.
func TestStreamsWaitForTheRecord(t *testing.T) {
	v2 := site.Software{Service: "engines", Version: "v2"}
	for name, c := range map[string]struct {
		recordedAfter  time.Duration
		isUnregistered bool
		waits          time.Duration
		want           error
	}{
		"recorded soon":            {300 * time.Millisecond, false, 300 * time.Millisecond, nil},
		"not recorded":             {time.Hour, false, time.Second, nil},
		"not registered either":    {time.Hour, true, time.Second, origin.ErrNotRecorded},
		"recorded, not registered": {300 * time.Millisecond, true, 300 * time.Millisecond, nil},
	} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			w := newWorld()
			w.isUnregistered = c.isUnregistered
			r := newRegistry(w)
			v := newView("v1")
			v.Versions = newView("v1", "v2").Versions
			r.SetView(v)
			time.AfterFunc(c.recordedAfter, func() { r.SetView(newView("v1", "v2")) })
			began := time.Now()
			waited, err := r.AwaitRecorded(t.Context(), v2)
			t.Log(name)
			is.True(waited)
			is.Equal(err, c.want)
			is.Equal(time.Since(began), c.waits)
			_, err = r.AwaitRecorded(t.Context(), v2)
			is.Equal(err, c.want)
			is.Equal(time.Since(began), c.waits)
		})
	}
}

// Guards against writes of an ingress that is cut off from the store, and against one that repeats a failed
// write without a pause.
func TestInventoryIsWrittenWithNewsOnly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newWorld()
		w.age = time.Minute
		r := newRegistry(w)
		start(t, r)
		w.observe(r, "v1")
		time.Sleep(time.Minute)
		is.Equal(w.countCalls(), 0)
		w.set(time.Second, true)
		time.Sleep(10 * time.Second)
		is.True(w.countCalls() >= 5)
		is.True(w.countCalls() <= 1+10)
	})
}
