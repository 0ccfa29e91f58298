package setup

import (
	"flag"
	"maps"
	"net/netip"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/zeebo/errs"
)

// Log is the table [log].
type Log struct {
	// Level is debug, info, warn or error.
	Level string
}

// Register adds the flags of the section to fs.
func (l *Log) Register(fs *flag.FlagSet) {
	fs.StringVar(&l.Level, "log.level", "info", "lowest `level` that is written: debug, info, warn, error")
}

// Check returns the faults of the section.
func (l *Log) Check() []error {
	switch l.Level {
	case "debug", "info", "warn", "error":
		return nil
	default:
		return []error{errs.New("log.level: %q is none of debug, info, warn, error", l.Level)}
	}
}

// Trace is the table [trace].
type Trace struct {
	// File is the file to which finished spans are written as JSON lines; empty: none.
	File string
	// Collector is the address that receives spans by OTLP over HTTP; the zero value: none.
	Collector netip.AddrPort
	// Share is the share of requests that are traced, from 0 to 1.
	Share float64
}

// Register adds the flags of the section to fs.
func (t *Trace) Register(fs *flag.FlagSet) {
	fs.StringVar(&t.File, "trace.file", "", "`file` to which finished spans are written as JSON lines; empty: none")
	fs.TextVar(&t.Collector, "trace.collector", netip.AddrPort{}, "`ip:port` that receives spans by OTLP over HTTP; empty: none")
	fs.Float64Var(&t.Share, "trace.share", 1, "`share` of requests that are traced, 0 to 1; a caller's own traceparent takes precedence")
}

// Check returns the faults of the section.
func (t *Trace) Check() []error {
	if t.Share < 0 || t.Share > 1 {
		return []error{errs.New("trace.share: %v is not from 0 to 1", t.Share)}
	}
	return nil
}

// Instance is the table [instance]: the name and location of this process.
type Instance struct {
	// Name is unique in the deployment.
	Name string
	// Region and Domain are the region and the failure domain of the process; both are required.
	Region string
	Domain string
	// Labels are the labels that selectors match.
	Labels LabelList
}

// Register adds the flags of the section to fs.
func (i *Instance) Register(fs *flag.FlagSet) {
	i.Labels = LabelList{}
	fs.StringVar(&i.Name, "instance.name", "", "unique `name` of this instance")
	fs.StringVar(&i.Region, "instance.region", "", "`region` of this instance")
	fs.StringVar(&i.Domain, "instance.domain", "", "failure `domain` of this instance")
	fs.Var(i.Labels, "instance.labels", "labels as a list of `key=value`")
}

// Check returns the faults of the section.
func (i *Instance) Check() []error {
	faults := []error{}
	for _, required := range [][2]string{{"name", i.Name}, {"region", i.Region}, {"domain", i.Domain}} {
		if required[1] == "" {
			faults = append(faults, errs.New("instance.%s: must be set", required[0]))
		}
	}
	return faults
}

// LabelList is the value of a flag that takes comma-separated key=value pairs.
type LabelList map[string]string

// String returns the pairs in the form that Set parses.
func (l LabelList) String() string {
	parts := make([]string, 0, len(l))
	for key, value := range l {
		parts = append(parts, key+"="+value)
	}
	return strings.Join(parts, ",")
}

// Set adds comma-separated key=value pairs. An empty text contains none.
func (l LabelList) Set(text string) error {
	if text == "" {
		return nil
	}
	for _, part := range strings.Split(text, ",") {
		key, value, found := strings.Cut(strings.TrimSpace(part), "=")
		if !found || key == "" {
			return errs.New("label %q: want key=value", part)
		}
		l[key] = value
	}
	return nil
}

// AddrList is the value of a flag that takes comma-separated addresses.
type AddrList []netip.AddrPort

// String returns the addresses in the form that Set parses.
func (l *AddrList) String() string {
	parts := make([]string, 0, len(*l))
	for _, address := range *l {
		parts = append(parts, address.String())
	}
	return strings.Join(parts, ",")
}

// Set replaces the list with comma-separated addresses. An empty text contains none; a host name is
// rejected.
func (l *AddrList) Set(text string) error {
	*l = nil
	if text == "" {
		return nil
	}
	for _, part := range strings.Split(text, ",") {
		address, err := netip.ParseAddrPort(strings.TrimSpace(part))
		if err != nil {
			return errs.New("address %q: want ip:port with an IP number", part)
		}
		*l = append(*l, address)
	}
	return nil
}

// Platform is the table [platform]: the services of the platform that the process uses.
type Platform struct {
	// Store is the address of the key-value service.
	Store netip.AddrPort
	// StoreTimeout is the timeout of one call of the key-value service.
	StoreTimeout time.Duration
	// List is the address of the service that lists instances. Its list lags behind.
	List netip.AddrPort
	// ListEvery is the interval between two reads of the list.
	ListEvery time.Duration
}

// Register adds the flags of the section to fs.
func (p *Platform) Register(fs *flag.FlagSet) {
	fs.TextVar(&p.Store, "platform.store", netip.AddrPort{}, "`ip:port` of the key-value service")
	fs.DurationVar(&p.StoreTimeout, "platform.store-timeout", 2*time.Second, "longest `time` for one call of the key-value service")
	fs.TextVar(&p.List, "platform.list", netip.AddrPort{}, "`ip:port` of the list of instances")
	fs.DurationVar(&p.ListEvery, "platform.list-every", 5*time.Second, "`time` between two reads of the list")
}

// Check returns the faults of the section.
func (p *Platform) Check() []error {
	faults := []error{}
	if !p.Store.IsValid() {
		faults = append(faults, errs.New("platform.store: must be set to ip:port"))
	}
	if !p.List.IsValid() {
		faults = append(faults, errs.New("platform.list: must be set to ip:port"))
	}
	if p.StoreTimeout <= 0 {
		faults = append(faults, errs.New("platform.store-timeout: must be above 0"))
	}
	if p.ListEvery <= 0 {
		faults = append(faults, errs.New("platform.list-every: must be above 0"))
	}
	return faults
}

// Stop is the table [stop].
type Stop struct {
	// Grace is the longest time that a graceful shutdown waits for running requests.
	Grace time.Duration
}

// Register adds the flags of the section to fs.
func (s *Stop) Register(fs *flag.FlagSet) {
	fs.DurationVar(&s.Grace, "stop.grace", 30*time.Second, "longest `time` that a graceful shutdown waits for running requests")
}

// Check returns the faults of the section.
func (s *Stop) Check() []error {
	if s.Grace < 0 {
		return []error{errs.New("stop.grace: must not be negative")}
	}
	return nil
}

// Metrics is the table [metrics]: the listener for operators' tools.
type Metrics struct {
	Listen netip.AddrPort
	// AddressFile is the file to which the process writes the addresses that it listens on. It shows
	// the ports that the system chose. Empty: none.
	AddressFile string
}

// Register adds the flags of the section to fs.
func (m *Metrics) Register(fs *flag.FlagSet) {
	fs.TextVar(&m.Listen, "metrics.listen", netip.MustParseAddrPort("127.0.0.1:0"), "`ip:port` for expvar, profiles, health and readiness")
	fs.StringVar(&m.AddressFile, "metrics.address-file", "", "`file` to which the bound addresses are written, one key=ip:port per line; empty: none")
}

// Check returns the faults of the section.
func (m *Metrics) Check() []error {
	if !m.Listen.IsValid() {
		return []error{errs.New("metrics.listen: must be ip:port")}
	}
	return nil
}

// WriteAddresses writes the addresses that the process listens on to AddressFile, for the program
// that started the process.
func (m *Metrics) WriteAddresses(addresses map[string]netip.AddrPort) error {
	if m.AddressFile == "" {
		return nil
	}
	names := slices.Sorted(maps.Keys(addresses))
	text := strings.Builder{}
	for _, name := range names {
		text.WriteString(name + "=" + addresses[name].String() + "\n")
	}
	// The file is renamed into place, so that a reader never sees a part of it.
	draft := m.AddressFile + ".draft"
	if err := os.WriteFile(draft, []byte(text.String()), 0o600); err != nil {
		return ErrSetup.Wrap(err)
	}
	return ErrSetup.Wrap(os.Rename(draft, m.AddressFile))
}
