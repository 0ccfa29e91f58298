package link

import (
	"context"
	"net"
	"time"

	"verbenaroad.example/share/modules/wire"
)

// FetchChunks requests configuration from a peer and waits for the answer.
func FetchChunks(ctx context.Context, s *Session, fetch *wire.Fetch) (*wire.Chunks, error) {
	frame, err := exchange(ctx, s, &wire.Frame{Body: &wire.Frame_Fetch{Fetch: fetch}})
	if err != nil {
		return nil, err
	}
	if frame.GetChunks() == nil {
		return nil, ErrLink.New("the answer to a fetch request is not a chunks frame")
	}
	return frame.GetChunks(), nil
}

// RequestTombstone asks an agent to tombstone a claimed attempt, which can then never start. It
// returns what became of the attempt: one that has started is not tombstoned.
func RequestTombstone(ctx context.Context, s *Session, request *wire.Ask) (*wire.Told, error) {
	frame, err := exchange(ctx, s, &wire.Frame{Body: &wire.Frame_Ask{Ask: request}})
	if err != nil {
		return nil, err
	}
	if frame.GetTold() == nil {
		return nil, ErrLink.New("the answer to a tombstone request is not a told frame")
	}
	return frame.GetTold(), nil
}

// Sync requests the store records that a peer has and this process lacks. It fails if no data
// arrives for stallTimeout. onArrival is called whenever data arrives.
func Sync(ctx context.Context, s *Session, sync *wire.Sync, stallTimeout time.Duration, onArrival func()) (*wire.Records, error) {
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
	frame, err := wire.NewReader(&stallConn{Conn: stream, stallTimeout: stallTimeout, onArrival: onArrival}).Next()
	if err != nil {
		return nil, err
	}
	if frame.GetRecords() == nil {
		return nil, ErrLink.New("the answer to a sync request is not a records frame")
	}
	return frame.GetRecords(), nil
}

// Feed is a stream on which a peer sends the store records that this process lacks, at the start
// and after each change.
type Feed struct {
	stream net.Conn
	reader *wire.Reader
}

// Follow opens a feed, which is closed when the context ends. onArrival is called whenever data
// arrives.
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
	return &Feed{stream: stream, reader: wire.NewReader(&stallConn{Conn: stream, onArrival: onArrival})}, nil
}

// Next waits for the next records.
func (f *Feed) Next() (*wire.Records, error) {
	frame, err := f.reader.Next()
	if err != nil {
		return nil, err
	}
	if frame.GetRecords() == nil {
		return nil, ErrLink.New("the feed sent a frame that is not a records frame")
	}
	return frame.GetRecords(), nil
}

// Close closes the feed.
func (f *Feed) Close() { _ = f.stream.Close() }

// Produce makes a peer produce the results of a stage, and waits until they are produced or the job
// is dropped. When the context ends the stream is closed, which cancels the job at the peer.
func Produce(ctx context.Context, s *Session, produce *wire.Produce) (*wire.Produced, error) {
	frame, err := exchange(ctx, s, &wire.Frame{Body: &wire.Frame_Produce{Produce: produce}})
	if err != nil {
		return nil, err
	}
	if frame.GetProduced() == nil {
		return nil, ErrLink.New("the answer to a produce request is not a produced frame")
	}
	return frame.GetProduced(), nil
}

// Discard makes a peer release results that are no longer needed. It does not wait for an answer.
func Discard(s *Session, discard *wire.Discard) error {
	return send(s, &wire.Frame{Body: &wire.Frame_Discard{Discard: discard}})
}

// send sends a frame that has no answer, on a stream of its own.
func send(s *Session, frame *wire.Frame) error {
	stream, err := s.Open()
	if err != nil {
		return err
	}
	defer func() { _ = stream.Close() }()
	return wire.WriteFrame(stream, frame)
}

// ReportCrash reports to a peer that an attempt of a request ended because its server crashed. The
// answer reports whether the request is quarantined.
func ReportCrash(ctx context.Context, s *Session, crash *wire.Crash) (*wire.CrashNoted, error) {
	frame, err := exchange(ctx, s, &wire.Frame{Body: &wire.Frame_Crash{Crash: crash}})
	if err != nil {
		return nil, err
	}
	if frame.GetCrashNoted() == nil {
		return nil, ErrLink.New("the answer to a crash report is not a crash-noted frame")
	}
	return frame.GetCrashNoted(), nil
}

// ReportPartCrash reports to a peer that a server crashed before it answered a request whose prompt has
// parts. The answer names the parts that are quarantined.
func ReportPartCrash(ctx context.Context, s *Session, crash *wire.PartCrash) (*wire.PartCrashNoted, error) {
	frame, err := exchange(ctx, s, &wire.Frame{Body: &wire.Frame_PartCrash{PartCrash: crash}})
	if err != nil {
		return nil, err
	}
	if frame.GetPartCrashNoted() == nil {
		return nil, ErrLink.New("the answer to a report of prompt parts is not a part-crash-noted frame")
	}
	return frame.GetPartCrashNoted(), nil
}

// ReportServed reports to a peer that a request was served. It does not wait for an answer.
func ReportServed(s *Session, served *wire.Served) error {
	return send(s, &wire.Frame{Body: &wire.Frame_Served{Served: served}})
}

// SendMemos makes a peer keep facts about requests. It does not wait for an answer.
func SendMemos(s *Session, memos *wire.Memos) error {
	return send(s, &wire.Frame{Body: &wire.Frame_Memos{Memos: memos}})
}

// Recall asks a peer for a fact about a request.
func Recall(ctx context.Context, s *Session, recall *wire.Recall) (*wire.Recalled, error) {
	frame, err := exchange(ctx, s, &wire.Frame{Body: &wire.Frame_Recall{Recall: recall}})
	if err != nil {
		return nil, err
	}
	if frame.GetRecalled() == nil {
		return nil, ErrLink.New("the answer to a recall is not a recalled frame")
	}
	return frame.GetRecalled(), nil
}

// Assignment is a request's assignment to an engine by a peer. Its stream stays open while the
// engine has the request.
type Assignment struct {
	stream net.Conn
	Answer *wire.Assigned
}

// Assign asks a peer to assign an engine to a request. The caller closes the assignment once the
// engine has ended the request.
func Assign(ctx context.Context, s *Session, assign *wire.Assign) (*Assignment, error) {
	stream, err := s.Open()
	if err != nil {
		return nil, err
	}
	stop := CloseOnDone(ctx, stream)
	frame, err := roundTrip(stream, &wire.Frame{Body: &wire.Frame_Assign{Assign: assign}})
	if !stop() && err == nil {
		err = ctx.Err()
	}
	if err == nil && frame.GetAssigned() == nil {
		err = ErrLink.New("the answer to an assign request is not an assigned frame")
	}
	if err != nil {
		_ = stream.Close()
		return nil, err
	}
	return &Assignment{stream: stream, Answer: frame.GetAssigned()}, nil
}

// Report reports the request's progress to the peer. A write error is ignored, because a peer that
// is gone does not need the report.
func (a *Assignment) Report(progress *wire.Progress) {
	_ = wire.WriteFrame(a.stream, &wire.Frame{Body: &wire.Frame_Progress{Progress: progress}})
}

// Close closes the stream, which ends the assignment.
func (a *Assignment) Close() { _ = a.stream.Close() }

// roundTrip sends a frame and reads the frame that answers it.
func roundTrip(stream net.Conn, frame *wire.Frame) (*wire.Frame, error) {
	if err := wire.WriteFrame(stream, frame); err != nil {
		return nil, err
	}
	return wire.NewReader(stream).Next()
}

// exchange sends a frame on a stream of its own and waits for the answer. When the context ends it
// closes the stream: each call needs its own deadline, because yamux's acknowledgements belong to
// the session and not to the call.
func exchange(ctx context.Context, s *Session, frame *wire.Frame) (*wire.Frame, error) {
	stream, err := s.Open()
	if err != nil {
		return nil, err
	}
	defer func() { _ = stream.Close() }()
	stop := CloseOnDone(ctx, stream)
	defer stop()
	return roundTrip(stream, frame)
}

// CloseOnDone closes the stream when the context ends. The returned function detaches the stream
// from the context. A read that is blocked on a closed yamux stream still waits for the peer to
// answer, so it is ended with a read deadline.
func CloseOnDone(ctx context.Context, stream net.Conn) func() bool {
	return context.AfterFunc(ctx, func() {
		_ = stream.SetReadDeadline(time.Unix(1, 0))
		_ = stream.Close()
	})
}
