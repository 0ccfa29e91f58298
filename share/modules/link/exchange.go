package link

import (
	"context"
	"net"
	"time"

	"verbenaroad.example/share/modules/wire"
)

// FetchChunks sends a fetch on a stream of its own and waits for the answer.
func FetchChunks(ctx context.Context, s *Session, fetch *wire.Fetch) (*wire.Chunks, error) {
	frame, err := exchange(ctx, s, &wire.Frame{Body: &wire.Frame_Fetch{Fetch: fetch}})
	if err != nil {
		return nil, err
	}
	if frame.GetChunks() == nil {
		return nil, ErrLink.New("the answer to a fetch holds no chunks")
	}
	return frame.GetChunks(), nil
}

// AskAgent sends an ask on a stream of its own and waits for the answer.
func AskAgent(ctx context.Context, s *Session, ask *wire.Ask) (*wire.Told, error) {
	frame, err := exchange(ctx, s, &wire.Frame{Body: &wire.Frame_Ask{Ask: ask}})
	if err != nil {
		return nil, err
	}
	if frame.GetTold() == nil {
		return nil, ErrLink.New("the answer to an ask tells nothing")
	}
	return frame.GetTold(), nil
}

// exchange gives the stream its own deadline, since yamux's acknowledgements
// are of the session and not of the call.
func exchange(ctx context.Context, s *Session, frame *wire.Frame) (*wire.Frame, error) {
	stream, err := s.Open()
	if err != nil {
		return nil, err
	}
	defer func() { _ = stream.Close() }()
	stop := CloseOnDone(ctx, stream)
	defer stop()
	if err := wire.WriteFrame(stream, frame); err != nil {
		return nil, err
	}
	return wire.NewReader(stream).Next()
}

// CloseOnDone closes the stream when the context ends; the returned function
// lets go of the context. A closed yamux stream still waits for the peer's
// answer, so a read that waits is ended by its deadline.
func CloseOnDone(ctx context.Context, stream net.Conn) func() bool {
	return context.AfterFunc(ctx, func() {
		_ = stream.SetReadDeadline(time.Unix(1, 0))
		_ = stream.Close()
	})
}
