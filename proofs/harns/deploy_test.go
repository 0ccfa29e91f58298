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
	operatorToken = "proof-operator-ana"
	secondToken   = "proof-operator-bor"
	teamToken     = "proof-team"
	beatEvery     = "300ms"
	region        = "osrednja"
	// leastSubset is how many agents of a service an entry keeps sessions to at least.
	leastSubset = 8
)

// backend is one backend server with its agent.
type backend struct {
	name    string
	kind    string // stand-in: service, engine, pool
	service string
	labels  string
	slots   int
	// fakeFlags and agentFlags are added to the command lines.
	fakeFlags  []string
	agentFlags []string
	// behindRelay puts a relay between the agent and its backend server.
	behindRelay bool
	// sharedServer names the backend whose stand-in serves this one too; empty: one of its own.
	sharedServer string
	// sessionsOverRelay puts a relay between the entries and the agent.
	sessionsOverRelay bool
}

// plan says what a deployment consists of.
type plan struct {
	entries  int
	backends []backend
	// entryFlags are added to every entry's command line.
	entryFlags []string
	// listLag is the delay of the list of instances.
	listLag string
	// storeRelay puts a relay between every process and the key-value service.
	storeRelay bool
	// text replaces the configuration that is applied first; "none" applies nothing.
	text string
}

// deployment is a running system of the test.
type deployment struct {
	t         *testing.T
	plan      plan
	directory string
	kv, list  *process
	entries   []*process
	// agents, servers and relays are held by the name of the backend.
	agents    map[string]*process
	servers   map[string]*process
	backRelay map[string]*relay.Relay
	peerRelay map[string]*relay.Relay
	kvRelay   *relay.Relay
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

func newConfig() string {
	return strings.NewReplacer(
		"@ANA@", config.DigestToken(operatorToken),
		"@BOR@", config.DigestToken(secondToken),
		"@TEAM@", config.DigestToken(teamToken),
	).Replace(baseConfig)
}

// orderDesk is a plain service with an agent.
func orderDesk(name string) backend {
	return backend{name: name, kind: "service", service: "orders", slots: 8, fakeFlags: []string{"--service-time", "20ms"}}
}

// slowDesk takes long enough over an order that a fault can hit it in the middle.
func slowDesk(name, serviceTime string) backend {
	b := orderDesk(name)
	b.fakeFlags = []string{"--service-time", serviceTime}
	return b
}

// modelServer is an engine with an agent.
func modelServer(name string) backend {
	return backend{name: name, kind: "engine", service: "llm", slots: 16, fakeFlags: []string{"--models", "notes", "--token-interval", "5ms"}}
}

func encoderPool(name string) backend {
	return backend{name: name, kind: "pool", service: "encoder", slots: 16, fakeFlags: []string{"--service-time", "5ms"}}
}

// deploy starts the plan and returns once every process is ready and connected.
func deploy(t *testing.T, p plan) *deployment {
	t.Helper()
	d := &deployment{
		t:         t,
		plan:      p,
		directory: t.TempDir(),
		agents:    map[string]*process{},
		servers:   map[string]*process{},
		backRelay: map[string]*relay.Relay{},
		peerRelay: map[string]*relay.Relay{},
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
	d.applyFirst()
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
		d.kvRelay = d.newRelay(d.kv.address("", ""))
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
	if d.kvRelay != nil {
		return d.kvRelay.Address().String()
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
		d.backRelay[b.name] = d.newRelay(d.servers[b.name].address("", ""))
	}
}

func (d *deployment) startAgent(b backend) {
	d.t.Helper()
	server := b.name
	if b.sharedServer != "" {
		server = b.sharedServer
	}
	target := d.servers[server].address("", "").String()
	if r := d.backRelay[b.name]; r != nil {
		target = r.Address().String()
	}
	args := append([]string{
		"--instance.name", b.name, "--instance.region", region, "--instance.domain", region + "-1",
		"--platform.store", d.storeAddress(), "--platform.list", d.list.address("", "").String(),
		"--platform.list-every", "300ms", "--platform.store-timeout", "1s",
		"--peers.listen", "127.0.0.1:0", "--peers.beat-every", beatEvery,
		"--metrics.address-file", filepath.Join(d.directory, b.name+".addr"),
		"--backend.address", target, "--backend.service", b.service, "--backend.slots", fmt.Sprint(b.slots),
		"--backend.service-guess", "20ms", "--stop.grace", "30s", "--log.level", "debug",
	}, b.agentFlags...)
	d.agents[b.name] = d.start(b.name, "agent", args...)
	if b.sessionsOverRelay && d.peerRelay[b.name] == nil {
		d.peerRelay[b.name] = d.newRelay(d.agents[b.name].address("", "peers="))
	}
}

// register puts a backend server's agent on the list, or marks it as leaving.
func (d *deployment) register(b backend, leaving bool) {
	d.t.Helper()
	address := d.agents[b.name].address("", "peers=")
	if r := d.peerRelay[b.name]; r != nil {
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
	command := exec.Command(filepath.Join(os.Getenv(envPrograms), "fakes"), all...)
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
		"--callers.listen", "127.0.0.1:0", "--admin.listen", "127.0.0.1:0", "--routing.beat-every", beatEvery,
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

func (d *deployment) applyFirst() {
	d.t.Helper()
	text := d.plan.text
	if text == "none" {
		return
	}
	if text == "" {
		text = newConfig()
	}
	// A starting entry may not have read the list yet; the first configuration needs no agent.
	waitFor(d.t, "the first configuration", func() bool {
		return d.vctl(0, operatorToken, "apply", d.write("first.toml", text)).code == 0
	})
}

func (d *deployment) write(name, text string) string {
	d.t.Helper()
	path := filepath.Join(d.directory, name)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		d.t.Fatal(err)
	}
	return path
}

// waitReady waits for every process's configuration and every entry's sessions.
func (d *deployment) waitReady() {
	d.t.Helper()
	if d.plan.text == "none" {
		return
	}
	for _, a := range d.agents {
		a.waitFor(a.isReady, "ready")
	}
	for _, e := range d.entries {
		d.waitEntry(e)
	}
}

func (d *deployment) waitEntry(e *process) {
	d.t.Helper()
	e.waitFor(func() bool {
		return e.isReady() && e.figures().Verbena.Fleet.Sessions >= min(len(d.plan.backends), leastSubset)
	}, "ready with all sessions")
}

// verdict is how a vctl command ended.
type verdict struct {
	code           int
	output, errors string
}

// vctl runs the operators' program against one entry.
func (d *deployment) vctl(entry int, token string, args ...string) verdict {
	d.t.Helper()
	return d.vctlAt(d.entries[entry].address("", "admin="), token, args...)
}

func (d *deployment) vctlAt(address netip.AddrPort, token string, args ...string) verdict {
	command := exec.Command(filepath.Join(os.Getenv(envPrograms), "vctl"),
		append([]string{args[0], "--server", address.String(), "--output", "json"}, args[1:]...)...)
	command.Env = append(os.Environ(), "VCTL_TOKEN="+token)
	var output, errors bytes.Buffer
	command.Stdout, command.Stderr = &output, &errors
	err := command.Run()
	v := verdict{output: output.String(), errors: errors.String()}
	if err != nil {
		v.code = command.ProcessState.ExitCode()
	}
	return v
}

// setFault switches the faults of a stand-in over its control address.
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
		p.t.Fatalf("fault: %s", response.Status)
	}
}

// stats returns the calls of a stand-in by kind.
func (p *process) stats() map[string]int {
	counts := struct {
		Calls map[string]int `json:"calls"`
	}{}
	getJSON("http://"+p.address(".control", "").String()+"/stats", &counts)
	return counts.Calls
}

// runs returns a stand-in's ledger.
func (p *process) runs() []ledger.Run {
	p.t.Helper()
	runs := []ledger.Run{}
	waitFor(p.t, "ledger of "+p.name, func() bool {
		return getJSON("http://"+p.address(".control", "").String()+"/ledger", &runs)
	})
	return runs
}

// countRuns returns the runs of a key over all backend servers.
func (d *deployment) countRuns(key string) int {
	d.t.Helper()
	return d.allRuns()[key]
}

// allRuns returns the runs by key over all backend servers.
func (d *deployment) allRuns() map[string]int {
	d.t.Helper()
	counts := map[string]int{}
	for _, s := range d.servers {
		for _, run := range s.runs() {
			counts[run.Key]++
		}
	}
	return counts
}

// backendOf returns the plan's backend of that name.
func (d *deployment) backendOf(name string) backend {
	d.t.Helper()
	for _, b := range d.plan.backends {
		if b.name == name {
			return b
		}
	}
	d.t.Fatalf("no backend %s", name)
	return backend{}
}
