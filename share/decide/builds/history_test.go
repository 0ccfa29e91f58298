package builds_test

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"verbenaroad.example/share/decide/builds"
)

func at(seconds int) time.Time { return time.Unix(int64(seconds), 0) }

func versions(list ...string) map[string][]string { return map[string][]string{"engines": list} }

// Guards against the only version that is left being taken for the one that began a stream, although the
// last server of another one has left a moment ago.
func TestVersionThatHasLeftCounts(t *testing.T) {
	is := is.New(t)
	h := builds.NewHistory()
	h.Observe(at(0), versions("v1"), nil)
	version, known := h.Sole(at(1), "engines")
	is.True(known)
	is.Equal(version, "v1")
	h.Observe(at(10), versions("v1", "v2"), nil)
	_, known = h.Sole(at(10), "engines")
	is.True(!known)
	h.Observe(at(200), versions("v2"), nil)
	_, known = h.Sole(at(230), "engines")
	is.True(!known) // v1 was there until now
	version, known = h.Sole(at(261), "engines")
	is.True(known)
	is.Equal(version, "v2")
	_, known = h.Sole(at(261), "others")
	is.True(!known)
}

// Guards against an ingress that has just started and takes the version that it sees for the only one,
// although the service is marked as having had several.
func TestMarkTellsWhatWasBeforeTheStart(t *testing.T) {
	is := is.New(t)
	h := builds.NewHistory()
	marked := map[string]bool{"engines": true}
	h.Observe(at(0), versions("v2"), marked)
	_, known := h.Sole(at(30), "engines")
	is.True(!known)
	is.Equal(len(h.ListOutdated(at(30))), 0)
	_, known = h.Sole(at(61), "engines")
	is.True(known)
	is.Equal(h.ListOutdated(at(61)), []string{"engines"})
	h.Observe(at(62), versions("v2", "v3"), nil)
	is.Equal(h.ListUnmarked(), []string{"engines"})
	h.Observe(at(63), versions("v2", "v3"), marked)
	is.Equal(len(h.ListUnmarked()), 0)
}

// Guards against a version being reported as the only one while another was registered within the
// retention, in any series of updates.
func TestOnlyVersionIsTheOnlyOne(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := builds.NewHistory()
		lastSeen := map[string]time.Time{}
		now := at(0)
		present := []string{}
		for range rapid.IntRange(1, 30).Draw(t, "views") {
			for _, v := range present {
				lastSeen[v] = now
			}
			present = rapid.SliceOfDistinct(rapid.SampledFrom([]string{"v1", "v2", "v3"}), rapid.ID).Draw(t, "present")
			h.Observe(now, versions(present...), nil)
			for _, v := range present {
				lastSeen[v] = now
			}
			asked := now.Add(time.Duration(rapid.IntRange(0, 90).Draw(t, "pause")) * time.Second)
			only, known := h.Sole(asked, "engines")
			for v, seen := range lastSeen {
				isPresent := false
				for _, p := range present {
					isPresent = isPresent || p == v
				}
				if known && v != only && (isPresent || asked.Sub(seen) <= builds.MinRetention) {
					t.Fatalf("%s is reported as the only version, %s was registered %v ago", only, v, asked.Sub(seen))
				}
			}
			now = asked
		}
	})
}

// Guards against a version that is forgotten while streams that began there may still be taken up.
func TestVersionCountsAsLongAsStreamsMayLast(t *testing.T) {
	is := is.New(t)
	h := builds.NewHistory()
	h.SetRetention(3 * time.Minute)
	h.Observe(at(0), versions("v1", "v2"), nil)
	h.Observe(at(10), versions("v2"), nil)
	_, known := h.Sole(at(189), "engines")
	is.True(!known)
	_, known = h.Sole(at(191), "engines")
	is.True(known)
}
