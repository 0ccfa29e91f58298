package builds_test

import (
	"testing"

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

// Guards against a stream that begins, at an ingress that has been cut off for longer than versions count, at one that the
// others have dropped meanwhile.
func TestDroppedVersionIsNotUsedByAnIngressThatWasCutOff(t *testing.T) {
	cutOff, other := newHistory(), newHistory()
	for _, h := range []*builds.History{cutOff, other} {
		h.Observe(at(0), versions("v1", "v2"), inventory(1, "v1", "v2"))
		h.Confirm(at(0), 1)
	}
	other.Observe(at(1), versions("v2"), inventory(1, "v1", "v2"))
	confirmEach(other, 1, 62)
	dropped, isDue := other.Update(at(62), 1)
	if !isDue {
		t.Fatal("v1 is not dropped")
	}
	dropped.Revision = site.Revision{Era: 1, Number: 2}
	other.Observe(at(62), versions("v2"), &dropped)
	other.Confirm(at(63), 1)
	only, known := other.Sole(at(63), "engines")
	if known && only != "v1" && mayBegin(cutOff, 63, "v1") {
		t.Errorf("%s is reported as the only version, a stream may begin at v1", only)
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

// Guards against a version that was dropped, and that gets streams without a notice when an ingress which stood still
// meanwhile adds it again: others may have read that it was dropped, and rely on that for a lease.
func TestVersionThatIsAddedAgainIsAnnounced(t *testing.T) {
	stopped, late, other := newHistory(), newHistory(), newHistory()
	for _, h := range []*builds.History{stopped, late, other} {
		h.Observe(at(0), versions("v1", "v2"), inventory(1, "v1", "v2"))
		h.Confirm(at(0), 1)
	}
	for _, h := range []*builds.History{late, other} {
		h.Observe(at(1), versions("v2"), inventory(1, "v1", "v2"))
		confirmEach(h, 1, 62)
		h.Observe(at(62), versions("v2"), inventory(2, "v2"))
		h.Confirm(at(63), 1)
	}
	stopped.Observe(at(63), versions("v2"), inventory(2, "v2"))
	stopped.Confirm(at(63), 1)
	added, isDue := stopped.Update(at(63), 1)
	if !isDue {
		return // nothing is added
	}
	added.Revision = site.Revision{Era: 1, Number: 3}
	other.Observe(at(64), versions("v1", "v2"), &added) // a server of v1 is back; late is cut off
	only, known := late.Sole(at(66), "engines")
	if known && only != "v1" && mayBegin(other, 65, "v1") {
		t.Errorf("%s is reported as the only version at 66 s, a stream may begin at v1 at 65 s", only)
	}
}
