package hosted_test

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"verbenaroad.example/fakes/services/hosted"
)

const (
	// processMemory is the memory, in kilobytes, that the settings of the ingresses state.
	processMemory = 64 << 10
	// slowCallers is how many callers send or read slowly at once. It stays below the number of
	// connections that the settings allow.
	slowCallers = 40
	// slowBodyBytes is the length of each of their bodies, all of them together more than twice the
	// memory of the process. They never send the last tenth.
	slowBodyBytes = 3_600_000
	// slowAnswerBytes is the length of each answer that they do not read, more than the kernels buffer.
	slowAnswerBytes = 12_000_000
	// smallWindow is the receive buffer of a caller that does not read.
	smallWindow = 4096
)

// peakMemory returns the largest resident size of the process so far, in kilobytes.
func (i *ingress) peakMemory(t *testing.T) int {
	t.Helper()
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", i.command.Process.Pid))
	if err != nil {
		t.Fatal(err)
	}
	for _, line := range strings.Split(string(status), "\n") {
		if text, found := strings.CutPrefix(line, "VmHWM:"); found {
			size, err := strconv.Atoi(strings.TrimSuffix(strings.TrimSpace(text), " kB"))
			if err != nil {
				t.Fatal(err)
			}
			return size
		}
	}
	t.Fatal("the process has no peak size")
	return 0
}

// openRequest opens a connection with a small receive buffer and sends the head of a request and the
// given part of its body.
func (i *ingress) openRequest(t *testing.T, method, target string, length, sent int) net.Conn {
	t.Helper()
	dialer := net.Dialer{Control: shrinkWindow}
	conn, err := dialer.Dial("tcp", i.callerAddress.String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	_ = conn.SetDeadline(time.Now().Add(conditionTimeout))
	q := newRequest(target)
	head := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nX-Verbenaroad-Attempt-Id: %s\r\nX-Verbenaroad-Deadline-Ms: %d\r\n"+
		"X-Verbenaroad-Key: %s\r\nContent-Length: %d\r\n\r\n", method, target, host, q.id, q.callerTimeout.Milliseconds(), q.key, length)
	u := upload{conn: conn, data: append([]byte(head), make([]byte, sent)...)}
	go u.run()
	return conn
}

// shrinkWindow sets a small receive buffer before the connection is opened, so that the kernels of both
// ends buffer little.
func shrinkWindow(_, _ string, raw syscall.RawConn) error {
	var failed error
	err := raw.Control(func(fd uintptr) {
		failed = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, smallWindow)
	})
	return errors.Join(err, failed)
}

// upload writes data to a connection.
type upload struct {
	conn net.Conn
	data []byte
}

func (u upload) run() { _, _ = u.conn.Write(u.data) } // fails once the ingress refuses the rest

// Guards against a process that is killed because many callers send long bodies slowly. Bodies that do
// not fit are refused as not run, the others end with their time, and short requests are served.
func TestSlowUploadsDoNotExhaustTheMemory(t *testing.T) {
	is := is.New(t)
	d := newDeployment(t, 1)
	d.MaxBodyBytes = 2 * slowBodyBytes
	d.PutConfig(routes(), services(), tenants())
	i := d.ingresses[0]
	eventually(t, "a long body is allowed", func() bool {
		q := newRequest("/read/1")
		q.body = strings.Repeat("x", slowBodyBytes)
		return i.send(context.Background(), q).status == http.StatusOK
	})
	connections := []net.Conn{}
	for range slowCallers {
		connections = append(connections, i.openRequest(t, http.MethodPost, "/read/1", slowBodyBytes, slowBodyBytes*9/10))
	}
	eventually(t, "bodies are refused", func() bool {
		return len(i.output.lines("event=not-admitted", "code=overloaded")) > 0
	})
	is.Equal(i.send(context.Background(), newRequest("/order/1")).status, http.StatusOK)
	statuses := map[int]int{}
	for _, conn := range connections {
		got, err := http.ReadResponse(bufio.NewReader(conn), nil)
		if err != nil {
			statuses[0]++ // reset while the body was on its way
			continue
		}
		_ = got.Body.Close()
		statuses[got.StatusCode]++
	}
	t.Logf("answers by status: %v, peak %d kB", statuses, i.peakMemory(t))
	is.True(statuses[http.StatusGatewayTimeout] > 0) // those that fit never arrived whole
	is.Equal(statuses[http.StatusOK], 0)
	is.True(i.peakMemory(t) < processMemory)
	is.Equal(i.send(context.Background(), newRequest("/read/1")).status, http.StatusOK)
	is.True(!i.hasExited())
}

// Guards against a process that is killed because many callers do not read their answers.
func TestSlowReadersDoNotExhaustTheMemory(t *testing.T) {
	is := is.New(t)
	d := newDeployment(t, 1)
	d.add(&hosted.Server{Service: "archive", Zone: "a1", AnswerBytes: slowAnswerBytes})
	archive := hosted.Route{
		"Name": "archive", "Host": host, "Prefix": "/archive/", "Type": "safe", "Service": "archive",
		"TimeoutMs": 8000, "TargetLatencyMs": 300, "MaxAttempts": 2, "Priority": 2,
	}
	d.PutConfig(append(routes(), archive), append(services(), map[string]any{
		"Name": "archive", "HealthPath": "/healthz", "MaxConnections": 100,
	}), tenants())
	i := d.ingresses[0]
	eventually(t, "an answer of the new route arrives", func() bool {
		a := i.send(context.Background(), newRequest("/archive/1"))
		return a.status == http.StatusOK && len(a.body) == slowAnswerBytes
	})
	for range slowCallers {
		i.openRequest(t, http.MethodGet, "/archive/1", 0, 0)
	}
	eventually(t, "the memory for answers is in use", func() bool { return len(i.output.lines("event=answer-not-buffered")) > 0 })
	is.Equal(i.send(context.Background(), newRequest("/order/1")).status, http.StatusOK)
	a := i.send(context.Background(), newRequest("/archive/1"))
	is.Equal(a.status, http.StatusOK) // relayed as it arrives
	is.Equal(len(a.body), slowAnswerBytes)
	t.Logf("peak %d kB", i.peakMemory(t))
	is.True(i.peakMemory(t) < processMemory)
	is.True(!i.hasExited())
}
