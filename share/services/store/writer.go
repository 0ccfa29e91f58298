package store

import (
	"context"
	"sync"
	"time"

	"verbenaroad.example/share/decide/head"
	"verbenaroad.example/share/models/config"
)

// maxChunkAttempts limits the writes of one chunk while their answers are lost.
const maxChunkAttempts = 3

// Writer writes changes to the key-value service. It is safe for concurrent use.
type Writer struct {
	kv     KeyValue
	reader *Reader

	mutex sync.Mutex
	// newest is the loaded configuration with the highest revision. It is kept so that only chunks
	// that differ from it are read and decoded.
	newest *config.Loaded
}

// NewWriter returns a Writer of the keys with the reader's prefix.
func NewWriter(kv KeyValue, reader *Reader) *Writer {
	return &Writer{kv: kv, reader: reader}
}

// Submit carries out one submission and returns its result. It sends all requests that the
// submission needs, retries included, unless ctx ends first.
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

// LoadHead returns the current configuration in the key-value service, or nil if there is none.
func (w *Writer) LoadHead(ctx context.Context) (*config.Loaded, error) {
	answer, err := w.reader.ReadHead(ctx)
	if err != nil || answer.Index == 0 {
		return nil, err
	}
	return w.load(ctx, answer.Head.Version)
}

// findAnswer returns the answer among the actions and whether the submission has ended.
func findAnswer(actions []head.Action) (answer head.Answer, ended bool) {
	if len(actions) == 0 {
		return head.Answer{Verdict: head.VerdictUnknown, Detail: "the writer stopped without a verdict"}, true
	}
	answer, ended = actions[0].(head.Answer)
	return answer, ended
}

// carryOut carries out the first action and returns its result. Package head returns one action at
// a time.
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
	if version := answer.Head.FindVersion(base); base != 0 && base != answer.Head.Revision && version.ManifestHash != "" {
		event.Base, err = w.reader.Load(ctx, event.Loaded, version)
		if err != nil {
			event.Base = nil // the change conflicts in any case; only the list of changes is missing
		}
	}
	return event
}

// load returns the configuration of a version, from newest if it has that version.
func (w *Writer) load(ctx context.Context, version config.Version) (*config.Loaded, error) {
	w.mutex.Lock()
	old := w.newest
	w.mutex.Unlock()
	if old != nil && old.Version == version {
		return old, nil
	}
	loaded, err := w.reader.Load(ctx, old, version)
	if err != nil {
		return nil, err
	}
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if w.newest == nil || w.newest.Version.Revision < version.Revision {
		w.newest = loaded
	}
	return loaded, nil
}

func (w *Writer) writeChunks(ctx context.Context, chunks []config.Chunk) head.Event {
	for _, chunk := range chunks {
		if !w.writeChunk(ctx, chunk) {
			return head.ChunkWriteFailed{}
		}
	}
	return head.ChunksWritten{}
}

// writeChunk stores a chunk unless its key exists, and reports whether the chunk is stored. An
// answer that is lost after the write took effect does no harm: the data under a hash is always the
// same, so the next attempt finds the key with this data.
func (w *Writer) writeChunk(ctx context.Context, chunk config.Chunk) bool {
	for range maxChunkAttempts {
		_, err := w.kv.CompareAndSwap(ctx, w.reader.prefix+chunkKeyPrefix+string(chunk.Hash), chunk.Data, 0)
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
