// Package events reads streams of events (text/event-stream).
package events

import "bytes"

// eventEnd ends an event.
const eventEnd = "\n\n"

// Reader splits what arrives of one run of a stream into events.
type Reader struct {
	// pending is what has arrived of the event that is not complete yet.
	pending []byte
	// count is the number of complete events, firstID and lastID are the IDs of the first and the last of them that have
	// one; empty: none has.
	count           int
	firstID, lastID string
}

// NewReader returns a reader of a run that has brought nothing yet.
func NewReader() *Reader { return &Reader{} }

// Add returns the events that data completes, which are valid until the next call.
func (r *Reader) Add(data []byte) (complete []byte) {
	r.pending = append(r.pending, data...)
	n := bytes.LastIndex(r.pending, []byte(eventEnd))
	if n < 0 {
		return nil
	}
	n += len(eventEnd)
	complete = r.pending[:n]
	r.pending = append([]byte{}, r.pending[n:]...)
	r.observe(complete)
	return complete
}

func (r *Reader) observe(complete []byte) {
	r.count += bytes.Count(complete, []byte(eventEnd))
	for line := range bytes.SplitSeq(complete, []byte("\n")) {
		id, found := bytes.CutPrefix(line, []byte("id:"))
		if !found {
			continue
		}
		r.lastID = string(bytes.TrimSpace(id))
		if r.firstID == "" {
			r.firstID = r.lastID
		}
	}
}

// IsInside reports whether a part of an event has arrived that is not complete.
func (r *Reader) IsInside() bool { return len(r.pending) > 0 }

// Pending returns the number of bytes that have arrived of an event that is not complete.
func (r *Reader) Pending() int { return len(r.pending) }

// Count returns the number of complete events.
func (r *Reader) Count() int { return r.count }

// FirstID and LastID return the IDs of the first and the last complete event that has one; empty: none has.
func (r *Reader) FirstID() string { return r.firstID }

// LastID is described at FirstID.
func (r *Reader) LastID() string { return r.lastID }
