package main

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

// site describes a small deployment: one ingress in each zone.
type site struct {
	zones   []string
	regions []string
	// contactMs, graceS, ratio, windowS and slack are the bounds that the settings carry.
	contactMs, graceS int
	ratio             float64
	windowS, slack    int
}

// caroni is further/caroni-soilcarbon.toml: three machines in three zones.
func caroni() site {
	return site{
		zones: []string{"arima-a", "chaguanas-a", "siparia-a"}, regions: []string{"north-caroni", "central-couva", "south-penal"},
		contactMs: 4000, graceS: 8, ratio: 0.2, windowS: 10, slack: 52,
	}
}

// ingress is one process of the deploy file.
type ingress struct {
	name, zone string
	// callers, ready, control and metrics are its addresses.
	callers, ready, control, metrics string
	command                          *exec.Cmd
	log                              *os.File
}

// newIngress returns an ingress on a loopback address of its own, at which nothing else binds a port.
func newIngress(s site, n int) *ingress {
	ip := fmt.Sprintf("127.%d.%d.%d", 20+os.Getpid()%200, os.Getpid()/200%250, n+10)
	freeAddress := func() string {
		listener, err := net.Listen("tcp", ip+":0")
		if err != nil {
			fail("no port: %v", err)
		}
		defer func() { _ = listener.Close() }()
		return listener.Addr().String()
	}
	return &ingress{
		name: fmt.Sprintf("edge-%s-1", s.zones[n]), zone: s.zones[n],
		callers: freeAddress(), ready: freeAddress(), control: freeAddress(), metrics: freeAddress(),
	}
}

// writeSettings writes what the platform makes of deploy/ingress.toml.tmpl for this machine.
func (i *ingress) writeSettings(dir string, s site, n int, storeAddress string, seeds []string) string {
	regions := []string{}
	for z := range s.zones {
		regions = append(regions, fmt.Sprintf("%q", s.zones[z]+"="+s.regions[z]))
	}
	quoted := []string{}
	for _, seed := range seeds {
		quoted = append(quoted, fmt.Sprintf("%q", seed))
	}
	text := fmt.Sprintf(`[place]
name = %q
domain = %q
region = %q
cores = 0.304
regions = [%s]

[callers]
listen = %q
ready = %q
ready-path = "/api/readyz"
descriptors = 4100
memory = 284

[store]
address = %q
wait = "%dms"

[peers]
listen = %q
seeds = [%s]
private = true

[repeats]
ratio = %g
slack = %d
window = "%ds"

[stop]
grace = "%ds"

[metrics]
listen = %q
path = "/metrics"
`, i.name, i.zone, s.regions[n], strings.Join(regions, ","), i.callers, i.ready, storeAddress, s.contactMs, i.control,
		strings.Join(quoted, ","), s.ratio, s.slack, s.windowS, s.graceS, i.metrics)
	path := filepath.Join(dir, i.name+"-settings.json")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		fail("settings: %v", err)
	}
	return path
}

// start starts the program with the command of the deploy file.
func (i *ingress) start(dir, settings string) {
	log, err := os.Create(filepath.Join(dir, i.name+".log"))
	if err != nil {
		fail("log: %v", err)
	}
	i.log = log
	i.command = exec.Command("target/ingress", "--config", settings)
	i.command.Stdout, i.command.Stderr = log, log
	i.command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + dir, "LANG=C"}
	if err := i.command.Start(); err != nil {
		fail("target/ingress doesn't start (build with the deploy file first): %v", err)
	}
}

func (i *ingress) stop() {
	if i.command != nil && i.command.Process != nil {
		_ = i.command.Process.Signal(syscall.SIGKILL)
		_ = i.command.Wait()
	}
}

// awaitReady waits until the readiness check passes, as the platform asks it.
func (i *ingress) awaitReady() {
	for deadline := time.Now().Add(15 * time.Second); time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		response, err := http.Get("http://" + i.ready + "/api/readyz")
		if err != nil {
			continue
		}
		_ = response.Body.Close()
		if response.StatusCode == http.StatusOK {
			return
		}
	}
	fail("%s isn't ready", i.name)
}
