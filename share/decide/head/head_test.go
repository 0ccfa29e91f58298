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

// world simulates the head in the store and the clients that compete to update it.
type world struct {
	// index is the store's index of the head's key; 0 while there is no head.
	index  uint64
	head   config.Head
	loaded *config.Loaded
	// byRevision holds the configuration of each revision.
	byRevision map[uint64]*config.Loaded
	// acceptedChangeIDs holds the change IDs of all updates of the head, in order.
	acceptedChangeIDs []string
	// lateSwaps holds swaps that got no response and may still take effect.
	lateSwaps []head.SwapHead
	clients   []*client
	// planned maps the record of a swap to the configuration that it leads to.
	planned map[string]*config.Loaded
}

// client is a writer with the action whose result it waits for.
type client struct {
	submission    head.Submission
	writer        *head.Writer
	pendingAction head.Action
	answer        *head.Answer
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
	return head.Submission{ChangeID: change, Operator: "ana", Patch: patch, Base: base}
}

func newWorld() *world {
	return &world{byRevision: map[uint64]*config.Loaded{}, planned: map[string]*config.Loaded{}}
}

func (w *world) submit(s head.Submission) *client {
	c := &client{submission: s, writer: head.NewWriter(s)}
	w.clients = append(w.clients, c)
	w.deliver(c, head.Started{})
	return c
}

// deliver passes an event to a client's writer and keeps the action that follows.
func (w *world) deliver(c *client, event head.Event) {
	c.pendingAction = nil
	for _, action := range c.writer.Handle(event, start()) {
		switch a := action.(type) {
		case head.Answer:
			c.answer = &a
		default:
			c.pendingAction = a
		}
	}
}

// applySwap updates the head if the index of the swap is still current, and reports whether it did.
func (w *world) applySwap(swap head.SwapHead) bool {
	if swap.Index != w.index {
		return false
	}
	next, err := config.DecodeHead(swap.Record)
	if err != nil {
		panic(err)
	}
	loaded := w.planned[string(swap.Record)]
	w.index += 3
	w.head = next
	w.loaded = loaded
	w.byRevision[next.Revision] = loaded
	w.acceptedChangeIDs = append(w.acceptedChangeIDs, next.History[0].ChangeID)
	return true
}

// step carries out the action that a client waits for; a fault other than "" makes it fail in that
// way.
func (w *world) step(c *client, fault string) {
	switch a := c.pendingAction.(type) {
	case head.ReadHead:
		if fault != "" {
			w.deliver(c, head.ReadFailed{})
			return
		}
		w.deliver(c, head.ReadDone{Index: w.index, Head: w.head, Loaded: w.loaded, Base: w.byRevision[a.Base]})
	case head.WriteChunks:
		if fault != "" {
			w.deliver(c, head.ChunkWriteFailed{})
			return
		}
		base := w.loaded
		w.deliver(c, head.ChunksWritten{})
		w.storePlanned(c, base)
	case head.SwapHead:
		w.stepSwap(c, a, fault)
	}
}

// storePlanned keeps the configuration that the record of the client's swap leads to. It is used
// only if the head is still at the same index when the swap takes effect.
func (w *world) storePlanned(c *client, base *config.Loaded) {
	swap, ok := c.pendingAction.(head.SwapHead)
	if !ok {
		return
	}
	plan, _ := config.NewPlan(base, c.submission.Patch)
	next, err := config.DecodeHead(swap.Record)
	if err != nil || plan == nil {
		return
	}
	loaded := *plan.Next
	loaded.Version = next.Version
	if loaded.Version.ManifestHash == plan.Next.Version.ManifestHash {
		w.planned[string(swap.Record)] = &loaded
	}
}

func (w *world) stepSwap(c *client, swap head.SwapHead, fault string) {
	switch fault {
	case "":
		if w.applySwap(swap) {
			w.deliver(c, head.SwapResult{Outcome: head.SwapDone})
			return
		}
		w.deliver(c, head.SwapResult{Outcome: head.SwapLost})
	case "lost-after-effect":
		w.applySwap(swap)
		w.deliver(c, head.SwapResult{Outcome: head.SwapUnknown})
	case "late":
		w.lateSwaps = append(w.lateSwaps, swap)
		w.deliver(c, head.SwapResult{Outcome: head.SwapUnknown})
	default:
		w.deliver(c, head.SwapResult{Outcome: head.SwapUnknown})
	}
}

func (w *world) run(c *client) head.Answer {
	for c.answer == nil {
		w.step(c, "")
	}
	return *c.answer
}

func (w *world) count(change string) int {
	n := 0
	for _, c := range w.acceptedChangeIDs {
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
	is.Equal(w.acceptedChangeIDs, []string{"one"})
}

// Guards against an accepted change that no process can fetch because the store fails immediately
// afterwards: the answer carries the complete configuration at its revision, so that the submitting
// process need not fetch it.
func TestAcceptedAnswerCarriesCompleteConfiguration(t *testing.T) {
	is := is.New(t)
	w := newWorld()
	answer := w.run(w.submit(newSubmission("first", 0, 1)))
	is.Equal(answer.Verdict, head.VerdictAccepted)
	is.Equal(answer.Loaded.Version.Revision, answer.Revision)
	is.Equal(answer.Loaded.Snapshot.Revision, answer.Revision)
	is.Equal(answer.Loaded.Version.ManifestHash, config.HashBytes(answer.Loaded.Manifest.Encode()))
	is.Equal(answer.Loaded.Snapshot.Set.Count(), len(answer.Loaded.FindChunks(answer.Loaded.Manifest.Hashes())))
}

// Guards against an error or a second revision when the swap takes effect but its response is lost.
// The writer reads the head, finds its own change ID there and answers "accepted".
func TestLostSwapResponseIsAccepted(t *testing.T) {
	is := is.New(t)
	w := newWorld()
	c := w.submit(newSubmission("one", 0, 1))
	w.step(c, "")
	w.step(c, "")
	w.step(c, "lost-after-effect")
	answer := w.run(c)
	is.Equal(answer.Verdict, head.VerdictAccepted)
	is.Equal(w.count("one"), 1)
}

// Guards against one operator overwriting another's concurrent change of the same pool. The slower
// one gets a conflict with the winner's revision and price.
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

// Guards against a second revision when the store stops responding after the swap was sent: the
// answer is "unknown", the write takes effect later, and a retry with the same change ID gets
// "accepted".
func TestRetryAfterUnknownIsAccepted(t *testing.T) {
	is := is.New(t)
	w := newWorld()
	c := w.submit(newSubmission("one", 0, 1))
	w.step(c, "")
	w.step(c, "")
	w.step(c, "late")
	for c.answer == nil {
		w.step(c, "down")
	}
	is.Equal(c.answer.Verdict, head.VerdictUnknown)
	is.True(w.applySwap(w.lateSwaps[0]))
	answer := w.run(w.submit(newSubmission("one", 0, 1)))
	is.Equal(answer.Verdict, head.VerdictAccepted)
	is.Equal(w.count("one"), 1)
}

// Guards against a conflict of a change with itself. The first swap is delayed and takes effect
// after a read that does not show it yet, so that the second attempt loses to it. The answer must
// be "accepted".
func TestLossToOwnLateSwapIsAccepted(t *testing.T) {
	is := is.New(t)
	w := newWorld()
	c := w.submit(newSubmission("one", 0, 1))
	w.step(c, "")
	w.step(c, "")
	w.step(c, "late")
	w.step(c, "")
	is.True(w.applySwap(w.lateSwaps[0]))
	is.Equal(w.run(c).Verdict, head.VerdictAccepted)
}

func TestChangeIDWithOtherDocumentsIsInvalid(t *testing.T) {
	is := is.New(t)
	w := newWorld()
	w.run(w.submit(newSubmission("one", 0, 1)))
	is.Equal(w.run(w.submit(newSubmission("one", 0, 9))).Verdict, head.VerdictInvalid)
}

func TestBootstrapIsRefusedIfConfigurationExists(t *testing.T) {
	is := is.New(t)
	w := newWorld()
	w.run(w.submit(newSubmission("one", 0, 1)))
	s := newSubmission("two", 0, 9)
	s.Bootstrap = true
	is.Equal(w.run(w.submit(s)).Verdict, head.VerdictConflict)
	is.Equal(w.acceptedChangeIDs, []string{"one"})
}

// Guards against a change by a removed operator through a process that still accepts the operator's
// token, because it is disconnected from its peers but reaches the store.
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
	is.Equal(w.acceptedChangeIDs, []string{"one", "two"})
}

// Guards against accepted changes being reverted after the store lost its data while processes have
// revision 1 in force. The next change must alter nothing else, and its revision must be above
// every revision that a process may have adopted.
func TestNextChangeRestoresLostData(t *testing.T) {
	is := is.New(t)
	before := newWorld()
	before.run(before.submit(newSubmission("one", 0, 1)))
	w := newWorld()
	s := newSubmission("two", 1, 9)
	s.Patch.Operators = nil
	s.InForce = before.loaded
	c := w.submit(s)
	w.step(c, "")
	chunks := c.pendingAction.(head.WriteChunks).Chunks
	is.Equal(len(chunks), 3) // the manifest, the pools and the operators
	for _, chunk := range chunks {
		is.NoErr(chunk.Hash.Check(chunk.Data))
	}
	answer := w.run(c)
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
	is.Equal(len(w.acceptedChangeIDs), 0)
}

// Guards against a change that takes effect twice, is answered as accepted without effect, or takes
// effect although it was refused, while clients compete under faults, delayed swaps and restarts (a
// client is abandoned and its change submitted again).
func TestWritersUnderFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld()
		submissions := []head.Submission{}
		for i := range rapid.IntRange(2, 4).Draw(t, "changes") {
			base := uint64(rapid.IntRange(0, 2).Draw(t, "base"))
			submissions = append(submissions, newSubmission(fmt.Sprint("c", i), base, float64(i+1)))
		}
		for range rapid.IntRange(10, 80).Draw(t, "steps") {
			w.randomStep(t, submissions)
			w.check(t)
		}
		for len(w.lateSwaps) > 0 {
			w.applySwap(w.lateSwaps[0])
			w.lateSwaps = w.lateSwaps[1:]
			w.check(t)
		}
	})
}

func (w *world) randomStep(t *rapid.T, submissions []head.Submission) {
	switch rapid.IntRange(0, 9).Draw(t, "move") {
	case 0, 1:
		w.submit(rapid.SampledFrom(submissions).Draw(t, "submission"))
	case 2:
		if len(w.lateSwaps) > 0 {
			i := rapid.IntRange(0, len(w.lateSwaps)-1).Draw(t, "late")
			w.applySwap(w.lateSwaps[i])
			w.lateSwaps = append(w.lateSwaps[:i], w.lateSwaps[i+1:]...)
		}
	default:
		if len(w.clients) == 0 {
			return
		}
		c := rapid.SampledFrom(w.clients).Draw(t, "writer")
		fault := rapid.SampledFrom([]string{"", "", "", "down", "late", "lost-after-effect"}).Draw(t, "fault")
		w.step(c, fault)
	}
}

func (w *world) check(t *rapid.T) {
	if uint64(len(w.acceptedChangeIDs)) != w.head.Revision {
		t.Fatalf("the head has revision %d after the changes %v", w.head.Revision, w.acceptedChangeIDs)
	}
	for _, c := range w.clients {
		n := w.count(c.submission.ChangeID)
		if n > 1 {
			t.Fatalf("change %s took effect %d times", c.submission.ChangeID, n)
		}
		if c.answer == nil {
			continue
		}
		accepted := c.answer.Verdict == head.VerdictAccepted
		if accepted && (n == 0 || w.acceptedChangeIDs[c.answer.Revision-1] != c.submission.ChangeID) {
			t.Fatalf("accepted change %s is not in %v", c.submission.ChangeID, w.acceptedChangeIDs)
		}
		// Another submission of the same change may be accepted later, so only the refusal of a
		// change that was submitted once is final.
		if c.answer.Verdict == head.VerdictConflict && n > 0 && w.isOnlySubmission(c) {
			t.Fatalf("refused change %s is in %v", c.submission.ChangeID, w.acceptedChangeIDs)
		}
	}
}

// isOnlySubmission reports whether no other client submitted the same change.
func (w *world) isOnlySubmission(c *client) bool {
	for _, other := range w.clients {
		if other != c && other.submission.ChangeID == c.submission.ChangeID {
			return false
		}
	}
	return true
}
