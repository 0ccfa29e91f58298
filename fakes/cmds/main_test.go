package cmds_test

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"verbenaroad.example/fakes/cmds"
	"verbenaroad.example/fakes/modules/serve"
)

// runningStandIn is a stand-in that runs in the process of the test.
type runningStandIn struct {
	file   string
	cancel context.CancelFunc
	code   int
	done   chan struct{}
}

// startStandIn starts a stand-in and returns once it has written its address files.
func startStandIn(t *testing.T, args ...string) *runningStandIn {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	p := &runningStandIn{file: filepath.Join(t.TempDir(), "address"), cancel: cancel, done: make(chan struct{})}
	go p.run(ctx, append(args, "--address-file", p.file))
	t.Cleanup(func() {
		cancel()
		<-p.done
	})
	for {
		if _, err := os.Stat(p.file); err == nil {
			return p
		}
		select {
		case <-p.done:
			t.Fatal("the stand-in ended before it wrote its address file")
		case <-time.After(time.Millisecond):
		}
	}
}

func (p *runningStandIn) run(ctx context.Context, args []string) {
	defer close(p.done)
	p.code = cmds.Main(ctx, args, io.Discard)
}

// url returns the URL of a path at the address in the file with the given suffix.
func (p *runningStandIn) url(t *testing.T, suffix, path string) string {
	t.Helper()
	address, err := os.ReadFile(p.file + suffix)
	if err != nil {
		t.Fatal(err)
	}
	return "http://" + strings.TrimSpace(string(address)) + path
}

func call(t *testing.T, method, url, body string) (int, string) {
	t.Helper()
	request, err := http.NewRequest(method, url, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(response.Body)
	if err != nil {
		t.Fatal(err)
	}
	return response.StatusCode, string(data)
}

func TestEveryStandInStartsAndStops(t *testing.T) {
	tests := map[string]string{
		"kv":      "/v1/kv/?keys",
		"list":    "/v1/catalog/service/agent",
		"engine":  "/v1/models",
		"service": "/catalogue",
		"pool":    "/ledger",
		"weights": "/weights/model/1",
	}
	for name, path := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			p := startStandIn(t, name)
			status, _ := call(t, http.MethodGet, p.url(t, "", path), "")
			if name != "kv" { // the store has no key yet, so the status is 404
				is.Equal(status, http.StatusOK)
			}
			control := p.url(t, ".control", "/fault")
			status, body := call(t, http.MethodPut, control, `{"status":503}`)
			is.Equal(status, http.StatusOK)
			is.Equal(body, `{"status":503}`)
			status, _ = call(t, http.MethodGet, p.url(t, "", path), "")
			is.Equal(status, http.StatusServiceUnavailable)
			status, _ = call(t, http.MethodPut, control, `{"no-such-fault":true}`)
			is.Equal(status, http.StatusBadRequest)
			p.cancel()
			<-p.done
			is.Equal(p.code, 0)
		})
	}
}

// caller sends one call in its own goroutine.
type caller struct {
	t      *testing.T
	url    string
	status int
	done   chan struct{}
}

func (c *caller) run() {
	defer close(c.done)
	c.status, _ = call(c.t, http.MethodPost, c.url, "order")
}

// A stand-in is stopped while it runs a call. The caller must still receive its answer.
func TestStopIsGraceful(t *testing.T) {
	is := is.New(t)
	p := startStandIn(t, "service", "--service-time", "200ms")
	c := &caller{t: t, url: p.url(t, "", "/orders"), done: make(chan struct{})}
	go c.run()
	for {
		_, body := call(t, http.MethodGet, p.url(t, ".control", "/stats"), "")
		var counts serve.Counts
		is.NoErr(json.Unmarshal([]byte(body), &counts))
		if counts.Open["call"] == 1 {
			break
		}
	}
	p.cancel()
	<-c.done
	<-p.done
	is.Equal(c.status, http.StatusOK)
	is.Equal(p.code, 0)
}

func TestInvalidArguments(t *testing.T) {
	is := is.New(t)
	is.Equal(cmds.Main(context.Background(), []string{"kv", "--no-such-flag"}, io.Discard), 1)
	is.Equal(cmds.Main(context.Background(), nil, io.Discard), 2)
	is.Equal(cmds.Main(context.Background(), []string{"engine", "--fencing", "maybe"}, io.Discard), 1)
}
