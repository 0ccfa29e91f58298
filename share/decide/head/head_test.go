package head_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"verbenaroad.example/share/decide/head"
	"verbenaroad.example/share/models/config"
)

// world is the key-value service's head with the writers that race for it.
type world struct {
	index   uint64
	head    config.Head
	loaded  *config.Loaded
	history map[uint64]*config.Loaded
	// chain holds the change ids of all heads, in order.
	chain []string
	// late holds swaps that were sent, unanswered, and may still take effect.
	late    []head.SwapHead
	writers []*session
	pending map[string]*config.Loaded
}

// session is a writer with the action that it waits for.
type session struct {
	submission head.Submission
	writer     *head.Writer
	next       head.Action
	answer     *head.Answer
}

func start() time.Time {
	return time.Date(2026, 12, 2, 12, 0, 0, 0, time.UTC)
}

func newOperator() config.Operator {
	return config.Operator{Name: "ana", TokenSHA256: config.DigestToken("a"), Role: config.RoleChange}
}

func newPool(name string, price float64) config.Pool {
	return config.Pool{Name: name, Committed: 1, Price: price, BeyondPrice: 2, BeyondPriority: config.PriorityUrgent}
}

func newSubmission(change string, base uint64, price float64) head.Submission {
	patch := config.Patch{Set: config.Set{Pools: []config.Pool{newPool("gpu", price)}, Operators: []config.Operator{newOperator()}}}
	return head.Submission{Change: change, Operator: "ana", Patch: patch, Base: base}
}

func newWorld() *world {
	return &world{history: map[uint64]*config.Loaded{}, pending: map[string]*config.Loaded{}}
}

func (w *world) submit(s head.Submission) *session {
	n := &session{submission: s, writer: head.NewWriter(s)}
	w.writers = append(w.writers, n)
	w.feed(n, head.Started{})
	return n
}

// feed hands an event to a writer and keeps what it wants next.
func (w *world) feed(s *session, event head.Event) {
	s.next = nil
	for _, action := range s.writer.Handle(event, start()) {
		switch a := action.(type) {
		case head.Answer:
			s.answer = &a
		default:
			s.next = a
		}
	}
}

// swap takes effect when the index still stands.
func (w *world) swap(swap head.SwapHead) bool {
	if swap.Index != w.index {
		return false
	}
	next, err := config.DecodeHead(swap.Record)
	if err != nil {
		panic(err)
	}
	loaded := w.pending[string(swap.Record)]
	w.index += 3
	w.head = next
	w.loaded = loaded
	w.history[next.Revision] = loaded
	w.chain = append(w.chain, next.History[0].ChangeID)
	return true
}

// step carries out the action a writer waits for; fault says how it goes wrong.
func (w *world) step(s *session, fault string) {
	switch a := s.next.(type) {
	case head.ReadHead:
		if fault != "" {
			w.feed(s, head.FetchFailed{})
			return
		}
		w.feed(s, head.Fetched{Index: w.index, Head: w.head, Loaded: w.loaded, Base: w.history[a.Base]})
	case head.WriteChunks:
		if fault != "" {
			w.feed(s, head.ChunksFailed{})
			return
		}
		base := w.loaded
		w.feed(s, head.ChunksWritten{})
		w.remember(s, base)
	case head.SwapHead:
		w.stepSwap(s, a, fault)
	}
}

// remember keeps what a record leads to; only a swap on the same index uses it.
func (w *world) remember(s *session, base *config.Loaded) {
	swap, ok := s.next.(head.SwapHead)
	if !ok {
		return
	}
	plan, _ := config.NewPlan(base, s.submission.Patch)
	next, err := config.DecodeHead(swap.Record)
	if err != nil || plan == nil {
		return
	}
	loaded := *plan.Next
	loaded.Version = next.Version
	if loaded.Version.ManifestHash == plan.Next.Version.ManifestHash {
		w.pending[string(swap.Record)] = &loaded
	}
}

func (w *world) stepSwap(s *session, swap head.SwapHead, fault string) {
	switch fault {
	case "":
		if w.swap(swap) {
			w.feed(s, head.SwapAnswered{Outcome: head.SwapDone})
			return
		}
		w.feed(s, head.SwapAnswered{Outcome: head.SwapLost})
	case "lost-after-effect":
		w.swap(swap)
		w.feed(s, head.SwapAnswered{Outcome: head.SwapUnknown})
	case "late":
		w.late = append(w.late, swap)
		w.feed(s, head.SwapAnswered{Outcome: head.SwapUnknown})
	default:
		w.feed(s, head.SwapAnswered{Outcome: head.SwapUnknown})
	}
}

func (w *world) run(s *session) head.Answer {
	for s.answer == nil {
		w.step(s, "")
	}
	return *s.answer
}

func (w *world) count(change string) int {
	n := 0
	for _, c := range w.chain {
		if c == change {
			n++
		}
	}
	return n
}

func TestFirstChangeIsAccepted(t *testing.T) {
	is := is.New(t)
	w := newWorld()
	answer := w.run(w.submit(newSubmission("one", 0, 1)))
	is.Equal(answer.Verdict, head.VerdictAccepted)
	is.Equal(answer.Revision, uint64(1))
	is.Equal(w.chain, []string{"one"})
}

// A change is accepted and the key-value service goes down at once. The process
// that made the change has it whole, at its revision, and need not fetch it.
func TestAcceptedChangeComesWhole(t *testing.T) {
	is := is.New(t)
	w := newWorld()
	answer := w.run(w.submit(newSubmission("first", 0, 1)))
	is.Equal(answer.Verdict, head.VerdictAccepted)
	is.Equal(answer.Loaded.Version.Revision, answer.Revision)
	is.Equal(answer.Loaded.Snapshot.Revision, answer.Revision)
	is.Equal(answer.Loaded.Version.ManifestHash, config.HashBytes(answer.Loaded.Manifest.Encode()))
	is.Equal(answer.Loaded.Snapshot.Set.Count(), len(answer.Loaded.FindChunks(answer.Loaded.Manifest.Hashes())))
}

// An operator applies a change, the write takes effect and its answer is lost.
// She sees "accepted", not an error and not a second revision: the writer
// reads the head back and finds its own change id.
func TestLostAnswerIsReadBack(t *testing.T) {
	is := is.New(t)
	w := newWorld()
	s := w.submit(newSubmission("one", 0, 1))
	w.step(s, "")
	w.step(s, "")
	w.step(s, "lost-after-effect")
	answer := w.run(s)
	is.Equal(answer.Verdict, head.VerdictAccepted)
	is.Equal(w.count("one"), 1)
}

// Two operators change the same pool at once. The slower one sees a conflict
// that names the winner's revision and price; her own change is not put over it.
func TestLostRaceIsConflictWithDiff(t *testing.T) {
	is := is.New(t)
	w := newWorld()
	w.run(w.submit(newSubmission("base", 0, 1)))
	slow := w.submit(newSubmission("slow", 1, 2))
	w.step(slow, "")
	w.run(w.submit(newSubmission("fast", 1, 3)))
	answer := w.run(slow)
	is.Equal(answer.Verdict, head.VerdictConflict)
	is.Equal(answer.Revision, uint64(2))
	is.Equal(answer.Changes, []config.FieldChange{{Kind: config.KindPool, Name: "gpu", Field: "price", Old: "1", New: "3"}})
	is.Equal(w.count("slow"), 0)
}

// The key-value service goes silent after the swap was sent. The operator
// sees "unknown"; later the write takes effect, and asking again with the same
// change id tells "accepted" without a second revision.
func TestUnknownThenAskedAgain(t *testing.T) {
	is := is.New(t)
	w := newWorld()
	s := w.submit(newSubmission("one", 0, 1))
	w.step(s, "")
	w.step(s, "")
	w.step(s, "late")
	for s.answer == nil {
		w.step(s, "down")
	}
	is.Equal(s.answer.Verdict, head.VerdictUnknown)
	is.True(w.swap(w.late[0]))
	answer := w.run(w.submit(newSubmission("one", 0, 1)))
	is.Equal(answer.Verdict, head.VerdictAccepted)
	is.Equal(w.count("one"), 1)
}

// The first swap is slow and the second, sent after a read that did not show
// it, is answered as lost, since the first took effect in between. The
// operator must see "accepted" and not "conflict" with herself.
func TestLossToOwnLateSwapIsAccepted(t *testing.T) {
	is := is.New(t)
	w := newWorld()
	s := w.submit(newSubmission("one", 0, 1))
	w.step(s, "")
	w.step(s, "")
	w.step(s, "late")
	w.step(s, "")
	is.True(w.swap(w.late[0]))
	is.Equal(w.run(s).Verdict, head.VerdictAccepted)
}

func TestChangeIDWithOtherDocumentsIsInvalid(t *testing.T) {
	is := is.New(t)
	w := newWorld()
	w.run(w.submit(newSubmission("one", 0, 1)))
	is.Equal(w.run(w.submit(newSubmission("one", 0, 9))).Verdict, head.VerdictInvalid)
}

func TestBootstrapIsRefusedOnceAConfigurationExists(t *testing.T) {
	is := is.New(t)
	w := newWorld()
	w.run(w.submit(newSubmission("one", 0, 1)))
	s := newSubmission("two", 0, 9)
	s.First = true
	is.Equal(w.run(w.submit(s)).Verdict, head.VerdictConflict)
	is.Equal(w.chain, []string{"one"})
}

// An operator is removed, but one process is cut off from its peers and still
// takes the token. The change must be refused although that process reaches
// the key-value service.
func TestRemovedOperatorIsRefused(t *testing.T) {
	is := is.New(t)
	w := newWorld()
	w.run(w.submit(newSubmission("one", 0, 1)))
	s := newSubmission("two", 0, 9)
	s.TokenSHA256 = newOperator().TokenSHA256
	is.Equal(w.run(w.submit(s)).Verdict, head.VerdictAccepted)
	s = newSubmission("three", 0, 3)
	s.TokenSHA256 = config.DigestToken("removed")
	is.Equal(w.run(w.submit(s)).Verdict, head.VerdictForbidden)
	is.Equal(w.chain, []string{"one", "two"})
}

// The key-value service lost its data while processes hold revision 1. An
// operator changes a price; nothing else may revert, and the revision must lie
// above every one that some process may have adopted.
func TestLostDataIsRestoredByTheNextChange(t *testing.T) {
	is := is.New(t)
	before := newWorld()
	before.run(before.submit(newSubmission("one", 0, 1)))
	w := newWorld()
	s := newSubmission("two", 1, 9)
	s.Patch.Operators = nil
	s.InForce = before.loaded
	n := w.submit(s)
	w.step(n, "")
	values := n.next.(head.WriteChunks).Values
	is.Equal(len(values), 3) // the manifest, the pools and the operators
	for _, value := range values {
		is.NoErr(value.Hash.Check(value.Data))
	}
	answer := w.run(n)
	is.Equal(answer.Verdict, head.VerdictAccepted)
	is.True(answer.Revision > 1000)
	is.Equal(len(answer.Changes), 1)
}

func TestDryRunWritesNothing(t *testing.T) {
	is := is.New(t)
	w := newWorld()
	s := newSubmission("one", 0, 1)
	s.DryRun = true
	answer := w.run(w.submit(s))
	is.Equal(answer.Verdict, head.VerdictChecked)
	is.True(len(answer.Changes) > 0)
	is.Equal(len(w.chain), 0)
}

// Several writers race with faults, late effects and restarts (a writer that
// is dropped and submitted again). Whatever comes: a change is in the chain at
// most once, an accepted one is in it, and a refused one never gets into it.
func TestWritersUnderFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld()
		submissions := []head.Submission{}
		for i := range rapid.IntRange(2, 4).Draw(t, "changes") {
			base := uint64(rapid.IntRange(0, 2).Draw(t, "base"))
			submissions = append(submissions, newSubmission(fmt.Sprint("c", i), base, float64(i+1)))
		}
		for range rapid.IntRange(10, 80).Draw(t, "steps") {
			w.move(t, submissions)
			w.check(t)
		}
		for len(w.late) > 0 {
			w.swap(w.late[0])
			w.late = w.late[1:]
			w.check(t)
		}
	})
}

func (w *world) move(t *rapid.T, submissions []head.Submission) {
	switch rapid.IntRange(0, 9).Draw(t, "move") {
	case 0, 1:
		w.submit(rapid.SampledFrom(submissions).Draw(t, "submission"))
	case 2:
		if len(w.late) > 0 {
			i := rapid.IntRange(0, len(w.late)-1).Draw(t, "late")
			w.swap(w.late[i])
			w.late = append(w.late[:i], w.late[i+1:]...)
		}
	default:
		if len(w.writers) == 0 {
			return
		}
		s := rapid.SampledFrom(w.writers).Draw(t, "writer")
		fault := rapid.SampledFrom([]string{"", "", "", "down", "late", "lost-after-effect"}).Draw(t, "fault")
		w.step(s, fault)
	}
}

func (w *world) check(t *rapid.T) {
	if uint64(len(w.chain)) != w.head.Revision {
		t.Fatalf("revision %d after %v", w.head.Revision, w.chain)
	}
	for _, s := range w.writers {
		n := w.count(s.submission.Change)
		if n > 1 {
			t.Fatalf("change %s took effect %d times", s.submission.Change, n)
		}
		if s.answer == nil {
			continue
		}
		accepted := s.answer.Verdict == head.VerdictAccepted
		if accepted && (n == 0 || w.chain[s.answer.Revision-1] != s.submission.Change) {
			t.Fatalf("accepted change %s is not in %v", s.submission.Change, w.chain)
		}
		// Another submission of the same change may win later, so only the last submission's refusal binds.
		if s.answer.Verdict == head.VerdictConflict && n > 0 && w.only(s) {
			t.Fatalf("refused change %s is in %v", s.submission.Change, w.chain)
		}
	}
}

func (w *world) only(s *session) bool {
	for _, other := range w.writers {
		if other != s && other.submission.Change == s.submission.Change {
			return false
		}
	}
	return true
}
