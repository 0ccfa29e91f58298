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

// Sync asks a peer for store records that it knows and this process does not. The call ends
// once nothing has arrived for the stall time; onArrival is told of each arrival.
func Sync(ctx context.Context, s *Session, sync *wire.Sync, stall time.Duration, onArrival func()) (*wire.Records, error) {
	stream, err := s.Open()
	if err != nil {
		return nil, err
	}
	defer func() { _ = stream.Close() }()
	stop := CloseOnDone(ctx, stream)
	defer stop()
	if err := wire.WriteFrame(stream, &wire.Frame{Body: &wire.Frame_Sync{Sync: sync}}); err != nil {
		return nil, err
	}
	frame, err := wire.NewReader(&arrivals{Conn: stream, stall: stall, onArrival: onArrival}).Next()
	if err != nil {
		return nil, err
	}
	if frame.GetRecords() == nil {
		return nil, ErrLink.New("the answer to a sync holds no records")
	}
	return frame.GetRecords(), nil
}

// Feed is a stream on which a peer sends store records now and after each change.
type Feed struct {
	stream net.Conn
	reader *wire.Reader
}

// Follow opens a feed. The end of the context closes it; onArrival is told of each arrival.
func Follow(ctx context.Context, s *Session, follow *wire.Follow, onArrival func()) (*Feed, error) {
	stream, err := s.Open()
	if err != nil {
		return nil, err
	}
	CloseOnDone(ctx, stream)
	if err := wire.WriteFrame(stream, &wire.Frame{Body: &wire.Frame_Follow{Follow: follow}}); err != nil {
		_ = stream.Close()
		return nil, err
	}
	return &Feed{stream: stream, reader: wire.NewReader(&arrivals{Conn: stream, onArrival: onArrival})}, nil
}

// Next waits for the next records.
func (f *Feed) Next() (*wire.Records, error) {
	frame, err := f.reader.Next()
	if err != nil {
		return nil, err
	}
	if frame.GetRecords() == nil {
		return nil, ErrLink.New("a feed brought no records")
	}
	return frame.GetRecords(), nil
}

// Close ends the feed.
func (f *Feed) Close() { _ = f.stream.Close() }

// Produce has a peer make the results of a stage and waits until they are made or given up.
// The end of the context closes the stream, which tells the peer to cancel.
func Produce(ctx context.Context, s *Session, produce *wire.Produce) (*wire.Produced, error) {
	frame, err := exchange(ctx, s, &wire.Frame{Body: &wire.Frame_Produce{Produce: produce}})
	if err != nil {
		return nil, err
	}
	if frame.GetProduced() == nil {
		return nil, ErrLink.New("the answer to a produce holds no outcome")
	}
	return frame.GetProduced(), nil
}

// Discard tells a peer that results are of no use any more.
func Discard(s *Session, discard *wire.Discard) error {
	return tell(s, &wire.Frame{Body: &wire.Frame_Discard{Discard: discard}})
}

// tell sends what is not answered.
func tell(s *Session, frame *wire.Frame) error {
	stream, err := s.Open()
	if err != nil {
		return err
	}
	defer func() { _ = stream.Close() }()
	return wire.WriteFrame(stream, frame)
}

// TellCrash tells a peer that a request ended with its server, and returns its word on the request.
func TellCrash(ctx context.Context, s *Session, crash *wire.Crash) (*wire.CrashNoted, error) {
	frame, err := exchange(ctx, s, &wire.Frame{Body: &wire.Frame_Crash{Crash: crash}})
	if err != nil {
		return nil, err
	}
	if frame.GetCrashNoted() == nil {
		return nil, ErrLink.New("the answer to a crash says nothing of the request")
	}
	return frame.GetCrashNoted(), nil
}

// TellServed tells a peer that a request was served.
func TellServed(s *Session, served *wire.Served) error {
	return tell(s, &wire.Frame{Body: &wire.Frame_Served{Served: served}})
}

// Assignment is an open question about one request's engine.
type Assignment struct {
	stream net.Conn
	Answer *wire.Assigned
}

// Assign asks a peer for an engine; the assignment is to be closed when the engine has ended the request.
func Assign(ctx context.Context, s *Session, assign *wire.Assign) (*Assignment, error) {
	stream, err := s.Open()
	if err != nil {
		return nil, err
	}
	stop := CloseOnDone(ctx, stream)
	frame, err := ask(stream, &wire.Frame{Body: &wire.Frame_Assign{Assign: assign}})
	if !stop() && err == nil {
		err = ctx.Err()
	}
	if err == nil && frame.GetAssigned() == nil {
		err = ErrLink.New("the answer to an assign names no server")
	}
	if err != nil {
		_ = stream.Close()
		return nil, err
	}
	return &Assignment{stream: stream, Answer: frame.GetAssigned()}, nil
}

// Tell tells the peer how far the request is. A peer that has gone needs no news.
func (a *Assignment) Tell(state string) {
	_ = wire.WriteFrame(a.stream, &wire.Frame{Body: &wire.Frame_Progress{Progress: &wire.Progress{State: state}}})
}

// Close ends the assignment.
func (a *Assignment) Close() { _ = a.stream.Close() }

func ask(stream net.Conn, frame *wire.Frame) (*wire.Frame, error) {
	if err := wire.WriteFrame(stream, frame); err != nil {
		return nil, err
	}
	return wire.NewReader(stream).Next()
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
	return ask(stream, frame)
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
