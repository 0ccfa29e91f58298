package builds_test

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"verbenaroad.example/share/decide/builds"
	"verbenaroad.example/share/models/site"
)

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
	h := builds.NewHistory()
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
	version, known = h.Sole(at(261), "engines")
	is.True(known)
	is.Equal(version, "v2")
	_, known = h.Sole(at(261), "others")
	is.True(!known)
}

// Guards against what one ingress sees after its start being taken for all there was: without an inventory, with one
// that may lack versions, and with one from before a restore.
func TestOwnObservationIsNotEnoughAfterAStart(t *testing.T) {
	incomplete, earlier := inventory(1, "v2"), inventory(1, "v2")
	incomplete.IsComplete, earlier.Era = false, 0
	for name, c := range map[string]struct {
		inventory  *site.Inventory
		isFirstRun bool
		want       bool
	}{
		"no inventory":            {nil, false, false},
		"no inventory, first run": {nil, true, true},
		"complete":                {inventory(1, "v2"), false, true},
		"names another version":   {inventory(1, "v1", "v2"), false, false},
		"names another one only":  {inventory(1, "v1"), true, false},
		"incomplete":              {incomplete, false, false},
		"incomplete, first run":   {incomplete, true, false},
		"of an earlier era":       {earlier, false, false},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			h := builds.NewHistory()
			if c.isFirstRun {
				h.MarkFirstRun()
			}
			h.Observe(at(0), versions("v2"), c.inventory)
			_, known := h.Sole(at(0), "engines")
			is.True(!known) // the store has confirmed nothing
			h.Confirm(at(1), 1)
			_, known = h.Sole(at(1), "engines")
			is.Equal(known, c.want)
			confirmEach(h, 2, 70)
			_, known = h.Sole(at(70), "engines")
			is.True(known) // observed for long enough
		})
	}
}

// Guards against a version that came and went while this ingress was cut off, and against an ingress that drops a
// version from the inventory although it was cut off for a part of the time.
func TestSilenceIsNoObservation(t *testing.T) {
	is := is.New(t)
	h := builds.NewHistory()
	h.Observe(at(0), versions("v1"), inventory(1, "v1"))
	confirmEach(h, 0, 100)
	h.Observe(at(150), versions("v1"), inventory(2, "v1", "v2"))
	confirmEach(h, 150, 160)
	_, known := h.Sole(at(160), "engines")
	is.True(!known)
	confirmEach(h, 180, 239)
	_, isDue := h.Update(at(239), 1)
	is.True(!isDue) // silence from 160 to 180
	_, known = h.Sole(at(600), "engines")
	is.True(!known) // silence since 239
	confirmEach(h, 240, 241)
	updated, isDue := h.Update(at(241), 1)
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
		"a new version":   {[]string{"v2"}, inventory(4, "v1"), 1, inventory(4, "v1", "v2")},
		"after a restore": {[]string{"v2"}, inventory(4, "v1"), 2, inventory(4, "v1", "v2")},
		"none": {
			[]string{"v1"}, nil, 1, &site.Inventory{Versions: versions("v1")},
		},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			h := builds.NewHistory()
			h.Observe(at(0), versions(c.present...), c.inventory)
			h.Confirm(at(1), c.era)
			updated, isDue := h.Update(at(1), c.era)
			is.Equal(isDue, c.want != nil)
			if c.want != nil {
				is.Equal(updated, *c.want)
			}
		})
	}
	is := is.New(t)
	h := builds.NewHistory()
	h.Observe(at(0), versions("v1"), inventory(1, "v1"))
	h.Confirm(at(1), 1)
	h.Confirm(at(2), 2) // a store that was restored while this ingress observed it
	updated, isDue := h.Update(at(2), 2)
	is.True(isDue)
	is.Equal(updated.Era, uint64(2))
	is.True(updated.IsComplete)
}

// Guards against two ingresses that drop a version and add it again by turns, and against one that forgets what it
// has just seen since another one has dropped it, or since a restored store lacks it.
func TestVersionThatAnotherIngressDropped(t *testing.T) {
	for name, c := range map[string]struct {
		seenUntil int
		era       uint64
		want      []string
	}{
		"seen long ago":          {20, 1, []string{"v1"}},
		"seen just now":          {55, 1, []string{"v1", "v2"}},
		"lost, seen long ago":    {20, 2, []string{"v1", "v2"}},
		"lost, seen at that end": {55, 2, []string{"v1", "v2"}},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			h := builds.NewHistory()
			h.Observe(at(0), versions("v1", "v2"), inventory(1, "v1", "v2"))
			h.Observe(at(c.seenUntil), versions("v1"), inventory(1, "v1", "v2"))
			confirmEach(h, 0, 60)
			dropped := inventory(2, "v1")
			dropped.Revision.Era = c.era
			h.Observe(at(60), versions("v1"), dropped)
			updated, _ := h.Update(at(60), c.era)
			is.Equal(updated.Versions, versions(c.want...))
		})
	}
}

// Guards against an ingress that forgets a version which it knows from the inventory only, since somebody who knows
// less has written that of a restored store.
func TestVersionThatOnlyTheLostInventoryNamed(t *testing.T) {
	is := is.New(t)
	h := builds.NewHistory()
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
// once the inventory names it.
type fleet struct {
	t         *rapid.T
	now       int
	present   []string
	inventory *site.Inventory
	histories []*builds.History
	// begunAt holds when the last stream began at each version.
	begunAt map[string]int
}

// observe lets some of the ingresses observe the store and write the inventory, the others are cut off.
func (f *fleet) observe(i int) {
	h := f.histories[i]
	h.Observe(at(f.now), versions(f.present...), f.inventory)
	h.Confirm(at(f.now), 1)
	updated, isDue := h.Update(at(f.now), 1)
	if !isDue || rapid.Bool().Draw(f.t, "write fails") {
		return
	}
	updated.Revision = site.Revision{Era: 1, Number: uint64(1 + f.now)}
	f.inventory = &updated
	h.Observe(at(f.now), versions(f.present...), f.inventory)
	h.Confirm(at(f.now), 1)
}

func (f *fleet) begin(i int) {
	for _, v := range f.present {
		if f.histories[i].IsRecorded(site.Software{Service: "engines", Version: v}) {
			f.begunAt[v] = f.now
		}
	}
}

// Guards against a version being reported as the only one while a stream that began at another one may be taken up,
// in any series of updates, losses of some or all ingresses, cuts and failed writes.
func TestOnlyVersionIsTheOnlyOne(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := &fleet{t: t, begunAt: map[string]int{}}
		isFirst := true
		start := func() *builds.History {
			h := builds.NewHistory()
			if isFirst {
				h.MarkFirstRun()
			}
			return h
		}
		f.histories = []*builds.History{start(), start()}
		isFirst = false
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			f.now += rapid.SampledFrom([]int{1, 1, 2, 2, 20, 40}).Draw(t, "pause")
			f.present = rapid.SliceOfDistinct(rapid.SampledFrom([]string{"v1", "v2", "v3"}), rapid.ID).Draw(t, "present")
			for i := range f.histories {
				switch rapid.SampledFrom([]string{"observe", "observe", "observe", "begin", "begin", "lose", "cut"}).Draw(t, "event") {
				case "observe":
					f.observe(i)
				case "begin":
					f.observe(i)
					f.begin(i)
				case "lose":
					f.histories[i] = start()
				}
			}
			if rapid.IntRange(0, 9).Draw(t, "lose all") == 0 {
				f.histories = []*builds.History{start(), start()}
			}
			i := rapid.IntRange(0, 1).Draw(t, "asked")
			f.observe(i)
			only, known := f.histories[i].Sole(at(f.now), "engines")
			for v, begun := range f.begunAt {
				if known && v != only && f.now-begun <= int(builds.MinRetention/time.Second) {
					t.Fatalf("%s is reported as the only version, a stream began at %s %d s ago", only, v, f.now-begun)
				}
			}
		}
	})
}

// Guards against a version being reported as the only one by an ingress that has not heard of another one yet, at which
// a stream has begun: it was cut off, or stood still, while that one was added.
func TestLateIngressKnowsTheOnlyVersion(t *testing.T) {
	const newsAge = 3
	rapid.Check(t, func(t *rapid.T) {
		first := builds.NewHistory()
		first.MarkFirstRun()
		f := &fleet{t: t, begunAt: map[string]int{}, present: []string{"v1"}, histories: []*builds.History{first, builds.NewHistory()}}
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			f.now += rapid.SampledFrom([]int{0, 1, 1, 2}).Draw(t, "pause")
			if rapid.IntRange(0, 3).Draw(t, "update") == 0 {
				f.present = rapid.SliceOfDistinct(rapid.SampledFrom([]string{"v1", "v2", "v3"}), rapid.ID).Draw(t, "present")
			}
			for i, h := range f.histories {
				switch rapid.SampledFrom([]string{"observe", "begin", "late", "late"}).Draw(t, "event") {
				case "observe":
					f.observe(i)
				case "begin":
					f.begin(i)
				}
				only, known := h.Sole(at(f.now), "engines")
				for v, begun := range f.begunAt {
					if known && at(f.now).Sub(h.ConfirmedAt()) <= newsAge*time.Second && v != only {
						t.Fatalf("%s is reported as the only version at %d s, a stream began at %s at %d s", only, f.now, v, begun)
					}
				}
			}
		}
	})
}

// Guards against a version that is forgotten while streams that began there may still be taken up.
func TestVersionCountsAsLongAsStreamsMayLast(t *testing.T) {
	is := is.New(t)
	h := builds.NewHistory()
	h.SetRetention(3 * time.Minute)
	h.Observe(at(0), versions("v1", "v2"), inventory(1, "v1", "v2"))
	h.Observe(at(10), versions("v2"), inventory(1, "v1", "v2"))
	confirmEach(h, 10, 191)
	_, known := h.Sole(at(189), "engines")
	is.True(!known)
	_, known = h.Sole(at(191), "engines")
	is.True(known)
}

// Guards against a service with several versions that is not known as such, whoever knows of them, and against one that
// is known so for good.
func TestServicesWithSeveralVersions(t *testing.T) {
	is := is.New(t)
	h := builds.NewHistory()
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
