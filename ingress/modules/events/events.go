// Package events reads streams of events (text/event-stream).
package events

import (
	"bytes"
	"fmt"
	"strconv"
)

// OrderError means that the ID of an event is not after that of an earlier one.
type OrderError struct{ ID, LastID string }

func (e *OrderError) Error() string {
	return fmt.Sprintf("event %s came after event %s", e.ID, e.LastID)
}

// Reader splits what arrives of one run of a stream into events. The IDs of events increase; those that are no numbers
// are not compared.
type Reader struct {
	// buffer is what has arrived from the first event that the last call of Add returned. The first complete bytes of it
	// are these events.
	buffer   []byte
	complete int
	// count is the number of complete events, firstID the ID of the first of them that has one; empty: none has.
	count   int
	firstID string
	// lastID is the ID of the last event of this run, or of the run before if this one has brought no ID yet.
	lastID string
	// isUnnumbered is set while an event with data but no ID has come after the one with the last ID.
	isUnnumbered bool
}

// NewReader returns a reader of a run that goes on after the event with the ID lastID; empty: it begins the stream.
func NewReader(lastID string) *Reader { return &Reader{lastID: lastID} }

// Add returns the events that data completes, which are valid until the next call. It returns an OrderError if an event
// is out of order, with the events before that one.
func (r *Reader) Add(data []byte) (complete []byte, err error) {
	r.buffer = append(append(r.buffer[:0], r.buffer[r.complete:]...), data...)
	r.complete = 0
	for {
		event := firstEvent(r.buffer[r.complete:])
		if len(event) == 0 {
			break
		}
		if err = r.observe(event); err != nil {
			break
		}
		r.complete += len(event)
	}
	return r.buffer[:r.complete], err
}

// firstEvent returns the first event of data with the blank line that ends it, or nothing if it is not complete. Lines end
// with a line feed, with or without a carriage return.
func firstEvent(data []byte) []byte {
	for n := 0; ; {
		i := bytes.IndexByte(data[n:], '\n')
		if i < 0 {
			return nil
		}
		n += i + 1
		switch {
		case bytes.HasPrefix(data[n:], []byte("\n")):
			return data[:n+1]
		case bytes.HasPrefix(data[n:], []byte("\r\n")):
			return data[:n+2]
		}
	}
}

func (r *Reader) observe(event []byte) error {
	id := eventID(event)
	if id != "" && !isAfter(id, r.lastID) {
		return &OrderError{ID: id, LastID: r.lastID}
	}
	r.count++
	if id == "" {
		r.isUnnumbered = r.isUnnumbered || hasData(event)
		return nil
	}
	r.lastID, r.isUnnumbered = id, false
	if r.firstID == "" {
		r.firstID = id
	}
	return nil
}

// eventID returns the ID of an event; empty: it has none.
func eventID(event []byte) string {
	id := []byte{}
	for line := range bytes.SplitSeq(event, []byte("\n")) {
		if value, found := bytes.CutPrefix(line, []byte("id:")); found {
			id = bytes.TrimSpace(value)
		}
	}
	return string(id)
}

// hasData reports whether an event is more than a comment.
func hasData(event []byte) bool {
	return bytes.HasPrefix(event, []byte("data")) || bytes.Contains(event, []byte("\ndata"))
}

// isAfter reports whether an event may follow the one with the ID lastID.
func isAfter(id, lastID string) bool {
	n, err := strconv.ParseUint(id, 10, 64)
	last, lastErr := strconv.ParseUint(lastID, 10, 64)
	return err != nil || lastErr != nil || n > last
}

// Pending returns the number of bytes that have arrived of an event that is not complete.
func (r *Reader) Pending() int { return len(r.buffer) - r.complete }

// Rest returns what has arrived behind the last complete event. IsInside reports whether that is a part of an event, and not
// only line ends.
func (r *Reader) Rest() []byte { return r.buffer[r.complete:] }

// IsInside is described at Rest.
func (r *Reader) IsInside() bool { return len(bytes.Trim(r.Rest(), "\r\n")) > 0 }

// Count returns the number of complete events.
func (r *Reader) Count() int { return r.count }

// FirstID returns the ID of the first complete event that has one; empty: none has.
func (r *Reader) FirstID() string { return r.firstID }

// CanGoOn reports whether another run that goes on after the last ID repeats nothing that this one has brought.
func (r *Reader) CanGoOn() bool { return !r.isUnnumbered }

// LastID returns the ID of the event after which the stream goes on if this run breaks off now; empty: it begins.
func (r *Reader) LastID() string { return r.lastID }
