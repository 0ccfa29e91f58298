package harns_test

import (
	"context"
	"encoding/json"
	"io"
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
)

const (
	// patience bounds every wait for a condition; a busy machine must not reach it.
	patience   = 60 * time.Second
	checkEvery = 20 * time.Millisecond
	// stopLimit bounds the end of a process after SIGTERM.
	stopLimit = 45 * time.Second
)

// process is one program that the test started.
type process struct {
	t       *testing.T
	name    string
	command *exec.Cmd
	// file takes the addresses; log takes what the program writes.
	file string
	log  string

	ended chan struct{}
	lock  sync.Mutex
	err   error
}

// start runs a program of this repository in the deployment's directory.
func (d *deployment) start(name, program string, args ...string) *process {
	d.t.Helper()
	p := &process{
		t:     d.t,
		name:  name,
		file:  filepath.Join(d.directory, name+".addr"),
		log:   filepath.Join(d.directory, name+".log"),
		ended: make(chan struct{}),
	}
	_ = os.Remove(p.file)
	output, err := os.OpenFile(p.log, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		d.t.Fatal(err)
	}
	p.command = exec.Command(filepath.Join(os.Getenv(envPrograms), program), args...)
	p.command.Stdout, p.command.Stderr = output, output
	if err := p.command.Start(); err != nil {
		d.t.Fatal(err)
	}
	_ = output.Close()
	go p.run()
	d.t.Cleanup(p.kill)
	return p
}

func (p *process) run() {
	err := p.command.Wait()
	p.lock.Lock()
	p.err = err
	p.lock.Unlock()
	close(p.ended)
}

// signal reaches this process only, by its id.
func (p *process) signal(s syscall.Signal) {
	if !p.hasEnded() {
		_ = p.command.Process.Signal(s)
	}
}

func (p *process) hasEnded() bool {
	select {
	case <-p.ended:
		return true
	default:
		return false
	}
}

// kill ends the process at once and waits for that.
func (p *process) kill() {
	p.signal(syscall.SIGKILL)
	<-p.ended
}

func (p *process) freeze() { p.signal(syscall.SIGSTOP) }
func (p *process) wake()   { p.signal(syscall.SIGCONT) }

// stop asks for a graceful shutdown and waits for it.
func (p *process) stop() {
	p.t.Helper()
	p.signal(syscall.SIGTERM)
	p.waitEnd()
}

func (p *process) waitEnd() {
	p.t.Helper()
	select {
	case <-p.ended:
	case <-time.After(stopLimit):
		p.t.Fatalf("%s does not stop:\n%s", p.name, p.tail())
	}
}

// text returns what the process wrote so far.
func (p *process) text() string {
	data, _ := os.ReadFile(p.log)
	return string(data)
}

func (p *process) tail() string {
	lines := strings.Split(p.text(), "\n")
	return strings.Join(lines[max(0, len(lines)-30):], "\n")
}

// address returns an address that the process wrote; suffix names a second file, key a line of the form key=address.
func (p *process) address(suffix, key string) netip.AddrPort {
	p.t.Helper()
	found := netip.AddrPort{}
	p.waitFor(func() bool {
		data, err := os.ReadFile(p.file + suffix)
		if err != nil {
			return false
		}
		for _, line := range strings.Split(string(data), "\n") {
			value, ok := strings.CutPrefix(line, key)
			if !ok {
				continue
			}
			found, err = netip.ParseAddrPort(strings.TrimSpace(value))
			return err == nil
		}
		return false
	}, "address of "+p.name)
	return found
}

func (p *process) waitFor(condition func() bool, what string) {
	p.t.Helper()
	limit := time.Now().Add(patience)
	for !condition() {
		if time.Now().After(limit) {
			p.t.Fatalf("gave up waiting: %s\n%s", what, p.tail())
		}
		if p.hasEnded() {
			p.t.Fatalf("%s ended while waiting: %s\n%s", p.name, what, p.tail())
		}
		time.Sleep(checkEvery)
	}
}

// waitFor waits until the condition holds.
func waitFor(t *testing.T, what string, condition func() bool) {
	t.Helper()
	limit := time.Now().Add(patience)
	for !condition() {
		if time.Now().After(limit) {
			t.Fatalf("gave up waiting: %s", what)
		}
		time.Sleep(checkEvery)
	}
}

// getJSON reads a page of a process; false when it does not answer.
func getJSON(url string, into any) bool {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return false
	}
	request.Close = true
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return false
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(response.Body)
	if err != nil || response.StatusCode != http.StatusOK {
		return false
	}
	return into == nil || json.Unmarshal(data, into) == nil
}

// figures are the parts of a process's expvar page that tests look at.
type figures struct {
	Verbena struct {
		Calls    json.RawMessage `json:"calls"`
		Sessions int             `json:"sessions"`
		Load     struct {
			Running int
			Queued  int
		} `json:"load"`
		Unwritten int `json:"unwritten"`
		Fleet     struct {
			Agents   int `json:"agents"`
			Sessions int `json:"sessions"`
		} `json:"fleet"`
		Config struct {
			Revision     uint64  `json:"revision"`
			ConfirmedAge float64 `json:"confirmed-age-seconds"`
			Teams        int     `json:"teams"`
			FetchedPeer  uint64  `json:"fetched-from-peer"`
			FetchedStore uint64  `json:"fetched-from-store"`
		} `json:"config"`
		Store storeCalls `json:"store"`
	} `json:"verbena"`
}

// storeCalls are a process's calls of the key-value service.
type storeCalls struct {
	Reads, Writes, Watches, Failed int
}

func (p *process) storeCalls() storeCalls { return p.figures().Verbena.Store }

// figures returns the process's expvar page; the zero value when it does not answer.
func (p *process) figures() figures {
	f := figures{}
	getJSON("http://"+p.address("", "metrics=").String()+"/debug/vars", &f)
	return f
}

// calls returns the number of calls that an agent took.
func (p *process) calls() int {
	calls := 0
	_ = json.Unmarshal(p.figures().Verbena.Calls, &calls)
	return calls
}

func (p *process) isReady() bool {
	return getJSON("http://"+p.address("", "metrics=").String()+"/readyz", nil)
}
