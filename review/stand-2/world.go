package main

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// Bounds of a small deployment, as its sheet states them.
const (
	contactTime     = 4 * time.Second         // ContactMs
	configApplyTime = 2500 * time.Millisecond // ConfigApplyMs
)

// world is a small deployment: the platform's store, replicas, and the project's ingress processes.
type world struct {
	store *store
	// trouble is set unless the case runs without its disruption.
	trouble   bool
	folder    string
	started   time.Time
	ingresses []*ingress

	lock   sync.Mutex
	record *bufio.Writer
}

func newWorld(record *os.File, trouble bool) (*world, error) {
	w := &world{trouble: trouble, started: time.Now(), record: bufio.NewWriter(record)}
	var err error
	if w.folder, err = os.MkdirTemp("", "review-2-"); err != nil {
		return nil, err
	}
	if w.store, err = newStore(); err != nil {
		return nil, err
	}
	w.store.log = w.log
	w.log("begins; disruption: %v", trouble)
	return w, err
}

// log writes a line to the record.
func (w *world) log(format string, args ...any) {
	w.lock.Lock()
	defer w.lock.Unlock()
	_, _ = fmt.Fprintf(w.record, "%8.3f "+format+"\n", append([]any{time.Since(w.started).Seconds()}, args...)...)
}

// close ends all processes that were started.
func (w *world) close() {
	for _, i := range w.ingresses {
		i.kill()
	}
	_ = os.RemoveAll(w.folder)
	w.lock.Lock()
	defer w.lock.Unlock()
	_ = w.record.Flush()
}

// ingress is one process of the project, started with the command of the deploy file.
type ingress struct {
	world    *world
	name     string
	config   string
	callers  string
	ready    string
	lock     sync.Mutex
	command  *exec.Cmd
	exited   chan struct{}
	starts   int
	expected bool
}

// addIngress writes the settings of an ingress, as the template of the deploy file does for a small deployment,
// and starts it.
func (w *world) addIngress(name, zone string) (*ingress, error) {
	addresses := []string{}
	for range 4 {
		socket, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		addresses = append(addresses, socket.Addr().String())
		defer func() { _ = socket.Close() }()
	}
	i := &ingress{world: w, name: name, config: filepath.Join(w.folder, name+".toml"), callers: addresses[0], ready: addresses[1]}
	settings := fmt.Sprintf(`[place]
name = %q
domain = %q
region = "r-%s"
cores = 0.304
regions = ["z1=r-z1", "z2=r-z2", "z3=r-z3"]
[callers]
listen = %q
ready = %q
ready-path = "/api/readyz"
descriptors = 4100
memory = 284
[store]
address = %q
wait = "4000ms"
[peers]
listen = %q
seeds = []
private = true
[repeats]
ratio = 0.2
slack = 58
window = "10s"
[stop]
grace = "8s"
[metrics]
listen = %q
path = "/metrics"
`, name, zone, zone, i.callers, i.ready, w.store.server.address, addresses[2], addresses[3])
	if err := os.WriteFile(i.config, []byte(settings), 0o600); err != nil {
		return nil, err
	}
	w.ingresses = append(w.ingresses, i)
	return i, nil
}

// start starts the process.
func (i *ingress) start() error {
	i.lock.Lock()
	defer i.lock.Unlock()
	i.starts++
	output, err := os.Create(filepath.Join(i.world.folder, fmt.Sprintf("%s-%d.log", i.name, i.starts)))
	if err != nil {
		return err
	}
	i.command = exec.Command("target/ingress", "--config", i.config)
	i.command.Stdout, i.command.Stderr = output, output
	if err := i.command.Start(); err != nil {
		return err
	}
	i.expected = false
	i.exited = make(chan struct{})
	i.world.log("ingress %s: started", i.name)
	go i.wait(i.command, i.exited, output)
	return nil
}

func (i *ingress) wait(command *exec.Cmd, exited chan struct{}, output *os.File) {
	err := command.Wait()
	i.lock.Lock()
	expected := i.expected
	i.lock.Unlock()
	i.world.log("ingress %s: ended (%v); killed by this test: %v", i.name, err, expected)
	if !expected {
		i.logTail(output.Name())
	}
	_ = output.Close()
	close(exited)
}

// logTail copies the first lines of a panic to the record.
func (i *ingress) logTail(path string) {
	file, err := os.Open(path)
	if err != nil {
		return
	}
	defer func() { _ = file.Close() }()
	lines := 0
	scanner := bufio.NewScanner(file)
	scanner.Buffer(nil, 1<<20)
	for scanner.Scan() && lines < 12 {
		if text := scanner.Text(); lines > 0 || len(text) > 6 && (text[:6] == "panic:" || text[:6] == "fatal ") {
			i.world.log("  its output: %s", text)
			lines++
		}
	}
}

// hasEnded reports whether the process has ended.
func (i *ingress) hasEnded() bool {
	select {
	case <-i.exited:
		return true
	default:
		return false
	}
}

// kill kills the process and waits until it has ended.
func (i *ingress) kill() {
	i.lock.Lock()
	if i.command == nil || i.command.Process == nil {
		i.lock.Unlock()
		return
	}
	i.expected = true
	_ = i.command.Process.Signal(syscall.SIGKILL)
	exited := i.exited
	i.lock.Unlock()
	<-exited
}

// waitReady waits until the ingress is ready.
func (i *ingress) waitReady() error {
	client := http.Client{Timeout: time.Second}
	for range 200 {
		response, err := client.Get("http://" + i.ready + "/api/readyz")
		if err == nil {
			_ = response.Body.Close()
			if response.StatusCode == http.StatusOK {
				i.world.log("ingress %s: ready", i.name)
				return nil
			}
		}
		time.Sleep(50 * time.Millisecond)
	}
	return fmt.Errorf("%s is not ready in 10 s", i.name)
}

// startIngresses starts n ingresses, one in each zone, and waits until they are ready and in touch.
func (w *world) startIngresses(n int) error {
	for k := range n {
		i, err := w.addIngress(fmt.Sprintf("edge-%d", k+1), fmt.Sprintf("z%d", k+1))
		if err != nil {
			return err
		}
		if err := i.start(); err != nil {
			return err
		}
	}
	for _, i := range w.ingresses {
		if err := i.waitReady(); err != nil {
			return err
		}
	}
	time.Sleep(contactTime + 500*time.Millisecond)
	return nil
}

// addReplica starts a replica.
func (w *world) addReplica(p *replica) (*replica, error) {
	p.world = w
	if p.slots == 0 {
		p.slots = 16
	}
	return p, p.start()
}

// putConfig writes a version of the configuration, as the operator does.
func (w *world) putConfig(version int, routes, services, tenants []map[string]any) {
	w.store.put("op/config", map[string]any{
		"Version": version, "Routes": routes, "Services": services, "Tenants": tenants,
		"Limits": map[string]any{"MaxHeaderBytes": 16384, "MaxBodyBytes": 4194304, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000},
	})
	w.log("operator: version %d is acknowledged", version)
}
