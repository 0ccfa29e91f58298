package hosted_test

import (
	"bytes"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"verbenaroad.example/fakes/services/hosted"
)

const (
	// patience bounds every wait for a condition; a busy machine must not reach it.
	patience   = 40 * time.Second
	checkEvery = 15 * time.Millisecond
)

// output takes what a process writes.
type output struct {
	lock sync.Mutex
	text bytes.Buffer
}

func (o *output) Write(p []byte) (int, error) {
	o.lock.Lock()
	defer o.lock.Unlock()
	return o.text.Write(p)
}

// lines returns the lines that hold all the words.
func (o *output) lines(words ...string) []string {
	o.lock.Lock()
	defer o.lock.Unlock()
	found := []string{}
	for _, line := range strings.Split(o.text.String(), "\n") {
		all := true
		for _, word := range words {
			all = all && strings.Contains(line, word)
		}
		if all && line != "" {
			found = append(found, line)
		}
	}
	return found
}

// ingress is one process of the system.
type ingress struct {
	t       testing.TB
	name    string
	config  string
	callers netip.AddrPort
	ready   netip.AddrPort
	metrics netip.AddrPort
	links   netip.AddrPort
	output  *output

	command *exec.Cmd
	ended   chan struct{}
}

// freeAddresses returns loopback addresses that nothing listens on now.
func freeAddresses(t testing.TB, n int) []netip.AddrPort {
	t.Helper()
	addresses := []netip.AddrPort{}
	for range n {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = listener.Close() }()
		addresses = append(addresses, netip.MustParseAddrPort(listener.Addr().String()))
	}
	return addresses
}

// newIngress starts a process in a zone, with the i-th address of the store and seeds.
//
// Its ports were free a moment before; another test of the machine may take one
// meanwhile, and then the process ends at once and others are tried.
func newIngress(t testing.TB, w *hosted.World, name, zone string, store int, seeds ...netip.AddrPort) *ingress {
	t.Helper()
	for {
		i := startIngress(t, w, name, zone, store, seeds)
		eventually(t, name+" started or ended", func() bool {
			return len(i.output.lines("event=started")) > 0 || i.hasEnded()
		})
		if len(i.output.lines("event=started")) > 0 {
			return i
		}
		if len(i.output.lines("address already in use")) == 0 {
			t.Fatalf("%s ended: %s", name, strings.Join(i.output.lines(), "; "))
		}
		t.Logf("%s: a port was taken meanwhile, once more", name)
	}
}

func (i *ingress) hasEnded() bool {
	select {
	case <-i.ended:
		return true
	default:
		return false
	}
}

func startIngress(t testing.TB, w *hosted.World, name, zone string, store int, seeds []netip.AddrPort) *ingress {
	t.Helper()
	addresses := freeAddresses(t, 4)
	listed := []string{}
	for _, seed := range seeds {
		listed = append(listed, fmt.Sprintf("%q", seed))
	}
	i := &ingress{
		t: t, name: name, callers: addresses[0], ready: addresses[1], metrics: addresses[2], links: addresses[3], output: &output{},
		config: filepath.Join(t.TempDir(), name+".toml"),
	}
	settings := fmt.Sprintf(`
[place]
name = %q
domain = %q
region = %q
regions = ["a1=a", "b1=b"]
[callers]
listen = %q
ready = %q
descriptors = 100
[store]
address = %q
wait = "500ms"
timeout = "500ms"
lease = "2s"
[peers]
listen = %q
seeds = [%s]
[repeats]
ratio = 0.2
slack = 60
[stop]
grace = "4s"
admit = "500ms"
[metrics]
listen = %q
`, name, zone, zone[:1], i.callers, i.ready, w.Store.Address(store), addresses[3], strings.Join(listed, ", "), i.metrics)
	if err := os.WriteFile(i.config, []byte(settings), 0o600); err != nil {
		t.Fatal(err)
	}
	i.start()
	t.Cleanup(i.kill)
	return i
}

func (i *ingress) start() {
	i.t.Helper()
	i.command = exec.Command(os.Getenv(envProgram), "--config", i.config)
	i.command.Stdout, i.command.Stderr = i.output, i.output
	if err := i.command.Start(); err != nil {
		i.t.Fatal(err)
	}
	i.ended = make(chan struct{})
	go i.run(i.command, i.ended)
}

func (*ingress) run(command *exec.Cmd, ended chan struct{}) {
	_ = command.Wait() // the tests look at what the process did
	close(ended)
}

func (i *ingress) signal(s syscall.Signal) {
	select {
	case <-i.ended:
	default:
		_ = i.command.Process.Signal(s)
	}
}

func (i *ingress) kill() {
	i.signal(syscall.SIGCONT)
	i.signal(syscall.SIGKILL)
	<-i.ended
}

// isReady asks as the balancer does.
func (i *ingress) isReady() bool {
	client := &http.Client{Timeout: time.Second}
	got, err := client.Get("http://" + i.ready.String() + "/readyz")
	if err != nil {
		return false
	}
	_ = got.Body.Close()
	return got.StatusCode == http.StatusOK
}

// eventually waits for a condition.
func eventually(t testing.TB, what string, check func() bool) {
	t.Helper()
	ends := time.Now().Add(patience)
	for !check() {
		if time.Now().After(ends) {
			t.Fatalf("not in %v: %s", patience, what)
		}
		time.Sleep(checkEvery)
	}
}
