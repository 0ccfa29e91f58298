package mesh

import (
	"context"
	"net"

	"go.uber.org/zap"

	"verbenaroad.example/share/modules/link"
	"verbenaroad.example/share/modules/logs"
	"verbenaroad.example/share/modules/wire"
)

// Producer produces results of stages, and releases them, for other ingresses.
type Producer interface {
	ServeProduce(ctx context.Context, p *wire.Produce) *wire.Produced
	ServeDiscard(d *wire.Discard)
}

// Placer places requests for other ingresses.
type Placer interface {
	ServeAssign(stream net.Conn, reader *wire.Reader, a *wire.Assign)
}

// Screen counts, for other ingresses, the servers that crashed while they ran a request.
type Screen interface {
	ServeCrash(c *wire.Crash) *wire.CrashNoted
	ServePartCrash(c *wire.PartCrash) *wire.PartCrashNoted
	ServeServed(s *wire.Served)
}

// Memos keeps facts about requests for other ingresses.
type Memos interface {
	ServeMemos(m *wire.Memos)
	// ServeRecall returns nil if it cannot be told yet.
	ServeRecall(ctx context.Context, r *wire.Recall) *wire.Recalled
}

// Handler serves the sessions that other ingresses open.
type Handler struct {
	Producer Producer
	Placer   Placer
	Screen   Screen
	Memos    Memos
	Feeder   *Feeder
	Log      *zap.Logger
}

// ServeSession serves the streams of a session until it ends.
func (h *Handler) ServeSession(ctx context.Context, session *link.Session) {
	for {
		stream, err := session.Accept()
		if err != nil {
			return
		}
		go h.runStream(ctx, stream)
	}
}

// runStream reads the one request frame of a stream and answers it.
func (h *Handler) runStream(ctx context.Context, stream net.Conn) {
	defer func() { _ = stream.Close() }()
	reader := wire.NewReader(stream)
	frame, err := reader.Next()
	if err != nil {
		return // the peer closed the stream before it sent a request
	}
	switch {
	case frame.GetSync() != nil:
		w := watcher{reader: reader, cancel: func() { _ = stream.Close() }}
		go w.run()
		if frame.GetSync().GetAt() == 0 {
			h.Feeder.awaitSnapshot(ctx)
		}
		records := h.Feeder.encodeSince(decodeReached(frame.GetSync()))
		h.answer(stream, &wire.Frame{Body: &wire.Frame_Records{Records: records}})
	case frame.GetFollow() != nil:
		ctx, cancel := context.WithCancel(ctx)
		defer cancel()
		w := watcher{reader: reader, cancel: cancel}
		go w.run()
		h.Feeder.ServeFollower(ctx, stream, decodeReached(frame.GetFollow()))
	case frame.GetProduce() != nil:
		ctx, cancel := context.WithCancel(ctx)
		defer cancel()
		w := watcher{reader: reader, cancel: cancel}
		go w.run()
		produced := h.Producer.ServeProduce(ctx, frame.GetProduce())
		h.answer(stream, &wire.Frame{Body: &wire.Frame_Produced{Produced: produced}})
	case frame.GetDiscard() != nil:
		h.Producer.ServeDiscard(frame.GetDiscard())
	case frame.GetCrash() != nil:
		h.answer(stream, &wire.Frame{Body: &wire.Frame_CrashNoted{CrashNoted: h.Screen.ServeCrash(frame.GetCrash())}})
	case frame.GetPartCrash() != nil:
		noted := h.Screen.ServePartCrash(frame.GetPartCrash())
		h.answer(stream, &wire.Frame{Body: &wire.Frame_PartCrashNoted{PartCrashNoted: noted}})
	case frame.GetServed() != nil:
		h.Screen.ServeServed(frame.GetServed())
	case frame.GetMemos() != nil:
		h.Memos.ServeMemos(frame.GetMemos())
	case frame.GetRecall() != nil:
		if recalled := h.Memos.ServeRecall(ctx, frame.GetRecall()); recalled != nil {
			h.answer(stream, &wire.Frame{Body: &wire.Frame_Recalled{Recalled: recalled}})
		}
	case frame.GetAssign() != nil:
		h.Placer.ServeAssign(stream, reader, frame.GetAssign())
	default:
		h.Log.Warn("frame-unknown")
	}
}

func (h *Handler) answer(stream net.Conn, frame *wire.Frame) {
	if err := wire.WriteFrame(stream, frame); err != nil {
		h.Log.Info("answer-lost", logs.Err(err))
	}
}

// watcher cancels the work for a stream when the peer closes it.
type watcher struct {
	reader *wire.Reader
	cancel context.CancelFunc
}

func (w watcher) run() {
	_, _ = w.reader.Next() // the peer sends nothing more, so this returns when the stream ends
	w.cancel()
}
