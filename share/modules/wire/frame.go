// Package wire holds the messages between the system's own processes and
// reads and writes them as length-delimited protobuf frames.
package wire

import (
	"bufio"
	"io"
	"slices"
	"sync"

	"github.com/zeebo/errs"
	"google.golang.org/protobuf/encoding/protodelim"
	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/proto"
)

// Version is the protocol version that Hello carries.
const Version = 1

// MaxFrameBytes limits the size of one frame; a larger one ends the stream.
const MaxFrameBytes = 8 << 20

// ErrFrame is the class of errors of reading and writing frames.
var ErrFrame = errs.Class("frame") //nolint:gochecknoglobals // an error class is a constant in all but syntax

// FrameObserver is implemented by streams that count their frames. ObserveFrame receives the name of the
// frame's body and the encoded size of the frame in bytes.
type FrameObserver interface {
	ObserveFrame(sent bool, body string, bytes int)
}

// bodyName returns the name of the field that the body of a frame has, or an empty string.
func bodyName(frame *Frame) string {
	message := frame.ProtoReflect()
	field := message.WhichOneof(message.Descriptor().Oneofs().Get(0))
	if field == nil {
		return ""
	}
	return string(field.Name())
}

// Reader reads frames from one stream.
type Reader struct {
	buffer  *bufio.Reader
	options protodelim.UnmarshalOptions
	// observer is nil if the stream counts no frames.
	observer FrameObserver
}

// NewReader returns a Reader on r.
func NewReader(r io.Reader) *Reader {
	observer, _ := r.(FrameObserver)
	return &Reader{
		buffer:   bufio.NewReader(r),
		options:  protodelim.UnmarshalOptions{MaxSize: MaxFrameBytes},
		observer: observer,
	}
}

// Next reads the next frame; io.EOF means that the peer closed the stream between frames.
func (r *Reader) Next() (*Frame, error) {
	frame := &Frame{}
	err := r.options.UnmarshalFrom(r.buffer, frame)
	if err == io.EOF { //nolint:errorlint // protodelim returns the bare value for a clean end only
		return nil, io.EOF
	}
	if err != nil {
		return nil, ErrFrame.Wrap(err)
	}
	if r.observer != nil {
		r.observer.ObserveFrame(false, bodyName(frame), proto.Size(frame))
	}
	return frame, nil
}

// buffers holds the encode buffers of WriteFrame between two calls.
var buffers = sync.Pool{New: func() any { return new([]byte) }} //nolint:gochecknoglobals // a pool is shared by its nature

// maxPooledBytes keeps a rare large frame from pinning its buffer.
const maxPooledBytes = 64 << 10

// pieceBytes bounds one Write. yamux shows a reader none of a write before all of it has
// arrived, and other streams send nothing in between.
const pieceBytes = 4 << 10

// WriteFrame writes one frame to w. Most frames take a single Write, which makes them a single yamux frame too.
func WriteFrame(w io.Writer, frame *Frame) error {
	pooled, _ := buffers.Get().(*[]byte)
	size := proto.Size(frame)
	encoded := protowire.AppendVarint((*pooled)[:0], uint64(size)) //nolint:gosec // a size is not negative
	encoded, err := proto.MarshalOptions{UseCachedSize: true}.MarshalAppend(encoded, frame)
	if err == nil {
		err = writePieces(w, encoded)
	}
	if cap(encoded) <= maxPooledBytes {
		*pooled = encoded
	}
	buffers.Put(pooled)
	if observer, observes := w.(FrameObserver); observes && err == nil {
		observer.ObserveFrame(true, bodyName(frame), size)
	}
	return ErrFrame.Wrap(err)
}

func writePieces(w io.Writer, encoded []byte) error {
	for piece := range slices.Chunk(encoded, pieceBytes) {
		if _, err := w.Write(piece); err != nil {
			return err
		}
	}
	return nil
}
