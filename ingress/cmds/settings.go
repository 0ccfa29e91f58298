// Package cmds assembles the ingress from its settings and runs it.
package cmds

import (
	"flag"
	"net/netip"
	"time"

	"github.com/zeebo/errs"

	"verbenaroad.example/ingress/services/origin"
	"verbenaroad.example/share/decide/budget"
	"verbenaroad.example/share/decide/cold"
	"verbenaroad.example/share/modules/setup"
)

// Callers is the table [callers]: the addresses for callers and for the load balancer.
type Callers struct {
	Listen netip.AddrPort
	// Ready and ReadyPath are the address and path of the load balancer's readiness check.
	Ready     netip.AddrPort
	ReadyPath string
	// Memory is how many megabytes of memory the process may use; a quarter of them are for what
	// callers' requests hold.
	Memory int
	// Descriptors is how many file descriptors the process may open; half of them are for
	// callers' connections.
	Descriptors int
}

// minMemory is the least memory, in megabytes, that a process needs for itself and a few requests.
const minMemory = 32

// descriptorsPerCaller is how many file descriptors a caller's request needs: one for the caller's
// connection and one for the connection to the backend server.
const descriptorsPerCaller = 2

// MaxConnections returns how many connections from callers may be open.
func (c *Callers) MaxConnections() int { return max(c.Descriptors/descriptorsPerCaller, 1) }

const (
	// requestShare is the part of the memory that is for bodies of requests and for answers, which
	// take up to twice their size between two runs of the garbage collector. The rest is for
	// connections, the links to other ingresses and the records.
	requestShare = 0.25
	// collectedShare is the part of the memory beyond which the garbage collector runs as often as it
	// takes to stay below. The program itself and the sockets take the rest.
	collectedShare = 0.7
	megabyte       = 1 << 20
)

// RequestMemory returns how many bytes the requests of callers may hold together.
func (c *Callers) RequestMemory() int64 { return int64(requestShare * float64(c.Memory*megabyte)) }

// CollectedMemory returns the number of bytes in use that the garbage collector aims to stay below.
func (c *Callers) CollectedMemory() int64 { return int64(collectedShare * float64(c.Memory*megabyte)) }

// Register declares the keys of the section.
func (c *Callers) Register(fs *flag.FlagSet) {
	fs.TextVar(&c.Listen, "callers.listen", netip.AddrPort{}, "`ip:port` for callers")
	fs.TextVar(&c.Ready, "callers.ready", netip.AddrPort{}, "`ip:port` of the load balancer's readiness check")
	fs.StringVar(&c.ReadyPath, "callers.ready-path", "/readyz", "`path` of the readiness check")
	fs.IntVar(&c.Memory, "callers.memory", 256, "`megabytes` of memory that the process may use; a quarter of them are for bodies of requests and answers that are not read yet, and beyond that requests are refused")
	fs.IntVar(&c.Descriptors, "callers.descriptors", 4096, "`number` of file descriptors that the process may open; half of them are for callers' connections, and beyond that the connection that has been idle longest is closed for each new one")
}

// Check returns the faults of the section.
func (c *Callers) Check() []error {
	faults := checkAddresses(map[string]netip.AddrPort{"callers.listen": c.Listen, "callers.ready": c.Ready})
	if c.Memory < minMemory {
		faults = append(faults, errs.New("callers.memory: must be %d or more", minMemory))
	}
	if c.Descriptors < descriptorsPerCaller {
		faults = append(faults, errs.New("callers.descriptors: must be %d or more", descriptorsPerCaller))
	}
	return faults
}

// Store is the table [store]: the connection to the platform's store.
type Store struct {
	Address netip.AddrPort
	// Timeout limits the duration of a call. Wait is how long after an open watch stopped delivering changes they
	// are seen at the latest.
	Timeout time.Duration
	Wait    time.Duration
	// Lease is how long an ingress stays registered after it has failed.
	Lease time.Duration
}

// Register declares the keys of the section.
func (s *Store) Register(fs *flag.FlagSet) {
	fs.TextVar(&s.Address, "store.address", netip.AddrPort{}, "`ip:port` of the platform's store")
	fs.DurationVar(&s.Timeout, "store.timeout", 1500*time.Millisecond, "longest `time` of a call to the store")
	fs.DurationVar(&s.Wait, "store.wait", 4*time.Second, "`time` after which changes are seen at the latest if an open watch of the store stops delivering them")
	fs.DurationVar(&s.Lease, "store.lease", time.Minute, "`time` for which a failed ingress stays registered; the others notice its failure by themselves")
}

// Check returns the faults of the section.
func (s *Store) Check() []error {
	faults := checkAddresses(map[string]netip.AddrPort{"store.address": s.Address})
	if s.Timeout <= 0 || s.Wait <= 0 || s.Lease < time.Second {
		faults = append(faults, errs.New("store.timeout: timeout and wait must be above 0, lease a second or more"))
	}
	return faults
}

// WatchTime returns the longest time of one watch. The rest of Wait is for noticing that the watch has gone silent, and
// for the listing after it. Only answers to a watch confirm the records.
func (s *Store) WatchTime() time.Duration { return min(s.Wait/2, origin.MaxWatch) }

// Place is the table [place]: the name, location and capacity of this process.
type Place struct {
	Name   string
	Domain string
	Region string
	// Regions maps each failure domain to its region.
	Regions setup.LabelList
	// Cores is the processor capacity of the process in cores.
	Cores float64
}

// Register declares the keys of the section.
func (p *Place) Register(fs *flag.FlagSet) {
	p.Regions = setup.LabelList{}
	fs.StringVar(&p.Name, "place.name", "", "unique `name` of this instance")
	fs.StringVar(&p.Domain, "place.domain", "", "failure `domain` of this instance")
	fs.StringVar(&p.Region, "place.region", "", "`region` of this instance")
	fs.Float64Var(&p.Cores, "place.cores", 1, "`share` of a processor core that the process has; work that ingresses do for each other is distributed by it, and a process that has used it up and runs late refuses new connections")
	fs.Var(p.Regions, "place.regions", "regions of all failure domains as a list of `domain=region`")
}

// Check returns the faults of the section.
func (p *Place) Check() []error {
	faults := []error{}
	for _, required := range [][2]string{{"name", p.Name}, {"domain", p.Domain}, {"region", p.Region}} {
		if required[1] == "" {
			faults = append(faults, errs.New("place.%s: must be set", required[0]))
		}
	}
	if p.Cores <= 0 {
		faults = append(faults, errs.New("place.cores: must be above 0"))
	}
	return faults
}

// Peers is the table [peers]: the links between ingresses.
type Peers struct {
	Listen netip.AddrPort
	// Seeds are ingresses that are asked for the store's records while no other ingress is known.
	Seeds setup.AddrList
	// Private allows links without TLS beyond loopback.
	Private bool
	// HeartbeatInterval is the time between two heartbeats of a link.
	HeartbeatInterval time.Duration
}

// Register declares the keys of the section.
func (p *Peers) Register(fs *flag.FlagSet) {
	fs.TextVar(&p.Listen, "peers.listen", netip.AddrPort{}, "`ip:port` for the other ingresses")
	fs.Var(&p.Seeds, "peers.seeds", "list of `ip:port` of ingresses that are asked for the store's records while no other ingress is known; entries may be stale")
	fs.BoolVar(&p.Private, "peers.private", false, "allow links without TLS beyond loopback, on a network that only the deployment's instances reach")
	fs.DurationVar(&p.HeartbeatInterval, "peers.beat-every", 300*time.Millisecond, "`time` between two heartbeats of a link; a link that is silent for three and a half times as long is closed")
}

// Check returns the faults of the section.
func (p *Peers) Check() []error {
	faults := checkAddresses(map[string]netip.AddrPort{"peers.listen": p.Listen})
	if p.HeartbeatInterval <= 0 {
		faults = append(faults, errs.New("peers.beat-every: must be above 0"))
	}
	return faults
}

// Repeats is the table [repeats]: the retry budget.
type Repeats struct {
	budget.Settings
}

// Register declares the keys of the section.
func (r *Repeats) Register(fs *flag.FlagSet) {
	fs.Float64Var(&r.Ratio, "repeats.ratio", 0.1, "`share` of a service's requests that may be retried")
	fs.Float64Var(&r.Slack, "repeats.slack", 20, "`number` of further retries per window, by all ingresses together")
	fs.DurationVar(&r.Window, "repeats.window", 10*time.Second, "`time` over which requests and retries are counted")
}

// Check returns the faults of the section.
func (r *Repeats) Check() []error {
	if r.Ratio < 0 || r.Slack < 0 || r.Window <= 0 {
		return []error{errs.New("repeats.ratio: ratio and slack must not be below 0, window must be above 0")}
	}
	return nil
}

// Cold is the table [cold]: the rate limit of a backend server that has just started.
type Cold struct {
	cold.Settings
}

// Register declares the keys of the section.
func (c *Cold) Register(fs *flag.FlagSet) {
	fs.Float64Var(&c.Overage, "cold.overage", 1, "how many `times` its stated rate a cold server may receive, from all ingresses together")
	fs.Float64Var(&c.Slack, "cold.slack", 0, "`number` of requests per second in addition to that")
}

// Check returns the faults of the section.
func (c *Cold) Check() []error {
	if c.Overage < 1 || c.Slack < 0 {
		return []error{errs.New("cold.overage: overage must be 1 or more, slack must not be below 0")}
	}
	return nil
}

// Stop is the table [stop]: the phases of the graceful shutdown.
type Stop struct {
	// Grace is the longest time from the stop signal to the end of the process.
	Grace time.Duration
	// Admit is how long after the stop signal was sent new requests are still admitted: the load balancer
	// needs a few readiness checks to notice that the process is stopping.
	Admit time.Duration
}

// signalShare is the part of the admission time that is kept for the delay of the signal.
const signalShare = 6

// AdmitPeriod returns how long new requests are admitted after the process has heard the stop signal.
//
// Guards against admitting a request that was sent too late, since a process that waits for a processor hears the signal
// late: callers are promised that what is sent after Admit is not begun and then cut.
func (s *Stop) AdmitPeriod() time.Duration { return s.Admit - s.Admit/signalShare }

// Register declares the keys of the section.
func (s *Stop) Register(fs *flag.FlagSet) {
	fs.DurationVar(&s.Grace, "stop.grace", 8*time.Second, "longest `time` from the stop signal to the end of the process")
	fs.DurationVar(&s.Admit, "stop.admit", 3*time.Second, "`time` after the stop signal until which new requests are admitted; a sixth of it is kept for the delay with which a busy process hears the signal")
}

// Check returns the faults of the section.
func (s *Stop) Check() []error {
	if s.Grace <= 0 || s.Admit < 0 || s.Admit > s.Grace {
		return []error{errs.New("stop.grace: must be above 0 and not below stop.admit")}
	}
	return nil
}

// Metrics is the table [metrics]: where metrics are served.
type Metrics struct {
	Listen netip.AddrPort
	Path   string
}

// Register declares the keys of the section.
func (m *Metrics) Register(fs *flag.FlagSet) {
	fs.TextVar(&m.Listen, "metrics.listen", netip.AddrPort{}, "`ip:port` where metrics are served")
	fs.StringVar(&m.Path, "metrics.path", "/metrics", "`path` of the metrics")
}

// Check returns the faults of the section.
func (m *Metrics) Check() []error {
	return checkAddresses(map[string]netip.AddrPort{"metrics.listen": m.Listen})
}

// Settings holds all tables of the ingress's settings.
type Settings struct {
	Log      setup.Log
	Place    Place
	Callers  Callers
	Store    Store
	Peers    Peers
	Repeats  Repeats
	Cold     Cold
	Stop     Stop
	Metrics  Metrics
	Features Features
	Secure   setup.TLS
}

// Sections returns the tables, for setup.Load and setup.NewFlagSet.
func (s *Settings) Sections() []setup.Section {
	return []setup.Section{
		&s.Log, &s.Place, &s.Callers, &s.Store, &s.Peers, &s.Repeats, &s.Cold, &s.Stop, &s.Metrics, &s.Features, &s.Secure,
	}
}

func checkAddresses(addresses map[string]netip.AddrPort) []error {
	faults := []error{}
	for key, address := range addresses {
		if !address.IsValid() {
			faults = append(faults, errs.New("%s: must be set to ip:port", key))
		}
	}
	return faults
}
