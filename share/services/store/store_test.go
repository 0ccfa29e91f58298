package store_test

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"verbenaroad.example/share/decide/head"
	"verbenaroad.example/share/models/config"
	"verbenaroad.example/share/services/store"
)

var errDown = errors.New("down")

// fakeKV is an in-memory key-value service with injected faults.
type fakeKV struct {
	mutex  sync.Mutex
	index  uint64
	values map[string]store.Value
	// down makes every call fail and take no effect.
	down bool
	// loseAnswers is the number of swaps of the head that take effect but return an error.
	loseAnswers int
	reads       int
	writes      int
}

func newFakeKV() *fakeKV {
	return &fakeKV{values: map[string]store.Value{}}
}

func (f *fakeKV) Get(_ context.Context, key string) (store.Value, error) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.reads++
	if f.down {
		return store.Value{}, errDown
	}
	return f.values[key], nil
}

func (f *fakeKV) CompareAndSwap(_ context.Context, key string, data []byte, index uint64) (bool, error) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.writes++
	if f.down {
		return false, errDown
	}
	if f.values[key].Index != index {
		return false, nil
	}
	f.index++
	f.values[key] = store.Value{Data: data, Index: f.index}
	if f.loseAnswers > 0 && key == store.DefaultPrefix+"head" {
		f.loseAnswers--
		return false, errDown
	}
	return true, nil
}

func (f *fakeKV) Watch(ctx context.Context, key string, _ uint64, _ time.Duration) (store.Value, error) {
	return f.Get(ctx, key)
}

func newSubmission(change string, price float64) head.Submission {
	pool := config.Pool{Name: "gpu", Committed: 1, Price: price, BeyondPrice: 2, BeyondPriority: config.PriorityUrgent}
	operator := config.Operator{Name: "ana", TokenSHA256: config.DigestToken("a"), Role: config.RoleChange}
	patch := config.Patch{Set: config.Set{Pools: []config.Pool{pool}, Operators: []config.Operator{operator}}}
	return head.Submission{ChangeID: change, Operator: "ana", Patch: patch}
}

func newWriter(kv *fakeKV) (*store.Writer, *store.Reader) {
	reader := store.NewReader(kv, store.DefaultPrefix)
	return store.NewWriter(kv, reader), reader
}

func TestSubmitThenLoad(t *testing.T) {
	is := is.New(t)
	kv := newFakeKV()
	writer, reader := newWriter(kv)
	ctx := t.Context()
	is.Equal(writer.Submit(ctx, newSubmission("one", 1)).Verdict, head.VerdictAccepted)
	is.Equal(writer.Submit(ctx, newSubmission("two", 3)).Revision, uint64(2))
	answer, err := reader.ReadHead(ctx)
	is.NoErr(err)
	loaded, err := reader.Load(ctx, nil, answer.Head.Version)
	is.NoErr(err)
	is.Equal(loaded.Snapshot.GetPoolByName("gpu").Price, 3.0)
	// A peer that has loaded the configuration can serve all of its chunks.
	again, err := store.Load(ctx, peer{loaded}, nil, answer.Head.Version)
	is.NoErr(err)
	is.Equal(again.Snapshot.Set, loaded.Snapshot.Set)
}

// peer serves the chunks of a loaded configuration.
type peer struct{ loaded *config.Loaded }

func (p peer) ReadChunks(_ context.Context, hashes []config.Hash) ([]config.Chunk, error) {
	var chunks []config.Chunk
	for _, hash := range hashes {
		chunk, found := p.loaded.GetChunk(hash)
		if !found {
			return nil, fmt.Errorf("no chunk %s", hash)
		}
		chunks = append(chunks, chunk)
	}
	return chunks, nil
}

// The key-value service updates the head, but the connection breaks before its answer arrives.
// Guards against a change that is reported as failed, or applied twice: the verdict is accepted,
// revision 1.
func TestSubmitReadsBackALostAnswer(t *testing.T) {
	is := is.New(t)
	kv := newFakeKV()
	kv.loseAnswers = 1
	writer, _ := newWriter(kv)
	answer := writer.Submit(t.Context(), newSubmission("one", 1))
	is.Equal(answer.Verdict, head.VerdictAccepted)
	is.Equal(answer.Revision, uint64(1))
}

func TestSubmitWhileDownIsUnavailable(t *testing.T) {
	is := is.New(t)
	kv := newFakeKV()
	kv.down = true
	writer, _ := newWriter(kv)
	is.Equal(writer.Submit(t.Context(), newSubmission("one", 1)).Verdict, head.VerdictUnavailable)
	is.Equal(kv.writes, 0)
}

func TestConflictReportsWhatChanged(t *testing.T) {
	is := is.New(t)
	kv := newFakeKV()
	writer, _ := newWriter(kv)
	other, _ := newWriter(kv)
	writer.Submit(t.Context(), newSubmission("one", 1))
	other.Submit(t.Context(), newSubmission("two", 2))
	late := newSubmission("three", 3)
	late.Base = 1
	answer := writer.Submit(t.Context(), late)
	is.Equal(answer.Verdict, head.VerdictConflict)
	is.Equal(answer.Revision, uint64(2))
	is.Equal(answer.Changes, []config.FieldChange{{Kind: config.KindPool, Name: "gpu", Field: "price", Old: "1", New: "2"}})
}

// Operators submit changes concurrently from several processes. Guards against accepted changes
// that overwrite each other: each has its own revision and is in the head's history.
func TestConcurrentWritersLoseNoChange(t *testing.T) {
	is := is.New(t)
	kv := newFakeKV()
	var group sync.WaitGroup
	answers := make([]head.Answer, 12)
	for i := range answers {
		writer, _ := newWriter(kv)
		group.Go(func() {
			answers[i] = writer.Submit(t.Context(), newSubmission(fmt.Sprint("c", i), float64(i+1)))
		})
	}
	group.Wait()
	_, reader := newWriter(kv)
	last, err := reader.ReadHead(t.Context())
	is.NoErr(err)
	accepted := 0
	for i, answer := range answers {
		if answer.Verdict != head.VerdictAccepted {
			is.Equal(answer.Verdict, head.VerdictConflict)
			continue
		}
		accepted++
		is.Equal(last.Head.FindChange(fmt.Sprint("c", i)).Revision, answer.Revision)
	}
	is.Equal(uint64(accepted), last.Head.Revision)
}
