// Package scene holds the description of one load experiment.
package scene

import (
	"net/netip"
	"time"

	"verbenaroad.example/share/models/config"
)

// Mode says what decides when a request is sent.
type Mode string

// The modes.
const (
	// ModeOpen sends at the scheduled times, whatever the answers do.
	ModeOpen Mode = "open"
	// ModeClosed sends the next request of a worker when its last answer has ended.
	ModeClosed Mode = "closed"
)

// TargetKind says which API stands behind the addresses.
type TargetKind string

// The kinds of targets.
const (
	// TargetEntry is the caller API of the system.
	TargetEntry TargetKind = "entry"
	// TargetEngine is the completions API of a model engine.
	TargetEngine TargetKind = "engine"
	// TargetHTTP is a plain service; any 2xx answer read to its end is whole.
	TargetHTTP TargetKind = "http"
)

// Arrivals names the process that spaces the requests of a phase.
type Arrivals string

// The arrival processes.
const (
	ArrivalsPoisson Arrivals = "poisson"
	ArrivalsUniform Arrivals = "uniform"
)

// KeyUse says how a class fills the Idempotency-Key header.
type KeyUse string

// The uses of idempotency keys.
const (
	KeyNone   KeyUse = "none"
	KeyUnique KeyUse = "unique"
	// KeyRepeat sends each key KeyRepeats times, with the same body.
	KeyRepeat KeyUse = "repeat"
)

// Distribution names how prompt lengths are spread.
type Distribution string

// The distributions of prompt lengths.
const (
	DistributionFixed       Distribution = "fixed"
	DistributionUniform     Distribution = "uniform"
	DistributionExponential Distribution = "exponential"
)

// Scenario is one load experiment.
type Scenario struct {
	// Name and Policy label every row of the results.
	Name   string `toml:"name"`
	Policy string `toml:"policy"`
	// Seed fixes arrivals, classes and prompts; a run with the same seed offers the same load.
	Seed uint64 `toml:"seed"`
	Mode Mode   `toml:"mode"`
	// Workers is the number of senders of ModeClosed.
	Workers int `toml:"workers"`
	// MaxInFlight bounds the open requests of ModeOpen; an arrival over it counts as not sent.
	MaxInFlight int `toml:"max-in-flight"`
	// LateWait is how long past its deadline an answer is still read, so that late ones show as late.
	LateWait config.Duration `toml:"late-wait"`
	Target   Target          `toml:"target"`
	Metrics  Metrics         `toml:"metrics"`
	// Phases run one after the other.
	Phases  []Phase `toml:"phase"`
	Classes []Class `toml:"class"`
}

// Target is where the load goes.
type Target struct {
	Kind TargetKind `toml:"kind"`
	// Addresses are used round robin.
	Addresses []netip.AddrPort `toml:"addresses"`
	// Model is passed to engines.
	Model string `toml:"model"`
}

// Metrics says which expvar figures are read before and after the load.
type Metrics struct {
	// Addresses serve /debug/vars; a figure is the sum over all of them.
	Addresses []netip.AddrPort `toml:"addresses"`
	Keys      []MetricKey      `toml:"key"`
}

// MetricKey is one figure, or a map of figures, of expvar.
type MetricKey struct {
	// Name is the metric's name in the results; a map adds one row for each of its keys.
	Name string `toml:"name"`
	// Path leads to the figure through nested maps, separated by "/".
	Path string `toml:"path"`
	Unit string `toml:"unit"`
	// PerOffered adds a row with the figure divided by the requests offered.
	PerOffered bool `toml:"per-offered"`
}

// Phase is a stretch of constant mean rate.
type Phase struct {
	// Name is unique among phases.
	Name     string          `toml:"name"`
	Duration config.Duration `toml:"duration"`
	// Rate is the mean number of requests per second; unused by ModeClosed.
	Rate     float64  `toml:"rate"`
	Arrivals Arrivals `toml:"arrivals"`
	// WarmUp keeps the phase out of the results.
	WarmUp bool `toml:"warm-up"`
	// Mix replaces the weights of the classes that it names.
	Mix map[string]float64 `toml:"mix"`
}

// Class is a kind of request.
type Class struct {
	// Name is unique among classes.
	Name string `toml:"name"`
	// Weight is the class's share of the arrivals.
	Weight float64 `toml:"weight"`
	Team   string  `toml:"team"`
	Token  string  `toml:"token"`
	// Pipeline and Service exclude each other; engines take neither.
	Pipeline string `toml:"pipeline"`
	Service  string `toml:"service"`
	Method   string `toml:"method"`
	Path     string `toml:"path"`
	// Priority is sent as it stands; empty sends no header.
	Priority config.Priority `toml:"priority"`
	Deadline config.Duration `toml:"deadline"`
	Prompt   Prompt          `toml:"prompt"`
	// MaxTokens is left out of the body when it is 0.
	MaxTokens int  `toml:"max-tokens"`
	Stream    bool `toml:"stream"`
	// ExpectTokens is the exact count of tokens in a whole streamed answer; 0: any.
	ExpectTokens int `toml:"expect-tokens"`
	// SameAnswer checks that equal prompts get equal texts; it holds for stand-ins whose text depends on the prompt alone.
	SameAnswer bool   `toml:"same-answer"`
	Key        KeyUse `toml:"key"`
	KeyRepeats int    `toml:"key-repeats"`
	// Body replaces the JSON made from the prompt.
	Body string `toml:"body"`
}

// Prompt describes the texts of a class, counted in words.
type Prompt struct {
	Length Distribution `toml:"length"`
	// Words is the fixed or mean length; Min and Max bound the drawn lengths.
	Words int `toml:"words"`
	Min   int `toml:"min"`
	Max   int `toml:"max"`
	// Distinct is the number of different prompts that the class repeats; 0: each request has its own.
	Distinct int `toml:"distinct"`
	// Prefixes is the number of shared beginnings, each PrefixWords long and drawn uniformly.
	Prefixes    int `toml:"prefixes"`
	PrefixWords int `toml:"prefix-words"`
}

// LeadingWarmUp returns the length of the warm-up phases before the first that counts.
func (s *Scenario) LeadingWarmUp() time.Duration {
	total := time.Duration(0)
	for i := range s.Phases {
		if !s.Phases[i].WarmUp {
			break
		}
		total += s.Phases[i].Duration.Value()
	}
	return total
}
