package harns_test

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"

	"verbenaroad.example/fakes/modules/fault"
	"verbenaroad.example/fakes/modules/ledger"
	"verbenaroad.example/proofs/relay"
	"verbenaroad.example/share/models/config"
)

const (
	operatorToken     = "proof-operator-ana"
	secondToken       = "proof-operator-bor"
	teamToken         = "proof-team"
	heartbeatInterval = "300ms"
	region            = "osrednja"
	// minSubset is a lower bound of the number of a service's agents to which an entry keeps sessions.
	// If the service has fewer agents, the entry keeps sessions to all of them.
	minSubset = 8
)

// backend describes a backend server and its agent.
type backend struct {
	name    string
	kind    string // kind of fake: service, engine or pool
	service string
	labels  string
	slots   int
	// fakeFlags and agentFlags are added to the command lines of the fake and of the agent.
	fakeFlags  []string
	agentFlags []string
	// behindRelay puts a relay between the agent and its backend server.
	behindRelay bool
	// sharedServer is the name of the backend whose fake also serves this one; if it is empty, this
	// backend has its own fake.
	sharedServer string
	// sessionsOverRelay puts a relay between the entries and the agent.
	sessionsOverRelay bool
}

// plan describes a deployment.
type plan struct {
	entries  int
	backends []backend
	// entryFlags are added to every entry's command line.
	entryFlags []string
	// listLag is the delay after which a change shows in the list of instances; empty means none.
	listLag string
	// storeRelay puts a relay between the processes and the store.
	storeRelay bool
	// configText replaces the initial configuration. With "none", no configuration is applied.
	configText string
}

// deployment is a running system: the fakes of the platform and of the backend servers, and the
// entries and agents.
type deployment struct {
	t         *testing.T
	plan      plan
	directory string
	kv, list  *process
	entries   []*process
	// The maps are keyed by the name of the backend. The backend relays are between agents and backend
	// servers, the peer relays between entries and agents.
	agents        map[string]*process
	servers       map[string]*process
	backendRelays map[string]*relay.Relay
	peerRelays    map[string]*relay.Relay
	storeRelay    *relay.Relay
}

const baseConfig = `
[[limits]]
name = "deployment"
stale-after = "0s"
claim-retention = "24h"
[[operator]]
name = "ana"
token-sha256 = "@ANA@"
role = "change"
[[operator]]
name = "bor"
token-sha256 = "@BOR@"
role = "change"
[[team]]
name = "workshop"
token-sha256 = ["@TEAM@"]
priority = "normal"
weight = 1.0
[[service]]
name = "orders"
kind = "plain"
deadline = "20s"
retry-share = 0.5
[[service.route]]
method = "POST"
path = "/orders"
idempotent = false
[[service.route]]
method = "GET"
path = "/orders/"
idempotent = true
[[service]]
name = "llm"
kind = "engine"
deadline = "30s"
retry-share = 1.0
[[service]]
name = "encoder"
kind = "pool"
deadline = "30s"
retry-share = 1.0
[[pipeline]]
name = "draft"
deadline = "30s"
[[pipeline.stage]]
name = "generate"
kind = "generate"
service = "llm"
model = "notes"
limit = 400
[[pipeline]]
name = "notes"
deadline = "30s"
[[pipeline.stage]]
name = "encode"
kind = "encode"
service = "encoder"
model = "embed"
[[pipeline.stage]]
name = "generate"
kind = "generate"
service = "llm"
model = "notes"
limit = 400
`

// renderBaseConfig returns the initial configuration with the digests of the tokens filled in.
func renderBaseConfig() string {
	return strings.NewReplacer(
		"@ANA@", config.DigestToken(operatorToken),
		"@BOR@", config.DigestToken(secondToken),
		"@TEAM@", config.DigestToken(teamToken),
	).Replace(baseConfig)
}

// orderServer returns a backend server of the plain service "orders".
func orderServer(name string) backend {
	return backend{name: name, kind: "service", service: "orders", slots: 8, fakeFlags: []string{"--service-time", "20ms"}}
}

// slowOrderServer returns an order server with a service time that is long enough for a fault to
// occur while an order runs.
func slowOrderServer(name, serviceTime string) backend {
	b := orderServer(name)
	b.fakeFlags = []string{"--service-time", serviceTime}
	return b
}

// modelServer returns a backend server of the engine service "llm".
func modelServer(name string) backend {
	return backend{name: name, kind: "engine", service: "llm", slots: 16, fakeFlags: []string{"--models", "notes", "--token-interval", "5ms"}}
}

// encoderPool returns a backend server of the pool service "encoder".
func encoderPool(name string) backend {
	return backend{name: name, kind: "pool", service: "encoder", slots: 16, fakeFlags: []string{"--service-time", "5ms"}}
}

// deploy starts the processes of the plan and applies the initial configuration. It returns once
// every process is ready and every entry has its sessions.
func deploy(t *testing.T, p plan) *deployment {
	t.Helper()
	d := &deployment{
		t:             t,
		plan:          p,
		directory:     t.TempDir(),
		agents:        map[string]*process{},
		servers:       map[string]*process{},
		backendRelays: map[string]*relay.Relay{},
		peerRelays:    map[string]*relay.Relay{},
	}
	d.startPlatform()
	for _, b := range p.backends {
		d.startServer(b)
	}
	for _, b := range p.backends {
		d.startAgent(b)
	}
	for _, b := range p.backends {
		d.register(b, false)
	}
	for n := range p.entries {
		d.entries = append(d.entries, d.startEntry(n))
		d.registerEntry(n)
	}
	d.applyInitialConfig()
	d.waitReady()
	return d
}

func (d *deployment) startPlatform() {
	d.kv = d.startFake("kv", "kv")
	lag := d.plan.listLag
	if lag == "" {
		lag = "0s"
	}
	d.list = d.startFake("list", "list", "--lag", lag)
	if d.plan.storeRelay {
		d.storeRelay = d.newRelay(d.kv.address("", ""))
	}
}

func (d *deployment) newRelay(target netip.AddrPort) *relay.Relay {
	d.t.Helper()
	r, err := relay.NewRelay(target)
	if err != nil {
		d.t.Fatal(err)
	}
	d.t.Cleanup(r.Close)
	return r
}

func (d *deployment) storeAddress() string {
	if d.storeRelay != nil {
		return d.storeRelay.Address().String()
	}
	return d.kv.address("", "").String()
}

func (d *deployment) startFake(name, kind string, flags ...string) *process {
	d.t.Helper()
	args := append([]string{kind, "--address-file", filepath.Join(d.directory, name+".addr")}, flags...)
	return d.start(name, "fakes", args...)
}

func (d *deployment) startServer(b backend) {
	d.t.Helper()
	if b.sharedServer != "" {
		return
	}
	flags := append([]string{"--slots", fmt.Sprint(b.slots)}, b.fakeFlags...)
	d.servers[b.name] = d.startFake(b.name+"-server", b.kind, flags...)
	if b.behindRelay {
		d.backendRelays[b.name] = d.newRelay(d.servers[b.name].address("", ""))
	}
}

func (d *deployment) startAgent(b backend) {
	d.t.Helper()
	server := b.name
	if b.sharedServer != "" {
		server = b.sharedServer
	}
	target := d.servers[server].address("", "").String()
	if r := d.backendRelays[b.name]; r != nil {
		target = r.Address().String()
	}
	args := append([]string{
		"--instance.name", b.name, "--instance.region", region, "--instance.domain", region + "-1",
		"--platform.store", d.storeAddress(), "--platform.list", d.list.address("", "").String(),
		"--platform.list-every", "300ms", "--platform.store-timeout", "1s",
		"--peers.listen", "127.0.0.1:0", "--peers.beat-every", heartbeatInterval,
		"--metrics.address-file", filepath.Join(d.directory, b.name+".addr"),
		"--backend.address", target, "--backend.service", b.service, "--backend.slots", fmt.Sprint(b.slots),
		"--backend.service-guess", "20ms", "--stop.grace", "30s", "--log.level", "debug",
	}, b.agentFlags...)
	d.agents[b.name] = d.start(b.name, "agent", args...)
	if b.sessionsOverRelay && d.peerRelays[b.name] == nil {
		d.peerRelays[b.name] = d.newRelay(d.agents[b.name].address("", "peers="))
	}
}

// register adds the agent of a backend server to the list of instances, or marks it as leaving.
func (d *deployment) register(b backend, leaving bool) {
	d.t.Helper()
	address := d.agents[b.name].address("", "peers=")
	if r := d.peerRelays[b.name]; r != nil {
		address = r.Address()
	}
	args := []string{
		"--name", b.name, "--role", "agent", "--service", b.service, "--region", region,
		"--domain", region + "-1", "--labels", b.labels, "--address", address.String(),
	}
	if leaving {
		args = append(args, "--leaving")
	}
	d.runRegister(args...)
}

func (d *deployment) runRegister(args ...string) {
	d.t.Helper()
	all := append([]string{"register", "--list", d.list.address("", "").String()}, args...)
	command := exec.Command(filepath.Join(os.Getenv(envProgramDir), "fakes"), all...)
	if output, err := command.CombinedOutput(); err != nil {
		d.t.Fatalf("register: %v\n%s", err, output)
	}
}

func entryName(n int) string { return fmt.Sprintf("entry-%d", n) }

func (d *deployment) startEntry(n int) *process {
	d.t.Helper()
	name := entryName(n)
	args := append([]string{
		"--instance.name", name, "--instance.region", region, "--instance.domain", region + "-1",
		"--platform.store", d.storeAddress(), "--platform.list", d.list.address("", "").String(),
		"--platform.list-every", "300ms", "--platform.store-timeout", "1s",
		"--callers.listen", "127.0.0.1:0", "--admin.listen", "127.0.0.1:0", "--routing.beat-every", heartbeatInterval,
		"--metrics.address-file", filepath.Join(d.directory, name+".addr"),
		"--admin.bootstrap-sha256", config.DigestToken(operatorToken), "--stop.grace", "30s",
	}, d.plan.entryFlags...)
	return d.start(name, "entry", args...)
}

func (d *deployment) registerEntry(n int) {
	d.t.Helper()
	d.runRegister("--name", entryName(n), "--role", "entry", "--region", region, "--domain", region+"-1",
		"--address", d.entries[n].address("", "callers=").String())
}

func (d *deployment) applyInitialConfig() {
	d.t.Helper()
	text := d.plan.configText
	if text == "none" {
		return
	}
	if text == "" {
		text = renderBaseConfig()
	}
	// Retries, because an entry that has just started may not have read the list of instances yet.
	// No agent is needed to accept the initial configuration.
	waitFor(d.t, "the initial configuration to be accepted", func() bool {
		return d.vctl(0, operatorToken, "apply", d.writeFile("first.toml", text)).code == 0
	})
}

func (d *deployment) writeFile(name, text string) string {
	d.t.Helper()
	path := filepath.Join(d.directory, name)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		d.t.Fatal(err)
	}
	return path
}

// waitReady waits until every process is ready and every entry has its sessions. It returns at once
// if the plan applies no configuration, because no process becomes ready then.
func (d *deployment) waitReady() {
	d.t.Helper()
	if d.plan.configText == "none" {
		return
	}
	for _, a := range d.agents {
		a.waitFor(a.isReady, "readiness")
	}
	for _, e := range d.entries {
		d.waitEntry(e)
	}
}

// waitEntry waits until the entry is ready and has its sessions.
func (d *deployment) waitEntry(e *process) {
	d.t.Helper()
	e.waitFor(func() bool {
		return e.isReady() && e.debugVars().Verbena.Fleet.Sessions >= min(len(d.plan.backends), minSubset)
	}, "readiness with all sessions")
}

// commandResult is the exit code and the output of a vctl command.
type commandResult struct {
	code           int
	stdout, stderr string
}

// vctl runs the operators' command-line program against an entry.
func (d *deployment) vctl(entry int, token string, args ...string) commandResult {
	d.t.Helper()
	return d.vctlAt(d.entries[entry].address("", "admin="), token, args...)
}

// vctlAt runs vctl against the admin address of an entry.
func (d *deployment) vctlAt(address netip.AddrPort, token string, args ...string) commandResult {
	command := exec.Command(filepath.Join(os.Getenv(envProgramDir), "vctl"),
		append([]string{args[0], "--server", address.String(), "--output", "json"}, args[1:]...)...)
	command.Env = append(os.Environ(), "VCTL_TOKEN="+token)
	var stdout, stderr bytes.Buffer
	command.Stdout, command.Stderr = &stdout, &stderr
	err := command.Run()
	v := commandResult{stdout: stdout.String(), stderr: stderr.String()}
	if err != nil {
		v.code = command.ProcessState.ExitCode()
	}
	return v
}

// setFault replaces the injected faults of a fake through its control address.
func (p *process) setFault(settings fault.Settings) {
	p.t.Helper()
	body, err := json.Marshal(settings)
	if err != nil {
		p.t.Fatal(err)
	}
	request, err := http.NewRequest(http.MethodPut, "http://"+p.address(".control", "").String()+"/fault", bytes.NewReader(body))
	if err != nil {
		p.t.Fatal(err)
	}
	request.Close = true
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		p.t.Fatal(err)
	}
	_ = response.Body.Close()
	if response.StatusCode != http.StatusOK {
		p.t.Fatalf("setting a fault failed: %s", response.Status)
	}
}

// callsByKind returns the number of calls that a fake has counted, by kind.
func (p *process) callsByKind() map[string]int {
	counts := struct {
		Calls map[string]int `json:"calls"`
	}{}
	getJSON("http://"+p.address(".control", "").String()+"/stats", &counts)
	return counts.Calls
}

// runs returns the ledger of a fake: the requests that it ran.
func (p *process) runs() []ledger.Run {
	p.t.Helper()
	runs := []ledger.Run{}
	waitFor(p.t, "the ledger of "+p.name, func() bool {
		return getJSON("http://"+p.address(".control", "").String()+"/ledger", &runs)
	})
	return runs
}

// countRuns returns the number of runs of a key at all backend servers.
func (d *deployment) countRuns(key string) int {
	d.t.Helper()
	return d.runsByKey()[key]
}

// runsByKey returns the number of runs at all backend servers, by key.
func (d *deployment) runsByKey() map[string]int {
	d.t.Helper()
	counts := map[string]int{}
	for _, s := range d.servers {
		for _, run := range s.runs() {
			counts[run.Key]++
		}
	}
	return counts
}

// findBackend returns the plan's backend with this name.
func (d *deployment) findBackend(name string) backend {
	d.t.Helper()
	for _, b := range d.plan.backends {
		if b.name == name {
			return b
		}
	}
	d.t.Fatalf("the plan has no backend %s", name)
	return backend{}
}
