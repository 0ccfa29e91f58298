package screen_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"verbenaroad.example/share/decide/poison"
	"verbenaroad.example/share/models/site"
)

// newPartIdentity returns the identity of a request whose prompt has the given parts. No two are alike.
func newPartIdentity(parts ...poison.ID) poison.Identity {
	return poison.Identity{Request: poison.ID(fmt.Sprint("r", time.Now().UnixNano())), Service: poison.NewPartID(service, ""), Parts: parts}
}

var (
	commonPart   = poison.NewPartID(service, "common")   //nolint:gochecknoglobals // a constant in all but syntax
	crashingPart = poison.NewPartID(service, "crashing") //nolint:gochecknoglobals // a constant in all but syntax
)

// crashWith records a number of crashes at an ingress, each of another server with another request.
func (w *world) crashWith(name string, times int, version string, parts ...poison.ID) {
	w.crashAfter(name, times, version, false, parts...)
}

// crashAfter is crashWith for requests that were answered for a while, if isAnswered is set.
func (w *world) crashAfter(name string, times int, version string, isAnswered bool, parts ...poison.ID) {
	for range times {
		sent := time.Now()
		time.Sleep(2 * time.Millisecond)
		w.screens[name].RecordCrash(newPartIdentity(parts...), site.Server{ID: sent.String(), Service: service, Version: version}, sent, isAnswered)
		time.Sleep(5 * time.Millisecond)
	}
}

func (w *world) isPartQuarantinedAt(name string, part poison.ID) bool {
	return w.isQuarantinedAt(name, newPartIdentity(part))
}

func (w *world) lose(name string) {
	w.lock.Lock()
	defer w.lock.Unlock()
	w.lost[name] = true
}

func (w *world) isPartInStore(part poison.ID) bool {
	w.lock.Lock()
	defer w.lock.Unlock()
	_, found := w.view.Quarantines[part]
	return found
}

// Guards against a part that crashes one server after the other because its crashes are seen by different
// ingresses, or because those that count them are lost before they are enough.
func TestCrashesOfAPartAreCountedByThreeIngresses(t *testing.T) {
	is := is.New(t)
	w := newWorldOf(t, "a", "b", "c", "d", "e")
	w.screens["e"].RecordAnswered(newPartIdentity(commonPart, "part-other"), site.Software{Service: "engines", Version: "v1"})
	w.crashWith("e", 2, "v1", commonPart, crashingPart)
	w.lose("a")
	w.crashWith("d", 2, "v1", commonPart, crashingPart)
	w.lose("b")
	time.Sleep(50 * time.Millisecond)
	is.True(!w.isPartQuarantinedAt("c", crashingPart))
	w.crashWith("e", 1, "v1", commonPart, crashingPart)
	w.eventually("the part is quarantined at all ingresses", func() bool {
		return w.isPartQuarantinedAt("c", crashingPart) && w.isPartQuarantinedAt("d", crashingPart) && w.isPartQuarantinedAt("e", crashingPart)
	})
	w.eventually("the quarantine is written", func() bool { return w.isPartInStore(crashingPart) })
	for _, name := range w.names {
		is.True(!w.isPartQuarantinedAt(name, commonPart))
	}
}

// Guards against the crashes of a part not being counted by an ingress that reaches no other one.
func TestCrashesOfAPartAreCountedLocallyIfNoIngressIsReachable(t *testing.T) {
	w := newWorldOf(t, "a", "b", "c", "d")
	w.partitioned = true
	w.screens["d"].RecordAnswered(newPartIdentity(commonPart), site.Software{Service: "engines", Version: "v1"})
	w.crashWith("d", 5, "v1", crashingPart)
	w.eventually("the part is quarantined", func() bool { return w.isPartQuarantinedAt("d", crashingPart) })
}

// Guards against a part being quarantined because requests with it were at servers that crashed, although they had
// been answered for a while.
func TestCrashesOfAnsweredRequestsAreNotCountedForTheirParts(t *testing.T) {
	is := is.New(t)
	w := newWorldOf(t, "a", "b", "c")
	w.screens["a"].RecordAnswered(newPartIdentity(commonPart), site.Software{Service: "engines", Version: "v1"})
	w.crashAfter("b", 10, "v1", true, crashingPart)
	time.Sleep(100 * time.Millisecond)
	is.True(!w.isPartQuarantinedAt("b", crashingPart))
}

// Guards against the refusal of sound requests because those that count crashes do not know that an ingress
// has had requests with the part answered. The quarantine must end, and must not begin again with the next crash.
func TestQuarantineOfAnAnsweredPartIsWithdrawn(t *testing.T) {
	is := is.New(t)
	w := newWorldOf(t, "a", "b", "c", "d")
	w.screens["d"].RecordAnswered(newPartIdentity(commonPart), site.Software{Service: "engines", Version: "v1"})
	w.screens["a"].RecordAnswered(newPartIdentity("part-other"), site.Software{Service: "engines", Version: "v1"})
	w.crashWith("b", 5, "v1", commonPart)
	w.eventually("the quarantine is written and withdrawn", func() bool {
		w.lock.Lock()
		defer w.lock.Unlock()
		return w.writes >= 2 && len(w.view.Quarantines) == 0
	})
	w.crashWith("b", 5, "v1", commonPart)
	time.Sleep(100 * time.Millisecond)
	for _, name := range w.names {
		is.True(!w.isPartQuarantinedAt(name, commonPart))
	}
}

// Guards against a part that crashes as many servers again after each new software version.
func TestNewSoftwareVersionEndsTheQuarantineOfAPart(t *testing.T) {
	is := is.New(t)
	w := newWorldOf(t, "a", "b", "c", "d")
	w.setVersion("v1")
	w.screens["d"].RecordAnswered(newPartIdentity(commonPart), site.Software{Service: "engines", Version: "v1"})
	w.crashWith("d", 5, "v1", commonPart, crashingPart)
	w.eventually("the part is quarantined", func() bool { return w.isPartInStore(crashingPart) && w.isPartQuarantinedAt("d", crashingPart) })
	w.setVersion("v2")
	is.True(!w.isPartQuarantinedAt("d", crashingPart))
	w.crashWith("d", 1, "v2", commonPart, crashingPart)
	w.eventually("a single crash of the new version quarantines it again", func() bool {
		return w.isPartQuarantinedAt("a", crashingPart) && w.isPartQuarantinedAt("d", crashingPart)
	})
	is.True(!w.isPartQuarantinedAt("d", commonPart))
}

// Guards against a part that is refused forever although its servers were mended, and one that is let
// through to many servers to find out.
func TestQuarantinedPartIsTriedAgain(t *testing.T) {
	is := is.New(t)
	w := newWorldOf(t, "a", "b", "c")
	w.setVersion("v1")
	w.screens["a"].RecordAnswered(newPartIdentity(commonPart), site.Software{Service: "engines", Version: "v1"})
	w.crashWith("a", 5, "v1", crashingPart)
	w.eventually("the part is quarantined", func() bool { return w.isPartInStore(crashingPart) })
	time.Sleep(trialDelay)
	trials := 0
	for _, name := range w.names {
		for range 2 {
			if w.screens[name].TakeTrial(t.Context(), crashingPart) {
				trials++
			}
		}
	}
	is.Equal(trials, 1)
	w.screens["a"].RecordAnswered(newPartIdentity(crashingPart), site.Software{Service: "engines", Version: "v1"})
	w.eventually("the quarantine ends", func() bool { return !w.isPartQuarantinedAt("b", crashingPart) })
}
