package builds_test

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"verbenaroad.example/share/decide/builds"
	"verbenaroad.example/share/models/site"
)

// newHistory returns a history for which records are a lease of 4 s old at most, and versions are announced for 5 s.
func newHistory() *builds.History {
	return builds.NewHistory(builds.Terms{Lease: 4 * time.Second, Notice: 5 * time.Second, Reregister: 3 * time.Second})
}

// announcing returns an inventory that announces these of its versions.
func announcing(i *site.Inventory, pending ...string) *site.Inventory {
	i.Pending = versions(pending...)
	return i
}

func at(seconds int) time.Time { return time.Unix(int64(seconds), 0) }

func versions(list ...string) map[string][]string { return map[string][]string{"engines": list} }

// inventory returns a complete inventory of era 1.
func inventory(revision uint64, list ...string) *site.Inventory {
	return &site.Inventory{Versions: versions(list...), IsComplete: true, Era: 1, Revision: site.Revision{Era: 1, Number: revision}}
}

// confirmEach confirms each second of a span.
func confirmEach(h *builds.History, from, to int) {
	for s := from; s <= to; s++ {
		h.Confirm(at(s), 1)
	}
}

// Guards against the only version that is left being taken for the one that began a stream, although the
// last server of another one has left a moment ago.
func TestVersionThatHasLeftCounts(t *testing.T) {
	is := is.New(t)
	h := newHistory()
	h.Observe(at(0), versions("v1"), inventory(1, "v1"))
	h.Confirm(at(1), 1)
	version, known := h.Sole(at(1), "engines")
	is.True(known)
	is.Equal(version, "v1")
	h.Observe(at(10), versions("v1", "v2"), inventory(1, "v1"))
	_, known = h.Sole(at(10), "engines")
	is.True(!known)
	h.Observe(at(200), versions("v2"), inventory(2, "v1", "v2"))
	confirmEach(h, 200, 261)
	_, known = h.Sole(at(230), "engines")
	is.True(!known) // v1 was there until now
	_, known = h.Sole(at(261), "engines")
	is.True(!known) // streams may begin at v1 until it is dropped
	h.Observe(at(261), versions("v2"), inventory(3, "v2"))
	h.Confirm(at(262), 1)
	version, known = h.Sole(at(262), "engines")
	is.True(known)
	is.Equal(version, "v2")
	_, known = h.Sole(at(261), "others")
	is.True(!known)
}

// Guards against what one ingress sees after its start being taken for all there was: without an inventory, with one
// that may lack versions, and with one from before a restore.
func TestOwnObservationIsNotEnoughAfterAStart(t *testing.T) {
	incomplete, earlier, unnamed := inventory(1, "v2"), inventory(1, "v2"), inventory(1)
	incomplete.IsComplete, earlier.Era = false, 0
	unnamed.Versions = map[string][]string{"others": {"v7"}}
	for name, c := range map[string]struct {
		inventory  *site.Inventory
		isFirstRun bool
		want       bool
	}{
		"no inventory":            {nil, false, false},
		"no inventory, first run": {nil, true, false}, // the first versions that one names get streams at once
		"complete":                {inventory(1, "v2"), false, true},
		"names another version":   {inventory(1, "v1", "v2"), false, false},
		"names another one only":  {inventory(1, "v1"), true, false},
		"incomplete":              {incomplete, false, false},
		"incomplete, first run":   {incomplete, true, false},
		"of an earlier era":       {earlier, false, false},
		"names another service":   {unnamed, false, false},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			h := newHistory()
			if c.isFirstRun {
				h.MarkFirstRun()
			}
			h.Observe(at(0), versions("v2"), c.inventory)
			_, known := h.Sole(at(0), "engines")
			is.True(!known) // the store has confirmed nothing
			h.Confirm(at(1), 1)
			_, known = h.Sole(at(1), "engines")
			is.Equal(known, c.want)
			confirmEach(h, 2, 310)
			if updated, isDue := h.Update(at(310), 1); isDue {
				h.Observe(at(310), versions("v2"), &updated)
			}
			h.Confirm(at(311), 1)
			_, known = h.Sole(at(311), "engines")
			is.True(known) // observed for long enough, and recorded
		})
	}
}

// Guards against a version that came and went while this ingress was cut off, and against an ingress that drops a
// version from the inventory although it was cut off for a part of the time.
func TestSilenceIsNoObservation(t *testing.T) {
	is := is.New(t)
	h := newHistory()
	h.Observe(at(0), versions("v1"), inventory(1, "v1"))
	confirmEach(h, 0, 100)
	h.Observe(at(150), versions("v1"), inventory(2, "v1", "v2"))
	confirmEach(h, 150, 160)
	_, known := h.Sole(at(160), "engines")
	is.True(!known)
	confirmEach(h, 180, 479)
	_, isDue := h.Update(at(479), 1)
	is.True(!isDue) // silence from 160 to 180
	_, known = h.Sole(at(900), "engines")
	is.True(!known) // silence since 479
	confirmEach(h, 480, 481)
	updated, isDue := h.Update(at(481), 1)
	is.True(isDue)
	is.Equal(updated.Versions, versions("v1"))
}

// Guards against an inventory that is not updated, or updated again and again, and against one that an ingress
// declares complete that does not know.
func TestUpdateOfTheInventory(t *testing.T) {
	for name, c := range map[string]struct {
		present   []string
		inventory *site.Inventory
		era       uint64
		want      *site.Inventory
	}{
		"up to date":      {[]string{"v1"}, inventory(1, "v1"), 1, nil},
		"one has left":    {[]string{"v1"}, inventory(1, "v1", "v2"), 1, nil},
		"a new version":   {[]string{"v2"}, inventory(4, "v1"), 1, announcing(inventory(4, "v1", "v2"), "v2")},
		"after a restore": {[]string{"v2"}, inventory(4, "v1"), 2, announcing(inventory(4, "v1", "v2"), "v2")},
		"none":            {[]string{"v1"}, nil, 1, announcing(&site.Inventory{Versions: versions("v1")}, "v1")},
		"one is used":     {[]string{"v2"}, announcing(inventory(4, "v1", "v2"), "v2"), 1, nil},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			h := newHistory()
			h.Observe(at(0), versions(c.present...), c.inventory)
			h.Confirm(at(1), c.era)
			updated, isDue := h.Update(at(1), c.era)
			is.Equal(isDue, c.want != nil)
			if c.want != nil {
				if c.want.Pending == nil {
					c.want.Pending = map[string][]string{}
				}
				is.Equal(updated, *c.want)
			}
		})
	}
	is := is.New(t)
	h := newHistory()
	h.Observe(at(0), versions("v1"), inventory(1, "v1"))
	h.Confirm(at(1), 1)
	h.Confirm(at(2), 2) // a store that was restored while this ingress observed it
	_, isDue := h.Update(at(2), 2)
	is.True(!isDue) // what was announced just before is known only once its servers have registered again
	h.Confirm(at(4), 2)
	h.Confirm(at(5), 2)
	updated, isDue := h.Update(at(5), 2)
	is.True(isDue)
	is.Equal(updated.Era, uint64(2))
	is.True(updated.IsComplete)
}

// Guards against a version that is used before it was announced for the whole notice, that is not used afterwards, also
// by an ingress that nobody tells, and against a notice for the first version of a service or for one that was in use
// before the record was lost.
func TestVersionsAreAnnouncedBeforeTheyAreUsed(t *testing.T) {
	is := is.New(t)
	v2 := site.Software{Service: "engines", Version: "v2"}
	h := newHistory()
	h.MarkFirstRun()
	h.Observe(at(0), versions("v1"), nil)
	h.Confirm(at(0), 1)
	first, isDue := h.Update(at(0), 1)
	is.True(isDue)
	is.Equal(first.Pending, map[string][]string{})
	first.Revision = site.Revision{Era: 1, Number: 1}
	h.Observe(at(1), map[string][]string{"engines": {"v1", "v2"}, "others": {"v7"}}, &first)
	h.Confirm(at(1), 1)
	announced, _ := h.Update(at(1), 1)
	is.Equal(announced.Pending, versions("v2"))
	announced.Revision.Number = 2
	h.Observe(at(2), versions("v1", "v2"), &announced)
	is.Equal(h.NoticeLeft(at(3), v2), 4*time.Second)
	confirmEach(h, 2, 6)
	_, isDue = h.Update(at(6), 1)
	is.True(!isDue)
	is.Equal(h.NoticeLeft(at(7), v2), time.Duration(0))
	used, isDue := h.Update(at(7), 1)
	is.True(isDue)
	is.Equal(used.Pending, map[string][]string{})
	used.Revision.Number = 3
	started := newHistory()
	started.Observe(at(7), versions("v1", "v2"), &used)
	is.Equal(started.NoticeLeft(at(7), v2), time.Duration(0))
	h.Observe(at(8), versions("v1", "v2"), &used)
	h.Observe(at(9), versions("v1", "v2"), nil)
	h.Confirm(at(9), 2)
	lost, _ := h.Update(at(9), 2)
	is.Equal(lost.Pending, map[string][]string{})
}

// Guards against a version that gets streams without a notice since the one before it has left the inventory, although an
// ingress that is out of step takes that one for the only one.
func TestLastVersionStaysInTheInventory(t *testing.T) {
	is := is.New(t)
	h := newHistory()
	h.Observe(at(0), versions("v1"), inventory(1, "v1"))
	h.Observe(at(1), nil, inventory(1, "v1"))
	confirmEach(h, 1, 100)
	_, isDue := h.Update(at(100), 1)
	is.True(!isDue)
	h.Observe(at(101), versions("v2"), inventory(1, "v1"))
	updated, _ := h.Update(at(101), 1)
	is.Equal(updated.Pending, versions("v2"))
}

// Guards against two ingresses that drop a version and add it again by turns, and against one that forgets what it
// has just seen since another one has dropped it, or since a restored store lacks it.
func TestVersionThatAnotherIngressDropped(t *testing.T) {
	for name, c := range map[string]struct {
		seenUntil int
		era       uint64
		want      []string
	}{
		"seen long ago":          {100, 1, []string{"v1"}},
		"seen just now":          {275, 1, []string{"v1", "v2"}},
		"lost, seen long ago":    {100, 2, []string{"v1", "v2"}},
		"lost, seen at that end": {275, 2, []string{"v1", "v2"}},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			h := newHistory()
			h.Observe(at(0), versions("v1", "v2"), inventory(1, "v1", "v2"))
			h.Observe(at(c.seenUntil), versions("v1"), inventory(1, "v1", "v2"))
			confirmEach(h, 0, 300)
			dropped := inventory(2, "v1")
			dropped.Revision.Era = c.era
			h.Observe(at(300), versions("v1"), dropped)
			updated, _ := h.Update(at(300), c.era)
			is.Equal(updated.Versions, versions(c.want...))
		})
	}
}

// Guards against an ingress that forgets a version which it knows from the inventory only, since somebody who knows
// less has written that of a restored store.
func TestVersionThatOnlyTheLostInventoryNamed(t *testing.T) {
	is := is.New(t)
	h := newHistory()
	h.Observe(at(0), versions("v1"), inventory(1, "v1"))
	confirmEach(h, 0, 10)
	h.Observe(at(11), versions("v1"), inventory(2, "v1", "v2"))
	confirmEach(h, 11, 20)
	written := inventory(2, "v1")
	written.Revision.Era = 2
	h.Observe(at(21), versions("v1"), written)
	h.Confirm(at(21), 2)
	updated, isDue := h.Update(at(21), 2)
	is.True(isDue)
	is.Equal(updated.Versions, versions("v1", "v2"))
}

// fleet is a number of ingresses before one store, in a model of the protocol: a stream begins at a version only
// once the inventory has announced it for long enough.
type fleet struct {
	t         *rapid.T
	now       int
	present   []string
	inventory *site.Inventory
	histories []*builds.History
	// seen holds the versions that each ingress knows as registered, seenAt since when.
	seen   [][]string
	seenAt []int
	// writes counts the writes of the inventory, each of which gets a revision of its own.
	writes int
	// begunAt holds when the last stream began at each version.
	begunAt map[string]int
}

func newFleet(t *rapid.T) *fleet {
	f := &fleet{t: t, begunAt: map[string]int{}}
	f.loseAll()
	for _, h := range f.histories {
		h.MarkFirstRun()
	}
	return f
}

func (f *fleet) loseAll() {
	f.histories, f.seen, f.seenAt = []*builds.History{newHistory(), newHistory(), newHistory()}, make([][]string, 3), make([]int, 3)
}

// observe lets an ingress observe the store, and write the inventory if that is due.
func (f *fleet) observe(i int) {
	h := f.histories[i]
	f.seen[i], f.seenAt[i] = f.present, f.now
	h.Observe(at(f.now), versions(f.present...), f.inventory)
	h.Confirm(at(f.now), 1)
	updated, isDue := h.Update(at(f.now), 1)
	if !isDue || rapid.Bool().Draw(f.t, "write fails") {
		return
	}
	f.writes++
	updated.Revision = site.Revision{Era: 1, Number: uint64(f.writes)}
	f.inventory = &updated
	h.Observe(at(f.now), versions(f.present...), f.inventory)
	h.Confirm(at(f.now), 1)
}

// begin lets an ingress begin streams at all versions that it knows, also if they have left the store since.
func (f *fleet) begin(i int) {
	h := f.histories[i]
	for _, v := range f.seen[i] {
		s := site.Software{Service: "engines", Version: v}
		if h.IsNamed(s) && h.NoticeLeft(at(f.now), s) == 0 && f.now-f.seenAt[i] < int(builds.MinRetention/time.Second) {
			f.begunAt[v] = f.now
		}
	}
}

// ask checks what an ingress knows, without letting it observe anything first.
func (f *fleet) ask(i int) {
	only, known := f.histories[i].Sole(at(f.now), "engines")
	for v, begun := range f.begunAt {
		if known && v != only && f.now-begun <= int(builds.MinRetention/time.Second) {
			f.t.Fatalf("%s is reported as the only version at %d s, a stream began at %s at %d s", only, f.now, v, begun)
		}
	}
}

// play plays a series of updates, losses of some or all ingresses, and late ingresses.
func (f *fleet) play(pauses []int, updates, losses int) {
	for range rapid.IntRange(1, 60).Draw(f.t, "steps") {
		f.now += rapid.SampledFrom(pauses).Draw(f.t, "pause")
		if rapid.IntRange(0, updates).Draw(f.t, "update") == 0 {
			f.present = rapid.SliceOfDistinct(rapid.SampledFrom([]string{"v1", "v2", "v3"}), rapid.ID).Draw(f.t, "present")
		}
		if rapid.IntRange(0, losses).Draw(f.t, "lose all") == 0 {
			f.loseAll()
		}
		for i := range f.histories {
			switch rapid.SampledFrom([]string{"observe", "observe", "observe", "begin", "begin", "late", "late", "lose"}).Draw(f.t, "event") {
			case "observe":
				f.observe(i)
			case "begin":
				f.begin(i)
			case "lose":
				f.histories[i], f.seen[i] = newHistory(), nil
			}
		}
		for i := range f.histories {
			f.ask(i)
		}
	}
}

// Guards against a version being reported as the only one while a stream that began at another one may be taken up,
// in any series of updates, losses of some or all ingresses, cuts and failed writes.
func TestOnlyVersionIsTheOnlyOne(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) { newFleet(t).play([]int{1, 1, 2, 2, 20, 40}, 0, 10) })
}

// Guards against a version being reported as the only one by an ingress that has not heard of another one yet, at which
// a stream has begun: it was cut off, or stood still, while that one was added.
func TestLateIngressKnowsTheOnlyVersion(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) { newFleet(t).play([]int{0, 1, 1, 2}, 3, 30) })
}

// Guards against a version that is forgotten while streams that began there may still be taken up.
func TestVersionCountsAsLongAsStreamsMayLast(t *testing.T) {
	is := is.New(t)
	h := newHistory()
	h.SetRetention(3 * time.Minute)
	h.Observe(at(0), versions("v1", "v2"), inventory(1, "v1", "v2"))
	h.Observe(at(10), versions("v2"), inventory(1, "v1", "v2"))
	confirmEach(h, 10, 431)
	_, isDue := h.Update(at(429), 1)
	is.True(!isDue)
	updated, isDue := h.Update(at(431), 1)
	is.True(isDue)
	is.Equal(updated.Versions, versions("v2"))
}

// Guards against a service with several versions that is not known as such, whoever knows of them, and against one that
// is known so for good.
func TestServicesWithSeveralVersions(t *testing.T) {
	is := is.New(t)
	h := newHistory()
	h.Observe(at(0), map[string][]string{"engines": {"v1"}, "others": {"v7"}}, inventory(1, "v1"))
	h.Confirm(at(0), 1)
	is.Equal(len(h.ListMixed(at(0))), 0)
	h.Observe(at(1), map[string][]string{"engines": {"v2"}, "others": {"v7"}}, inventory(1, "v1"))
	is.Equal(h.ListMixed(at(1)), []string{"engines"})
	h.Observe(at(2), map[string][]string{"engines": {"v2"}}, &site.Inventory{
		Versions: map[string][]string{"engines": {"v1", "v2"}, "others": {"v7", "v8"}}, Revision: site.Revision{Era: 1, Number: 2},
	})
	is.Equal(h.ListMixed(at(2)), []string{"engines", "others"})
	h.Observe(at(3), map[string][]string{"engines": {"v2"}}, inventory(3, "v2"))
	confirmEach(h, 3, 70)
	is.Equal(len(h.ListMixed(at(70))), 0)
}
