// Package cmds assembles the entry from its settings and runs it.
package cmds

import (
	"flag"
	"net/netip"
	"time"

	"github.com/zeebo/errs"

	"verbenaroad.example/share/decide/route"
	"verbenaroad.example/share/modules/setup"
)

const defaultMaxBodyBytes = 1 << 20

// Callers is the table [callers]: the caller API.
type Callers struct {
	Listen netip.AddrPort
	// MaxBodyBytes is the size limit of a request body.
	MaxBodyBytes int
	// Server is the TLS certificate of the API. It is not set if the platform's load balancer
	// terminates TLS.
	Server setup.ServerCert
}

// Register declares the keys of the section.
func (c *Callers) Register(fs *flag.FlagSet) {
	fs.TextVar(&c.Listen, "callers.listen", netip.AddrPort{}, "`ip:port` of the caller API")
	c.Server.Register(fs, "callers")
	fs.IntVar(&c.MaxBodyBytes, "callers.max-body-bytes", defaultMaxBodyBytes, "longest request body in `bytes`")
}

// Check returns the faults of the section.
func (c *Callers) Check() []error {
	faults := []error{}
	if !c.Listen.IsValid() {
		faults = append(faults, errs.New("callers.listen: must be set to ip:port"))
	}
	if c.MaxBodyBytes < 1 {
		faults = append(faults, errs.New("callers.max-body-bytes: must be above 0"))
	}
	return append(faults, c.Server.Check("callers")...)
}

// Admin is the table [admin]: the API for operators.
type Admin struct {
	Listen netip.AddrPort
	// BootstrapSHA256 is the SHA-256 digest in hex of the bootstrap token, which is valid while no
	// configuration exists; empty: there is no bootstrap token.
	BootstrapSHA256 string
	// Linger is the shortest time from the announcement of a stop to the stop.
	Linger time.Duration
	// Server is the TLS certificate of the API. It is required unless Listen is a loopback address.
	Server setup.ServerCert
}

// Register declares the keys of the section.
func (a *Admin) Register(fs *flag.FlagSet) {
	fs.TextVar(&a.Listen, "admin.listen", netip.AddrPort{}, "`ip:port` of the operators' API")
	fs.StringVar(&a.BootstrapSHA256, "admin.bootstrap-sha256", "", "SHA-256 `digest` in hex of the bootstrap token, which is valid while no configuration exists; empty: there is no bootstrap token")
	a.Server.Register(fs, "admin")
	fs.DurationVar(&a.Linger, "admin.linger", time.Second, "shortest `time` from the announcement of a stop to the stop")
}

// Check returns the faults of the section.
func (a *Admin) Check() []error {
	faults := a.Server.Check("admin")
	if !a.Listen.IsValid() {
		faults = append(faults, errs.New("admin.listen: must be set to ip:port"))
	}
	// The tokens of operators must not be sent over a network without encryption.
	if a.Server.Cert == "" && a.Listen.IsValid() && !a.Listen.Addr().IsLoopback() {
		faults = append(faults, errs.New("admin.listen: %s needs admin.cert; plain is for loopback only", a.Listen))
	}
	return faults
}

// Routing is the table [routing]: the choice of agents and the sessions to them.
type Routing struct {
	// Policy is "deadline", or one of the baselines for experiments.
	Policy string
	// SubsetSize is the number of agents of a service that the entry keeps sessions to. The subset
	// may widen to SubsetMax while its agents are busy.
	SubsetSize int
	SubsetMax  int
	// RegionRoundTrip is added to the predicted time of a call to another region.
	RegionRoundTrip time.Duration
	// HeartbeatInterval is the time between two heartbeats to an agent. A session without any data
	// for 3.5 times as long is closed.
	HeartbeatInterval time.Duration
}

// Register declares the keys of the section.
func (r *Routing) Register(fs *flag.FlagSet) {
	defaults := route.DefaultSettings()
	fs.StringVar(&r.Policy, "routing.policy", string(defaults.Policy), "`policy`: deadline, or a baseline: random, round-robin, least-outstanding, two-choices")
	fs.IntVar(&r.SubsetSize, "routing.subset-size", defaults.SubsetSize, "`number` of agents of a service to keep sessions to")
	fs.IntVar(&r.SubsetMax, "routing.subset-max", defaults.SubsetMax, "largest `number` of agents of a service to keep sessions to while those agents are busy")
	fs.DurationVar(&r.RegionRoundTrip, "routing.region-round-trip", defaults.RegionRoundTrip, "additional `time` of a call to another region")
	fs.DurationVar(&r.HeartbeatInterval, "routing.beat-every", time.Second, "`time` between two heartbeats to an agent; a session without any data for three and a half times as long is closed")
}

// Check returns the faults of the section.
func (r *Routing) Check() []error {
	faults := []error{}
	known := false
	for _, policy := range route.Policies() {
		known = known || string(policy) == r.Policy
	}
	if !known {
		faults = append(faults, errs.New("routing.policy: %q is unknown", r.Policy))
	}
	if r.SubsetSize < 1 || r.SubsetMax < r.SubsetSize {
		faults = append(faults, errs.New("routing.subset-size: want 1 to subset-max"))
	}
	if r.HeartbeatInterval <= 0 {
		faults = append(faults, errs.New("routing.beat-every: must be above 0"))
	}
	return faults
}

// Settings holds all tables of the entry's settings.
type Settings struct {
	Log      setup.Log
	Trace    setup.Trace
	Instance setup.Instance
	Platform setup.Platform
	Stop     setup.Stop
	TLS      setup.TLS
	Metrics  setup.Metrics
	Callers  Callers
	Admin    Admin
	Routing  Routing
	// Admission is the table [admission].
	Admission Admission
}

// Sections returns all tables, for loading them and for tests of example files.
func (s *Settings) Sections() []setup.Section {
	return []setup.Section{
		&s.Log, &s.Trace, &s.Instance, &s.Platform, &s.Stop,
		&s.TLS, &s.Metrics, &s.Callers, &s.Admin, &s.Routing, &s.Admission,
	}
}
