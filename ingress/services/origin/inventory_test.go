package origin_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"verbenaroad.example/ingress/services/origin"
	"verbenaroad.example/ingress/services/state"
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
		is.Equal(w.readInventory().Pending["engines"], []string{"v2"})

		started := newRegistryOf(w, second{w})
		start(t, started)
		w.observe(started, "v2")
		is.Equal(started.Find(t.Context(), "", engines).Source, origin.SourceNone)
		time.Sleep(6 * time.Minute)
		is.Equal(w.readInventory().Versions["engines"], []string{"v2"})
		is.Equal(started.Find(t.Context(), "", engines).Software.Version, "v2")
		is.Equal(w.countCalls(), 4) // the end of the notice, and the two do not add and drop it by turns
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
		is.True(w.readInventory() == nil) // others may know more
		time.Sleep(2 * time.Second)
		is.True(!w.readInventory().IsComplete) // its own write tells it nothing
		is.Equal(w.readInventory().Pending["engines"], []string{"v2"})
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
		is.Equal(w.countCalls(), 0) // the servers are registering again
		time.Sleep(2 * time.Second)
		is.Equal(w.readInventory().Era, uint64(3))
		confirmed := *older
		confirmed.Inventory = w.readInventory()
		for _, r := range []*origin.Registry{r, started} {
			r.SetView(&confirmed)
			time.Sleep(time.Second)
			is.Equal(r.Find(t.Context(), "", engines).Source, origin.SourceOnly)
		}
	})
}

// Guards against a stream that begins at a version before the inventory has announced it for long enough, against one that
// waits again and again, or for good, since nobody can record it, and against one that nothing at all would tell of.
func TestVersionsAreWithheldUntilTheyAreRecorded(t *testing.T) {
	const never = time.Hour
	for name, c := range map[string]struct {
		announcedAfter time.Duration
		usedAfter      time.Duration
		isUnregistered bool
		withheldFor    time.Duration
	}{
		"announced soon":               {300 * time.Millisecond, never, false, 4300 * time.Millisecond},
		"announced, not registered":    {300 * time.Millisecond, never, true, 4300 * time.Millisecond},
		"announced to another ingress": {300 * time.Millisecond, time.Second, false, time.Second},
		"not recorded":                 {never, never, false, 4 * time.Second},
		"not registered either":        {never, never, true, never},
	} {
		synctest.Test(t, func(t *testing.T) {
			t.Log(name)
			is := is.New(t)
			w := newWorld()
			w.isUnregistered = c.isUnregistered
			r := newRegistry(w)
			is.Equal(r.FindWithheld("engines", []string{"v2"}).Versions, []string{"v2"}) // unheard of
			is.True(r.FindWithheld("engines", []string{"v2"}).IsNew)
			v := newView("v1")
			v.Versions = newView("v1", "v2").Versions
			r.SetView(v)
			for after, pending := range map[time.Duration][]string{c.announcedAfter: {"v2"}, c.usedAfter: nil} {
				time.AfterFunc(after, func() {
					v := newView("v1", "v2")
					v.Inventory.Pending = map[string][]string{"engines": pending}
					r.SetView(v)
				})
			}
			began := time.Now()
			for time.Since(began) < 10*time.Second {
				withheld := r.FindWithheld("engines", v.Versions["engines"])
				if len(withheld.Versions) == 0 {
					break
				}
				is.Equal(withheld.Versions, []string{"v2"})
				is.True(!withheld.IsNew)
				select {
				case <-withheld.Changed:
				case <-time.After(withheld.Wait):
				}
			}
			is.Equal(time.Since(began).Truncate(time.Millisecond), min(c.withheldFor, 10*time.Second))
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

// Guards against a version at which streams begin already, and that gets none for another notice: it was used since nobody
// could record it, and is announced late, or the record was lost and is written by an ingress that does not know.
func TestVersionInUseIsNotWithheldAgain(t *testing.T) {
	for name, before := range map[string]func() *state.View{
		"not recorded": func() *state.View {
			v := newView("v1")
			v.Versions = newView("v1", "v2").Versions
			return v
		},
		"lost": func() *state.View { return newView("v1", "v2") },
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				r := newRegistry(newWorld())
				r.SetView(before())
				time.Sleep(5 * time.Second)
				is.Equal(len(r.FindWithheld("engines", []string{"v2"}).Versions), 0)
				v := newView("v1", "v2")
				v.Inventory.Pending = map[string][]string{"engines": {"v1", "v2"}}
				v.Inventory.Revision.Number = 2
				r.SetView(v)
				is.Equal(len(r.FindWithheld("engines", []string{"v2"}).Versions), 0)
			})
		})
	}
}
