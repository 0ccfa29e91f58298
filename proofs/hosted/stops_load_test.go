package hosted_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"sync"
	"time"

	"verbenaroad.example/share/modules/pauses"
)

const (
	// checkPeriod is the time between two readiness checks of the load balancer. After maxMisses failed ones in a row an
	// ingress receives no new connections.
	checkPeriod = time.Second
	maxMisses   = 2
	// connectTimeout is how long a caller waits for a new connection.
	connectTimeout = time.Second
	// maxTries limits how often a caller sends a request that is refused.
	maxTries = 3
)

// balancer checks the readiness of the ingresses and selects one for each new connection.
type balancer struct {
	ingresses []*ingress

	lock   sync.Mutex
	misses []int
}

func newBalancer(ingresses []*ingress) *balancer {
	return &balancer{ingresses: ingresses, misses: make([]int, len(ingresses))}
}

func (b *balancer) loop(ctx context.Context) {
	for {
		for n, i := range b.ingresses {
			ready := i.isReady()
			b.lock.Lock()
			b.misses[n]++
			if ready {
				b.misses[n] = 0
			}
			b.lock.Unlock()
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(checkPeriod):
		}
	}
}

// pick returns the number of an ingress that receives a new connection.
func (b *balancer) pick(random *rand.Rand) int {
	b.lock.Lock()
	defer b.lock.Unlock()
	in := []int{}
	for n, misses := range b.misses {
		if misses < maxMisses {
			in = append(in, n)
		}
	}
	if 2*len(in) < len(b.ingresses) {
		return random.IntN(len(b.ingresses))
	}
	return in[random.IntN(len(in))]
}

// attempt is one attempt of a request, on a connection that may have been used before.
type attempt struct {
	request request
	// ingress is the number of the ingress that received it; -1: no connection was established.
	ingress int
	// sentAt is when its last byte was sent, endedAt when its answer or its connection ended.
	sentAt  time.Time
	endedAt time.Time
	answer  answer
	// left is set if the caller left before its end.
	left bool
}

// keptCaller sends requests, one after the other, and keeps its connection until an ingress closes it.
type keptCaller struct {
	balancer *balancer
	random   *rand.Rand
	// newRequest returns the next request, and pause is how long the caller waits after each answer.
	newRequest func() request
	pause      time.Duration
	// bodyTime is how long the caller takes to send the body.
	bodyTime time.Duration

	conn    net.Conn
	reader  *bufio.Reader
	ingress int
	// attempts are those so far.
	attempts []attempt
}

// run sends requests until the context ends.
func (c *keptCaller) run(ctx context.Context, ended *sync.WaitGroup) {
	defer ended.Done()
	for ctx.Err() == nil {
		q := c.newRequest()
		for range maxTries {
			a := c.try(ctx, q)
			c.attempts = append(c.attempts, a)
			wait, refused := readRefusal(a.answer)
			if !refused {
				break
			}
			c.disconnect() // the next try meets another ingress
			pauses.Wait(ctx, wait)
			q.id = newRequest("").id
		}
		pauses.Wait(ctx, time.Duration(c.random.Int64N(int64(c.pause)+1)))
	}
	c.disconnect()
}

// readRefusal reports whether an answer is a refusal, and returns the time after which the caller may return.
func readRefusal(a answer) (wait time.Duration, refused bool) {
	if a.err != nil || a.status != http.StatusServiceUnavailable {
		return 0, false
	}
	seconds, err := strconv.ParseFloat(a.header.Get("Retry-After"), 64)
	return time.Duration(seconds * float64(time.Second)), err == nil
}

func (c *keptCaller) connect() error {
	if c.conn != nil {
		return nil
	}
	c.ingress = c.balancer.pick(c.random)
	conn, err := net.DialTimeout("tcp", c.address().String(), connectTimeout)
	if err != nil {
		c.ingress = -1
		return err
	}
	c.conn, c.reader = conn, bufio.NewReader(conn)
	return nil
}

func (c *keptCaller) address() netip.AddrPort { return c.balancer.ingresses[c.ingress].callerAddress }

func (c *keptCaller) disconnect() {
	if c.conn != nil {
		_ = c.conn.Close()
		c.conn = nil
	}
}

// try sends a request once and reads its answer.
func (c *keptCaller) try(ctx context.Context, q request) attempt {
	a := attempt{request: q}
	startedAt := time.Now()
	err := c.connect()
	a.ingress = c.ingress
	if err != nil {
		time.Sleep(pollInterval)
		a.answer.err = err
		return a
	}
	_ = c.conn.SetDeadline(startedAt.Add(q.callerTimeout + time.Second))
	leaving := leaver{conn: c.conn}
	defer context.AfterFunc(ctx, leaving.run)()
	err = c.write(q)
	a.sentAt = time.Now()
	if err == nil {
		a.answer, err = c.read()
	}
	a.endedAt = time.Now()
	a.answer.err = err
	a.left = ctx.Err() != nil
	a.answer.took = a.endedAt.Sub(startedAt)
	if err != nil || a.answer.header.Get("Connection") == "close" {
		c.disconnect()
	}
	return a
}

// leaver ends an attempt on its connection.
type leaver struct{ conn net.Conn }

func (l leaver) run() { _ = l.conn.SetDeadline(time.Now()) }

func (c *keptCaller) write(q request) error {
	head := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nX-Verbenaroad-Attempt-Id: %s\r\nX-Verbenaroad-Deadline-Ms: %d\r\nX-Verbenaroad-Key: %s\r\nContent-Length: %d\r\n",
		q.method, q.target, host, q.id, q.callerTimeout.Milliseconds(), q.key, len(q.body))
	for name, value := range q.header {
		head += name + ": " + value + "\r\n"
	}
	if c.bodyTime == 0 {
		_, err := io.WriteString(c.conn, head+"\r\n"+q.body)
		return err
	}
	half := len(q.body) / 2
	if _, err := io.WriteString(c.conn, head+"\r\n"+q.body[:half]); err != nil {
		return err
	}
	time.Sleep(c.bodyTime)
	_, err := io.WriteString(c.conn, q.body[half:])
	return err
}

func (c *keptCaller) read() (answer, error) {
	got, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return answer{}, err
	}
	defer func() { _ = got.Body.Close() }()
	if got.Close {
		got.Header.Set("Connection", "close")
	}
	body, err := io.ReadAll(got.Body)
	return answer{status: got.StatusCode, header: got.Header, body: string(body)}, err
}
