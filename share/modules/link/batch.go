package link

import (
	"bufio"
	"net"
	"sync"
	"time"
)

const (
	// readBufferBytes allows one system call to read the frames of many streams.
	readBufferBytes = 16 << 10
	// maxPendingBytes is the size of the pending data above which writers block. Heartbeats are queued
	// behind the pending data.
	maxPendingBytes = 64 << 10
	// closeFlushTimeout limits the time for writing the pending data at the close.
	closeFlushTimeout = time.Second
)

// batchConn combines the small writes of many streams: data written while a system call is running
// is sent together by the next one. yamux alone makes two system calls for each frame.
type batchConn struct {
	net.Conn
	reader *bufio.Reader
	// onReadEnd is called after each failed read, before Read returns the error.
	onReadEnd func()

	lock sync.Mutex
	// changed is signaled when data is added to pending, when a write has ended, and when readFailed
	// or closed changes.
	changed *sync.Cond
	// readFailed is set once a read has failed before the close.
	readFailed bool
	// pending is the data to write next; writing is the data that loopWrite is writing.
	pending []byte
	writing []byte
	// writeFailed is set once a write has failed. Later data is dropped.
	writeFailed bool
	closed      bool
	// ended is closed after the connection is, when the pending data has been written or dropped.
	ended chan struct{}
}

func newBatchConn(conn net.Conn, onReadEnd func()) *batchConn {
	c := &batchConn{
		Conn: conn, reader: bufio.NewReaderSize(conn, readBufferBytes), onReadEnd: onReadEnd, ended: make(chan struct{}),
	}
	c.changed = sync.NewCond(&c.lock)
	go c.loopWrite()
	return c
}

// Read reads from the connection. A connection whose reads have failed accepts no more writes
// either, so its pending data is dropped at the close.
func (c *batchConn) Read(p []byte) (int, error) {
	n, err := c.reader.Read(p)
	if err != nil {
		c.lock.Lock()
		c.readFailed = c.readFailed || !c.closed // after the close reads fail because of its deadline
		c.changed.Broadcast()
		c.lock.Unlock()
		c.onReadEnd()
	}
	return n, err
}

// Write adds p to the pending data, and waits while too much is pending. It returns no error: if
// the connection has failed or is closed, p is dropped, and reads fail.
//
// An error here would make yamux's sender mark the session as shut down while reads are still
// blocked, and these would take a whole core (see streams). Without an error this is left to
// yamux's receiver, whose failed read ends the reads of the streams first.
func (c *batchConn) Write(p []byte) (int, error) {
	c.lock.Lock()
	defer c.lock.Unlock()
	for len(c.pending) > maxPendingBytes && !c.writeFailed && !c.closed {
		c.changed.Wait()
	}
	if c.writeFailed || c.closed {
		return len(p), nil
	}
	c.pending = append(c.pending, p...)
	c.changed.Broadcast()
	return len(p), nil
}

// loopWrite writes the pending data until the connection fails or is closed. It closes the
// underlying connection after the close of c.
func (c *batchConn) loopWrite() {
	defer close(c.ended)
	for c.nextBatch() {
		_, err := c.Conn.Write(c.writing)
		c.finishWrite(err)
	}
	c.waitForClose()
	_ = c.Conn.Close()
}

// waitForClose waits for the close, which may be still to come after a failed write.
func (c *batchConn) waitForClose() {
	c.lock.Lock()
	defer c.lock.Unlock()
	for !c.closed {
		c.changed.Wait()
	}
}

// nextBatch waits for pending data and moves it into writing. It returns false if nothing more is
// to be written.
func (c *batchConn) nextBatch() bool {
	c.lock.Lock()
	defer c.lock.Unlock()
	for len(c.pending) == 0 && !c.closed && !c.writeFailed {
		c.changed.Wait()
	}
	if c.writeFailed || len(c.pending) == 0 || c.closed && c.readFailed {
		return false
	}
	c.pending, c.writing = c.writing[:0], c.pending
	return true
}

// finishWrite records the result of a write. After an error it makes reads fail, so that yamux's
// receiver ends the session.
func (c *batchConn) finishWrite(err error) {
	c.lock.Lock()
	defer c.lock.Unlock()
	if cap(c.writing) > maxPendingBytes {
		c.writing = nil
	}
	if err != nil {
		c.writeFailed = true
		_ = c.SetReadDeadline(time.Now())
	}
	c.changed.Broadcast()
}

// Close ends reads and returns at once. loopWrite then writes the pending data, at most for
// closeFlushTimeout and not at all if reads had failed before, and closes the underlying
// connection.
//
// Close must not wait: yamux calls it when the session is marked as shut down and its streams are
// still open, and until it returns each blocked read takes a whole core (see streams).
func (c *batchConn) Close() error {
	c.lock.Lock()
	defer c.lock.Unlock()
	if c.closed {
		return nil
	}
	c.closed = true
	c.changed.Broadcast()
	now := time.Now()
	_ = c.SetReadDeadline(now)
	if c.readFailed {
		return c.SetWriteDeadline(now)
	}
	return c.SetWriteDeadline(now.Add(closeFlushTimeout))
}

// waitEnded waits until the underlying connection is closed.
func (c *batchConn) waitEnded() { <-c.ended }
