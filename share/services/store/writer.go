package store

import (
	"context"
	"sync"
	"time"

	"verbenaroad.example/share/decide/head"
	"verbenaroad.example/share/models/config"
)

// chunkAttempts bounds the writes of one chunk whose answer is lost.
const chunkAttempts = 3

// Writer carries changes to the key-value service; many may be under way at once.
type Writer struct {
	kv     KeyValue
	reader *Reader

	mutex sync.Mutex
	// last is the newest configuration loaded, kept to decode only what differs.
	last *config.Loaded
}

// NewWriter returns a writer of the keys below the reader's prefix.
func NewWriter(kv KeyValue, reader *Reader) *Writer {
	return &Writer{kv: kv, reader: reader}
}

// Submit carries one change to its verdict. Only a canceled context can make
// it end before the service was asked everything it should be.
func (w *Writer) Submit(ctx context.Context, s head.Submission) head.Answer {
	writer := head.NewWriter(s)
	actions := writer.Handle(head.Started{}, time.Now())
	for {
		answer, ended := findAnswer(actions)
		if ended {
			return answer
		}
		event := w.carryOut(ctx, actions)
		actions = writer.Handle(event, time.Now())
	}
}

// LoadHead returns the configuration that the key-value service holds now, or nil when there is none.
func (w *Writer) LoadHead(ctx context.Context) (*config.Loaded, error) {
	answer, err := w.reader.ReadHead(ctx)
	if err != nil || answer.Index == 0 {
		return nil, err
	}
	return w.load(ctx, answer.Head.Version)
}

func findAnswer(actions []head.Action) (answer head.Answer, ended bool) {
	if len(actions) == 0 {
		return head.Answer{Verdict: head.VerdictUnknown, Detail: "the writer stopped without a verdict"}, true
	}
	answer, ended = actions[0].(head.Answer)
	return answer, ended
}

// carryOut does what the decision asks for; it asks for one thing at a time.
func (w *Writer) carryOut(ctx context.Context, actions []head.Action) head.Event {
	switch a := actions[0].(type) {
	case head.ReadHead:
		return w.readHead(ctx, a.Base)
	case head.WriteChunks:
		return w.writeChunks(ctx, a.Chunks)
	case head.SwapHead:
		return w.swapHead(ctx, a)
	default:
		return nil
	}
}

func (w *Writer) readHead(ctx context.Context, base uint64) head.Event {
	answer, err := w.reader.ReadHead(ctx)
	if err != nil {
		return head.ReadFailed{}
	}
	event := head.ReadDone{Index: answer.Index, Head: answer.Head}
	if answer.Index == 0 {
		return event
	}
	event.Loaded, err = w.load(ctx, answer.Head.Version)
	if err != nil {
		return head.ReadFailed{}
	}
	if place := answer.Head.FindVersion(base); base != 0 && base != answer.Head.Revision && place.ManifestHash != "" {
		event.Base, err = w.reader.Load(ctx, event.Loaded, place)
		if err != nil {
			event.Base = nil // the conflict is certain; only its diff can't be told
		}
	}
	return event
}

func (w *Writer) load(ctx context.Context, place config.Version) (*config.Loaded, error) {
	w.mutex.Lock()
	old := w.last
	w.mutex.Unlock()
	if old != nil && old.Version == place {
		return old, nil
	}
	loaded, err := w.reader.Load(ctx, old, place)
	if err != nil {
		return nil, err
	}
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if w.last == nil || w.last.Version.Revision < place.Revision {
		w.last = loaded
	}
	return loaded, nil
}

func (w *Writer) writeChunks(ctx context.Context, values []config.Chunk) head.Event {
	for _, value := range values {
		if !w.writeChunk(ctx, value) {
			return head.ChunkWriteFailed{}
		}
	}
	return head.ChunksWritten{}
}

// writeChunk stores a value unless it is there. An answer lost after the
// write took effect does no harm: the value under a hash is always the same,
// so that the next attempt finds it there.
func (w *Writer) writeChunk(ctx context.Context, value config.Chunk) bool {
	for range chunkAttempts {
		_, err := w.kv.CompareAndSwap(ctx, w.reader.prefix+chunkKey+string(value.Hash), value.Data, 0)
		if err == nil {
			return true
		}
	}
	return false
}

func (w *Writer) swapHead(ctx context.Context, swap head.SwapHead) head.Event {
	done, err := w.kv.CompareAndSwap(ctx, w.reader.prefix+headKey, swap.Record, swap.Index)
	switch {
	case err != nil:
		return head.SwapResult{Outcome: head.SwapUnknown}
	case done:
		return head.SwapResult{Outcome: head.SwapDone}
	default:
		return head.SwapResult{Outcome: head.SwapLost}
	}
}
