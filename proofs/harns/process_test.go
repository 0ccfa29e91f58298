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
	// waitTimeout limits every wait for a condition. It is long enough that a busy machine does not
	// reach it.
	waitTimeout = 60 * time.Second
	// pollInterval is the time between two evaluations of a condition.
	pollInterval = 20 * time.Millisecond
	// stopTimeout limits the time from SIGTERM to the exit of a process.
	stopTimeout = 45 * time.Second
)

// process is a running program that the test started.
type process struct {
	t       *testing.T
	name    string
	command *exec.Cmd
	// addressFile is the file to which the program writes its addresses, and logFile the one that
	// receives its standard output and standard error.
	addressFile string
	logFile     string

	// exited is closed once the process has exited.
	exited chan struct{}
	lock   sync.Mutex
	err    error
}

// start starts a program of this repository. Its address file and its log file are in the
// deployment's directory, and it is killed when the test ends.
func (d *deployment) start(name, program string, args ...string) *process {
	d.t.Helper()
	p := &process{
		t:           d.t,
		name:        name,
		addressFile: filepath.Join(d.directory, name+".addr"),
		logFile:     filepath.Join(d.directory, name+".log"),
		exited:      make(chan struct{}),
	}
	_ = os.Remove(p.addressFile)
	output, err := os.OpenFile(p.logFile, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		d.t.Fatal(err)
	}
	p.command = exec.Command(filepath.Join(os.Getenv(envProgramDir), program), args...)
	p.command.Stdout, p.command.Stderr = output, output
	if err := p.command.Start(); err != nil {
		d.t.Fatal(err)
	}
	_ = output.Close()
	go p.run()
	d.t.Cleanup(p.kill)
	return p
}

// run waits for the process to exit and records the error, if any.
func (p *process) run() {
	err := p.command.Wait()
	p.lock.Lock()
	p.err = err
	p.lock.Unlock()
	close(p.exited)
}

// signal sends a signal to this process only. It does nothing once the process has exited.
func (p *process) signal(s syscall.Signal) {
	if !p.hasExited() {
		_ = p.command.Process.Signal(s)
	}
}

func (p *process) hasExited() bool {
	select {
	case <-p.exited:
		return true
	default:
		return false
	}
}

// kill kills the process and waits until it has exited.
func (p *process) kill() {
	p.signal(syscall.SIGKILL)
	<-p.exited
}

// freeze suspends the process with SIGSTOP.
func (p *process) freeze() { p.signal(syscall.SIGSTOP) }

// resume continues a frozen process with SIGCONT.
func (p *process) resume() { p.signal(syscall.SIGCONT) }

// stop requests a graceful shutdown and waits until the process has exited.
func (p *process) stop() {
	p.t.Helper()
	p.signal(syscall.SIGTERM)
	p.waitExit()
}

// waitExit fails the test unless the process exits within stopTimeout.
func (p *process) waitExit() {
	p.t.Helper()
	select {
	case <-p.exited:
	case <-time.After(stopTimeout):
		p.t.Fatalf("%s did not exit after SIGTERM:\n%s", p.name, p.logTail())
	}
}

// logText returns everything that the process has written so far.
func (p *process) logText() string {
	data, _ := os.ReadFile(p.logFile)
	return string(data)
}

// logTail returns the last 30 lines of the log.
func (p *process) logTail() string {
	lines := strings.Split(p.logText(), "\n")
	return strings.Join(lines[max(0, len(lines)-30):], "\n")
}

// address waits until the process has written an address and returns it. The suffix selects another
// file than the address file, and the prefix selects the line that begins with it, as in
// "metrics=127.0.0.1:80"; the first line is returned if the prefix is empty.
func (p *process) address(suffix, prefix string) netip.AddrPort {
	p.t.Helper()
	found := netip.AddrPort{}
	p.waitFor(func() bool {
		data, err := os.ReadFile(p.addressFile + suffix)
		if err != nil {
			return false
		}
		for _, line := range strings.Split(string(data), "\n") {
			value, ok := strings.CutPrefix(line, prefix)
			if !ok {
				continue
			}
			found, err = netip.ParseAddrPort(strings.TrimSpace(value))
			return err == nil
		}
		return false
	}, "the address of "+p.name)
	return found
}

// waitFor waits until the condition holds. It fails the test after waitTimeout, or at once if the
// process exits.
func (p *process) waitFor(condition func() bool, what string) {
	p.t.Helper()
	deadline := time.Now().Add(waitTimeout)
	for !condition() {
		if time.Now().After(deadline) {
			p.t.Fatalf("timed out waiting for %s\n%s", what, p.logTail())
		}
		if p.hasExited() {
			p.t.Fatalf("%s exited while waiting for %s\n%s", p.name, what, p.logTail())
		}
		time.Sleep(pollInterval)
	}
}

// waitFor waits until the condition holds and fails the test after waitTimeout.
func waitFor(t *testing.T, what string, condition func() bool) {
	t.Helper()
	deadline := time.Now().Add(waitTimeout)
	for !condition() {
		if time.Now().After(deadline) {
			t.Fatalf("timed out waiting for %s", what)
		}
		time.Sleep(pollInterval)
	}
}

// getJSON reads a page of a process and, if into is not nil, decodes it. It reports whether the
// answer had status 200 and was decoded.
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

// debugVars holds the parts of a process's expvar page (/debug/vars) that the tests read.
type debugVars struct {
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

// storeCalls counts the calls that a process has sent to the store.
type storeCalls struct {
	Reads, Writes, Watches, Failed int
}

func (p *process) storeCalls() storeCalls { return p.debugVars().Verbena.Store }

// debugVars returns the process's expvar page, or the zero value if the process does not answer.
func (p *process) debugVars() debugVars {
	f := debugVars{}
	getJSON("http://"+p.address("", "metrics=").String()+"/debug/vars", &f)
	return f
}

// countCalls returns the number of calls that an agent has received.
func (p *process) countCalls() int {
	calls := 0
	_ = json.Unmarshal(p.debugVars().Verbena.Calls, &calls)
	return calls
}

// isReady reports whether the process answers its readiness check.
func (p *process) isReady() bool {
	return getJSON("http://"+p.address("", "metrics=").String()+"/readyz", nil)
}
