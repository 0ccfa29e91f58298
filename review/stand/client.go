package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// sent is one client attempt and what came back.
type sent struct {
	attempt string
	ingress string
	at      time.Duration
	status  int
	body    string
	err     error
}

// clients sends requests, each on a connection of its own.
type clients struct {
	journal *journal
	lock    sync.Mutex
	list    []sent
	count   int
}

// send sends one request and waits for its answer.
func (c *clients) send(to *ingress, method, host, path, body, key string, deadline time.Duration) sent {
	c.lock.Lock()
	c.count++
	one := sent{attempt: fmt.Sprintf("%016x", 0x1c41d07b00000000+c.count), ingress: to.name, at: c.journal.now()}
	c.lock.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), deadline)
	defer cancel()
	c.journal.add("sent      %s to %s: %s %s", one.attempt, to.name, method, path)
	request, err := http.NewRequestWithContext(ctx, method, "http://"+to.callers+"/", strings.NewReader(body))
	if err != nil {
		fail("request: %v", err)
	}
	request.URL.Path = path // in the request line as it is, with all its slashes
	request.Host = host
	request.Header.Set("X-Verbenaroad-Attempt-Id", one.attempt)
	request.Header.Set("X-Verbenaroad-Deadline-Ms", fmt.Sprint(deadline.Milliseconds()))
	request.Header.Set("X-Verbenaroad-Key", key)
	transport := &http.Transport{DisableKeepAlives: true, DisableCompression: true, DialContext: (&net.Dialer{Timeout: time.Second}).DialContext}
	response, err := transport.RoundTrip(request)
	if err == nil {
		var answer []byte
		answer, err = io.ReadAll(response.Body)
		_ = response.Body.Close()
		one.status, one.body = response.StatusCode, string(answer)
	}
	one.err = err
	c.journal.add("answered  %s by %s: %d %q %v", one.attempt, to.name, one.status, one.body, err)
	c.lock.Lock()
	c.list = append(c.list, one)
	c.lock.Unlock()
	return one
}
