package main

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"
)

const (
	host = "kits.example"
	key  = "9dnn2ctnfzs989anu6ws"
)

// request is one client attempt.
type request struct {
	method, path, id, key, body string
	deadline                    time.Duration
	header                      map[string]string
}

// answer is what a client got.
type answer struct {
	status int
	header http.Header
	body   string
	err    error
}

func (a answer) String() string {
	if a.err != nil {
		return fmt.Sprintf("status %d, then %v", a.status, a.err)
	}
	return fmt.Sprintf("status %d", a.status)
}

// connection is a client's connection, which may be used for several requests.
type connection struct {
	conn   net.Conn
	reader *bufio.Reader
}

func dial(address string) (*connection, error) {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return nil, err
	}
	return &connection{conn: conn, reader: bufio.NewReader(conn)}, nil
}

func (c *connection) close() { _ = c.conn.Close() }

// write sends a request.
func (c *connection) write(q request) (*http.Request, error) {
	if q.deadline == 0 {
		q.deadline = 5 * time.Second
	}
	r, err := http.NewRequestWithContext(context.Background(), q.method, "http://"+host+q.path, strings.NewReader(q.body))
	if err != nil {
		return nil, err
	}
	r.Header.Set("X-Verbenaroad-Attempt-Id", q.id)
	r.Header.Set("X-Verbenaroad-Deadline-Ms", strconv.FormatInt(q.deadline.Milliseconds(), 10))
	r.Header.Set("X-Verbenaroad-Key", q.key)
	for name, value := range q.header {
		r.Header.Set(name, value)
	}
	encoded := &bytes.Buffer{}
	if err := r.Write(encoded); err != nil {
		return nil, err
	}
	_, err = c.conn.Write(encoded.Bytes())
	return r, err
}

// send sends a request and reads its answer. Each part of it is passed to onPart, if that is set.
func (c *connection) send(q request, onPart func(text string)) answer {
	r, err := c.write(q)
	if err != nil {
		return answer{err: err}
	}
	_ = c.conn.SetReadDeadline(time.Now().Add(q.deadline + 2*time.Second))
	response, err := http.ReadResponse(c.reader, r)
	if err != nil {
		return answer{err: err}
	}
	a := answer{status: response.StatusCode, header: response.Header}
	buffer := make([]byte, 4096)
	for {
		n, err := response.Body.Read(buffer)
		a.body += string(buffer[:n])
		if n > 0 && onPart != nil {
			onPart(a.body)
		}
		if errors.Is(err, io.EOF) {
			return a
		}
		if err != nil {
			a.err = err
			return a
		}
	}
}

// send sends a request on a connection of its own.
func (w *world) send(i *ingress, q request) answer {
	c, err := dial(i.callers)
	if err != nil {
		w.log("client: %s %s at %s: no connection (%v)", q.id, q.path, i.name, err)
		return answer{err: err}
	}
	defer c.close()
	a := c.send(q, nil)
	w.log("client: %s %s at %s: %v", q.id, q.path, i.name, a)
	return a
}
