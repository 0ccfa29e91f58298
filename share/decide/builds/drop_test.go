package builds_test

import (
	"testing"

	"pgregory.net/rapid"

	"verbenaroad.example/share/decide/builds"
	"verbenaroad.example/share/models/site"
)

// mayBegin reports whether an ingress lets streams begin at a version of the engines.
func mayBegin(h *builds.History, second int, version string) bool {
	s := site.Software{Service: "engines", Version: version}
	return h.IsNamed(s) && h.NoticeLeft(at(second), s) == 0
}

// Guards against a version that is taken for the only one while the inventory still names another one, at which streams
// begin at once if a server of it comes back.
func TestVersionCountsUntilItIsDropped(t *testing.T) {
	late, other := newHistory(), newHistory()
	for _, h := range []*builds.History{late, other} {
		h.Observe(at(0), versions("v1", "v2"), inventory(1, "v1", "v2"))
		h.Observe(at(1), versions("v2"), inventory(1, "v1", "v2"))
		confirmEach(h, 1, 62)
	}
	other.Observe(at(62), versions("v1", "v2"), inventory(1, "v1", "v2")) // late is cut off from now on
	only, known := late.Sole(at(64), "engines")
	if known && only != "v1" && mayBegin(other, 63, "v1") {
		t.Errorf("%s is reported as the only version at 64 s, a stream may begin at v1 at 63 s", only)
	}
}

// Guards against a stream that begins, at an ingress that has been cut off for up to five minutes, at a version that the
// others have dropped meanwhile.
func TestDroppedVersionIsNotUsedByAnIngressThatWasCutOff(t *testing.T) {
	const (
		cutOffTime = 300
		dropped    = 304
	)
	cutOff, other := newHistory(), newHistory()
	for _, h := range []*builds.History{cutOff, other} {
		h.Observe(at(0), versions("v1", "v2"), inventory(1, "v1", "v2"))
		h.Confirm(at(0), 1)
	}
	other.Observe(at(1), versions("v2"), inventory(1, "v1", "v2"))
	for second := range dropped {
		other.Confirm(at(second), 1)
		if updated, isDue := other.Update(at(second), 1); isDue {
			updated.Revision = site.Revision{Era: 1, Number: 2}
			other.Observe(at(second), versions("v2"), &updated)
			other.Confirm(at(second), 1)
		}
		only, known := other.Sole(at(second), "engines")
		if second <= cutOffTime && known && only != "v1" && mayBegin(cutOff, second, "v1") {
			t.Fatalf("%s is reported as the only version at %d s, a stream may begin at v1", only, second)
		}
	}
	if only, known := other.Sole(at(dropped), "engines"); !known || only != "v2" {
		t.Error("v1 is not dropped")
	}
}

// Guards against an inventory of a restored store that is declared complete by an ingress which had not heard of the store
// for some seconds before: what was announced meanwhile, and is lost, is not known to it.
func TestSilenceBeforeARestoreIsNotComplete(t *testing.T) {
	h := newHistory()
	h.Observe(at(0), versions("v1"), inventory(1, "v1"))
	confirmEach(h, 0, 10)
	// From 10 s to 20 s, others announce and use v2. The store is restored from a copy of second 9.
	restored := inventory(1, "v1")
	restored.Revision.Era = 2
	h.Observe(at(20), versions("v1"), restored)
	h.Confirm(at(20), 2)
	if updated, _ := h.Update(at(20), 2); updated.IsComplete && updated.Era == 2 {
		t.Error("declared complete in the restored store")
	}
}

// Guards against a version that was dropped, and that gets streams without a notice when its servers come back: an ingress
// that reads of both at once adds it again as one in use, while others have read that it was dropped.
func TestVersionThatIsAddedAgainIsAnnounced(t *testing.T) {
	late, other := newHistory(), newHistory()
	for _, h := range []*builds.History{late, other} {
		h.Observe(at(0), versions("v1", "v2"), inventory(1, "v1", "v2"))
		h.Observe(at(1), versions("v1"), inventory(1, "v1", "v2"))
		confirmEach(h, 1, 61)
	}
	other.Observe(at(62), versions("v1"), inventory(2, "v1"))
	confirmEach(other, 62, 64)
	late.Observe(at(65), versions("v1", "v2"), inventory(2, "v1"))
	late.Confirm(at(65), 1)
	added, isDue := late.Update(at(65), 1)
	if !isDue {
		t.Fatal("v2 is not added")
	}
	added.Revision = site.Revision{Era: 1, Number: 3}
	late.Observe(at(65), versions("v1", "v2"), &added)
	only, known := other.Sole(at(66), "engines") // it has not heard of the server that is back
	if known && only != "v2" && mayBegin(late, 66, "v2") {
		t.Errorf("%s is reported as the only version, a stream may begin at v2", only)
	}
}

// Guards against the same as TestLateIngressKnowsTheOnlyVersion where versions are dropped and come back. No version stays
// for less time than an ingress may miss without being late.
func TestLateIngressKnowsTheOnlyVersionAfterADrop(t *testing.T) {
	const (
		checks   = 500
		duration = 700
		lease    = 4
		// late is how long at most an ingress that begins streams is late, and streamTime how long streams last: both
		// together less than versions count.
		late, streamTime = 10, 45
	)
	rapid.Check(t, func(t *rapid.T) {
		for range checks / 100 {
			f, changedAt := newFleet(t), 0
			f.present = []string{"v1"}
			for range duration {
				f.now++
				if f.now-changedAt > lease && rapid.IntRange(0, 15).Draw(t, "update") == 0 {
					f.present = rapid.SampledFrom([][]string{{"v1"}, {"v2"}, {"v1", "v2"}}).Draw(t, "present")
					changedAt = f.now
				}
				for i := range f.histories {
					switch event := rapid.SampledFrom([]string{"observe", "observe", "begin", "late"}).Draw(t, "event"); {
					case event == "observe":
						f.observe(i)
					case event == "begin" && f.now-f.seenAt[i] <= late:
						f.begin(i)
					}
				}
				for v, begun := range f.begunAt {
					if f.now-begun > streamTime {
						delete(f.begunAt, v)
					}
				}
				for i := range f.histories {
					f.ask(i)
				}
			}
		}
	})
}
