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
	// conditionTimeout limits every wait for a condition. It is long so that a busy machine does
	// not exceed it.
	conditionTimeout = 40 * time.Second
	pollInterval     = 15 * time.Millisecond
)

// output collects what a process writes to its standard output and standard error.
type output struct {
	lock sync.Mutex
	text bytes.Buffer
}

func (o *output) Write(p []byte) (int, error) {
	o.lock.Lock()
	defer o.lock.Unlock()
	return o.text.Write(p)
}

// lines returns the non-empty lines that contain all the words.
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

// ingress is one ingress process.
type ingress struct {
	t          testing.TB
	name       string
	configFile string
	// The addresses on which the process listens for callers, readiness checks, scrapes and peers.
	callerAddress  netip.AddrPort
	readyAddress   netip.AddrPort
	metricsAddress netip.AddrPort
	peerAddress    netip.AddrPort
	output         *output

	// lock guards command and exited while the process is started again.
	lock    sync.Mutex
	command *exec.Cmd
	// exited is closed when the process has exited.
	exited chan struct{}
}

// freeAddresses returns n loopback addresses on which nothing listens at the moment.
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

// newIngress starts an ingress in the given zone and waits until it has started. storeIndex selects
// the address of the store that it uses, and seeds are its seed peers.
//
// Another test on the machine may take one of the chosen free ports before the process listens on
// it. The process then exits at once, and newIngress tries again with other ports.
func newIngress(t testing.TB, w *hosted.World, name, zone string, storeIndex int, seeds ...netip.AddrPort) *ingress {
	t.Helper()
	return newIngressWithStop(t, w, name, zone, storeIndex, defaultStop(), seeds...)
}

// stopTimes are the settings of a stop.
type stopTimes struct{ grace, admit time.Duration }

func defaultStop() stopTimes { return stopTimes{grace: 4 * time.Second, admit: 500 * time.Millisecond} }

// newIngressWithStop is newIngress with other times of a stop.
func newIngressWithStop(t testing.TB, w *hosted.World, name, zone string, storeIndex int, times stopTimes, seeds ...netip.AddrPort) *ingress {
	t.Helper()
	for {
		i := startIngress(t, w, name, zone, storeIndex, times, seeds)
		eventually(t, name+" starts or exits", func() bool {
			return len(i.output.lines("event=started")) > 0 || i.hasExited()
		})
		if len(i.output.lines("event=started")) > 0 {
			return i
		}
		if len(i.output.lines("address already in use")) == 0 {
			t.Fatalf("%s exited at start: %s", name, strings.Join(i.output.lines(), "; "))
		}
		t.Logf("%s: a chosen port is in use by another process; retrying with other ports", name)
	}
}

// program returns the path of the program that the ingress runs.
func (i *ingress) program() string {
	if i.isEarlierVersion() {
		return os.Getenv(envOtherProgram)
	}
	return os.Getenv(envProgram)
}

// isEarlierVersion reports whether the ingress runs the other version of the program.
func (i *ingress) isEarlierVersion() bool {
	return os.Getenv(envOtherProgram) != "" && strings.HasSuffix(i.name, "1")
}

// hasInventory reports whether the ingress has seen an inventory that names a software version of a service.
func (i *ingress) hasInventory(service, version string) bool {
	return len(i.output.lines("event=inventory-seen", service+":"+version)) > 0
}

// usesVersion reports whether the last inventory that the ingress has seen names a software version of a service and does
// not only announce it.
func (i *ingress) usesVersion(service, version string) bool {
	seen := i.output.lines("event=inventory-seen")
	if len(seen) == 0 {
		return false
	}
	named, announced, _ := strings.Cut(seen[len(seen)-1], " announced=")
	announced, _, _ = strings.Cut(announced, " ")
	return strings.Contains(named, service+":"+version) && !strings.Contains(announced, service+":"+version)
}

func (i *ingress) hasExited() bool {
	select {
	case <-i.exited:
		return true
	default:
		return false
	}
}

func startIngress(t testing.TB, w *hosted.World, name, zone string, storeIndex int, times stopTimes, seeds []netip.AddrPort) *ingress {
	t.Helper()
	addresses := freeAddresses(t, 4)
	quotedSeeds := []string{}
	for _, seed := range seeds {
		quotedSeeds = append(quotedSeeds, fmt.Sprintf("%q", seed))
	}
	i := &ingress{
		t: t, name: name, callerAddress: addresses[0], readyAddress: addresses[1], metricsAddress: addresses[2], peerAddress: addresses[3], output: &output{},
		configFile: filepath.Join(t.TempDir(), name+".toml"),
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
memory = 64
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
grace = %q
admit = %q
[metrics]
listen = %q
`, name, zone, zone[:1], i.callerAddress, i.readyAddress, w.Store.Address(storeIndex), addresses[3], strings.Join(quotedSeeds, ", "), times.grace, times.admit, i.metricsAddress)
	if err := os.WriteFile(i.configFile, []byte(settings), 0o600); err != nil {
		t.Fatal(err)
	}
	i.start()
	t.Cleanup(i.kill)
	return i
}

func (i *ingress) start() {
	i.t.Helper()
	i.lock.Lock()
	defer i.lock.Unlock()
	i.command = exec.Command(i.program(), "--config", i.configFile)
	i.command.Stdout, i.command.Stderr = i.output, i.output
	if err := i.command.Start(); err != nil {
		i.t.Fatal(err)
	}
	i.exited = make(chan struct{})
	go i.run(i.command, i.exited)
}

func (*ingress) run(command *exec.Cmd, exited chan struct{}) {
	_ = command.Wait() // the exit status does not matter: the tests check the output and the answers
	close(exited)
}

func (i *ingress) signal(s syscall.Signal) {
	i.lock.Lock()
	defer i.lock.Unlock()
	select {
	case <-i.exited:
	default:
		_ = i.command.Process.Signal(s)
	}
}

func (i *ingress) kill() {
	i.signal(syscall.SIGCONT)
	i.signal(syscall.SIGKILL)
	<-i.exited
}

// isReady checks readiness in the same way as the load balancer: GET /readyz must return 200.
func (i *ingress) isReady() bool {
	client := &http.Client{Timeout: time.Second}
	got, err := client.Get("http://" + i.readyAddress.String() + "/readyz")
	if err != nil {
		return false
	}
	_ = got.Body.Close()
	return got.StatusCode == http.StatusOK
}

// eventually waits until check returns true, and fails the test if this takes longer than
// conditionTimeout.
func eventually(t testing.TB, condition string, check func() bool) {
	t.Helper()
	deadline := time.Now().Add(conditionTimeout)
	for !check() {
		if time.Now().After(deadline) {
			t.Fatalf("condition not met within %v: %s", conditionTimeout, condition)
		}
		time.Sleep(pollInterval)
	}
}
