package link

import (
	"bufio"
	"net"
	"sync"
	"time"
)

const (
	// readBufferBytes lets one system call bring the frames of many streams.
	readBufferBytes = 16 << 10
	// maxPendingBytes holds writers back when the connection is slower than they are. Heartbeats
	// wait behind what is pending.
	maxPendingBytes = 64 << 10
	// closeFlush bounds writing out what is pending at the close.
	closeFlush = time.Second
)

// batchConn joins the small writes of many streams: while one system call
// runs, what is written meanwhile waits and goes out with the next. yamux
// alone takes two system calls for each frame.
type batchConn struct {
	net.Conn
	reader *bufio.Reader
	// onReadEnd is told of each read that brought an error, before its caller is.
	onReadEnd func()

	lock sync.Mutex
	// changed is signaled when pending, failed, readFailed or closed change.
	changed *sync.Cond
	// readFailed is set once a read brought an error before the close.
	readFailed bool
	// pending is not written yet; writing is the buffer that the loop is writing out.
	pending []byte
	writing []byte
	// failed is set once a write brought an error; what is written later is dropped.
	failed bool
	closed bool
	// ended is closed once the connection is, with what was pending written out or given up.
	ended chan struct{}
}

func newBatchConn(conn net.Conn, onReadEnd func()) *batchConn {
	c := &batchConn{
		Conn: conn, reader: bufio.NewReaderSize(conn, readBufferBytes), onReadEnd: onReadEnd, ended: make(chan struct{}),
	}
	c.changed = sync.NewCond(&c.lock)
	go c.loop()
	return c
}

// Read returns what has arrived. A connection that brings nothing more takes nothing
// more either, so what is pending is given up at its close.
func (c *batchConn) Read(p []byte) (int, error) {
	n, err := c.reader.Read(p)
	if err != nil {
		c.lock.Lock()
		c.readFailed = c.readFailed || !c.closed // the close itself ends reads
		c.changed.Broadcast()
		c.lock.Unlock()
		c.onReadEnd()
	}
	return n, err
}

// Write takes p over. It returns no error: where the connection fails or is closed, what is written
// is dropped, and reads end.
//
// Guards against readers that take a whole core, as streams do: after an error here yamux would mark
// its session as shut down by itself. It is left to its receiver, which ends the reads first.
func (c *batchConn) Write(p []byte) (int, error) {
	c.lock.Lock()
	defer c.lock.Unlock()
	for len(c.pending) > maxPendingBytes && !c.failed && !c.closed {
		c.changed.Wait()
	}
	if c.failed || c.closed {
		return len(p), nil
	}
	c.pending = append(c.pending, p...)
	c.changed.Broadcast()
	return len(p), nil
}

// loop writes out what is pending, and closes the connection in the end.
func (c *batchConn) loop() {
	defer close(c.ended)
	for c.take() {
		_, err := c.Conn.Write(c.writing)
		c.settle(err)
	}
	c.waitClose()
	_ = c.Conn.Close()
}

// waitClose waits for the close of a connection whose writes fail.
func (c *batchConn) waitClose() {
	c.lock.Lock()
	defer c.lock.Unlock()
	for !c.closed {
		c.changed.Wait()
	}
}

// take moves pending into writing; false once the connection is done.
func (c *batchConn) take() bool {
	c.lock.Lock()
	defer c.lock.Unlock()
	for len(c.pending) == 0 && !c.closed && !c.failed {
		c.changed.Wait()
	}
	if c.failed || len(c.pending) == 0 || c.closed && c.readFailed {
		return false
	}
	c.pending, c.writing = c.writing[:0], c.pending
	return true
}

func (c *batchConn) settle(err error) {
	c.lock.Lock()
	defer c.lock.Unlock()
	if cap(c.writing) > maxPendingBytes {
		c.writing = nil
	}
	if err != nil {
		c.failed = true
		_ = c.SetReadDeadline(time.Now())
	}
	c.changed.Broadcast()
}

// Close ends reads at once and returns; what is pending is written out, within a bound, and
// the connection closed, beside it.
//
// Guards against readers that take a whole core, as streams do: yamux calls it with its session marked as
// shut down and its streams open.
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
	return c.SetWriteDeadline(now.Add(closeFlush))
}

// wait waits until the connection is closed.
func (c *batchConn) wait() { <-c.ended }
