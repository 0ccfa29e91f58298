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

// Register declares the keys of the section.
func (l *Log) Register(fs *flag.FlagSet) {
	fs.StringVar(&l.Level, "log.level", "info", "least `level` that is written: debug, info, warn, error")
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
	// File takes finished spans as JSON lines; empty: none.
	File string
	// Collector takes spans by OTLP over HTTP; the zero value: none.
	Collector netip.AddrPort
	// Share of requests that are traced, 0 to 1.
	Share float64
}

// Register declares the keys of the section.
func (t *Trace) Register(fs *flag.FlagSet) {
	fs.StringVar(&t.File, "trace.file", "", "`file` that takes finished spans as JSON lines; empty: none")
	fs.TextVar(&t.Collector, "trace.collector", netip.AddrPort{}, "`ip:port` that takes spans by OTLP over HTTP; empty: none")
	fs.Float64Var(&t.Share, "trace.share", 1, "`share` of requests that are traced, 0 to 1; a caller's own traceparent decides first")
}

// Check returns the faults of the section.
func (t *Trace) Check() []error {
	if t.Share < 0 || t.Share > 1 {
		return []error{errs.New("trace.share: %v is not from 0 to 1", t.Share)}
	}
	return nil
}

// Instance is the table [instance]: who and where this process is.
type Instance struct {
	// Name is unique in the deployment.
	Name string
	// Region and Domain place the process; both are needed.
	Region string
	Domain string
	// Labels are matched by selectors.
	Labels LabelList
}

// Register declares the keys of the section.
func (i *Instance) Register(fs *flag.FlagSet) {
	i.Labels = LabelList{}
	fs.StringVar(&i.Name, "instance.name", "", "unique `name` of this instance")
	fs.StringVar(&i.Region, "instance.region", "", "`region` it stands in")
	fs.StringVar(&i.Domain, "instance.domain", "", "failure `domain` it stands in")
	fs.Var(i.Labels, "instance.labels", "labels as a list of `key=value`")
}

// Check returns the faults of the section.
func (i *Instance) Check() []error {
	faults := []error{}
	for _, must := range [][2]string{{"name", i.Name}, {"region", i.Region}, {"domain", i.Domain}} {
		if must[1] == "" {
			faults = append(faults, errs.New("instance.%s: must be set", must[0]))
		}
	}
	return faults
}

// LabelList is a flag of key=value pairs with commas between them.
type LabelList map[string]string

// String returns the pairs in the form that Set reads.
func (l LabelList) String() string {
	parts := make([]string, 0, len(l))
	for key, value := range l {
		parts = append(parts, key+"="+value)
	}
	return strings.Join(parts, ",")
}

// Set reads key=value pairs with commas between them; an empty text holds none.
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

// AddrList is a flag of addresses with commas between them.
type AddrList []netip.AddrPort

// String returns the addresses in the form that Set reads.
func (l *AddrList) String() string {
	parts := make([]string, 0, len(*l))
	for _, address := range *l {
		parts = append(parts, address.String())
	}
	return strings.Join(parts, ",")
}

// Set reads addresses with commas between them; a host name is refused, an empty text holds none.
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

// Platform is the table [platform]: the services that the platform runs.
type Platform struct {
	// Store is the key-value service.
	Store netip.AddrPort
	// StoreTimeout bounds one call of it.
	StoreTimeout time.Duration
	// List is the lagging list of instances.
	List netip.AddrPort
	// ListEvery is the time between two reads of the list.
	ListEvery time.Duration
}

// Register declares the keys of the section.
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
	// Grace bounds how long a graceful shutdown waits for running requests.
	Grace time.Duration
}

// Register declares the keys of the section.
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

// Metrics is the table [metrics]: the address for operators' tools.
type Metrics struct {
	Listen netip.AddrPort
	// AddressFile takes the addresses that the process bound, for ports chosen by the system.
	AddressFile string
}

// Register declares the keys of the section.
func (m *Metrics) Register(fs *flag.FlagSet) {
	fs.TextVar(&m.Listen, "metrics.listen", netip.MustParseAddrPort("127.0.0.1:0"), "`ip:port` for expvar, profiles, health and readiness")
	fs.StringVar(&m.AddressFile, "metrics.address-file", "", "`file` that takes the bound addresses, one key=ip:port a line; empty: none")
}

// Check returns the faults of the section.
func (m *Metrics) Check() []error {
	if !m.Listen.IsValid() {
		return []error{errs.New("metrics.listen: must be ip:port")}
	}
	return nil
}

// WriteAddresses writes the bound addresses for whoever started the process.
func (m *Metrics) WriteAddresses(addresses map[string]netip.AddrPort) error {
	if m.AddressFile == "" {
		return nil
	}
	names := slices.Sorted(maps.Keys(addresses))
	text := strings.Builder{}
	for _, name := range names {
		text.WriteString(name + "=" + addresses[name].String() + "\n")
	}
	// A reader must never see half of the file.
	draft := m.AddressFile + ".draft"
	if err := os.WriteFile(draft, []byte(text.String()), 0o600); err != nil {
		return ErrSetup.Wrap(err)
	}
	return ErrSetup.Wrap(os.Rename(draft, m.AddressFile))
}
