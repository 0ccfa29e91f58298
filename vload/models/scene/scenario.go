// Package scene defines scenarios, the descriptions of load experiments, and reads them from TOML.
package scene

import (
	"net/netip"
	"time"

	"verbenaroad.example/share/models/config"
)

// Mode selects what triggers the sending of a request.
type Mode string

// The modes.
const (
	// ModeOpen sends requests at their scheduled times, whether or not earlier requests have
	// finished.
	ModeOpen Mode = "open"
	// ModeClosed sends the next request of a worker when its previous request has finished.
	ModeClosed Mode = "closed"
)

// TargetKind is the API that the target addresses serve.
type TargetKind string

// The kinds of targets.
const (
	// TargetEntry is the API that an entry offers to callers.
	TargetEntry TargetKind = "entry"
	// TargetEngine is the completions API of a model engine.
	TargetEngine TargetKind = "engine"
	// TargetHTTP is a plain service; any 2xx answer that is read to its end counts as complete.
	TargetHTTP TargetKind = "http"
)

// Arrivals is the arrival process of a phase, which determines the times between requests.
type Arrivals string

// The arrival processes.
const (
	ArrivalsPoisson Arrivals = "poisson"
	ArrivalsUniform Arrivals = "uniform"
)

// KeyUse selects how the requests of a class set the Idempotency-Key header.
type KeyUse string

// The uses of idempotency keys.
const (
	KeyNone   KeyUse = "none"
	KeyUnique KeyUse = "unique"
	// KeyRepeat sends each key KeyRepeats times, with the same body.
	KeyRepeat KeyUse = "repeat"
)

// Distribution is the probability distribution of prompt lengths.
type Distribution string

// The distributions of prompt lengths.
const (
	DistributionFixed       Distribution = "fixed"
	DistributionUniform     Distribution = "uniform"
	DistributionExponential Distribution = "exponential"
)

// Scenario is one load experiment.
type Scenario struct {
	// Name and Policy are written to every row of the results.
	Name   string `toml:"name"`
	Policy string `toml:"policy"`
	// Seed determines arrivals, classes and prompts; runs with the same seed offer the same load.
	Seed uint64 `toml:"seed"`
	Mode Mode   `toml:"mode"`
	// Workers is the number of concurrent senders in ModeClosed.
	Workers int `toml:"workers"`
	// MaxInFlight limits the requests in flight in ModeOpen; an arrival beyond the limit counts as
	// not sent.
	MaxInFlight int `toml:"max-in-flight"`
	// LateWait is how long after its deadline an answer is still read, so that it is reported as
	// late.
	LateWait config.Duration `toml:"late-wait"`
	Target   Target          `toml:"target"`
	Metrics  Metrics         `toml:"metrics"`
	// Phases run one after another in this order.
	Phases  []Phase `toml:"phase"`
	Classes []Class `toml:"class"`
}

// Target holds the endpoints that receive the load.
type Target struct {
	Kind TargetKind `toml:"kind"`
	// Addresses are used in round-robin order.
	Addresses []netip.AddrPort `toml:"addresses"`
	// Model is the model name in requests to engines.
	Model string `toml:"model"`
}

// Metrics selects the expvar figures that are read before and after the load.
type Metrics struct {
	// Addresses serve /debug/vars; a figure is summed over all of them.
	Addresses []netip.AddrPort `toml:"addresses"`
	Keys      []MetricKey      `toml:"key"`
}

// MetricKey selects one expvar figure or a map of figures.
type MetricKey struct {
	// Name is the metric's name in the results; a map adds one row for each of its keys.
	Name string `toml:"name"`
	// Path is the list of keys that leads through nested maps to the figure, separated by "/".
	Path string `toml:"path"`
	Unit string `toml:"unit"`
	// PerOffered adds a row with the figure divided by the number of requests offered.
	PerOffered bool `toml:"per-offered"`
}

// Phase is a period with a constant mean request rate.
type Phase struct {
	// Name is unique among phases.
	Name     string          `toml:"name"`
	Duration config.Duration `toml:"duration"`
	// Rate is the mean number of requests per second; ModeClosed ignores it.
	Rate     float64  `toml:"rate"`
	Arrivals Arrivals `toml:"arrivals"`
	// WarmUp excludes the requests of the phase from the results.
	WarmUp bool `toml:"warm-up"`
	// Mix overrides, by class name, the weights of classes during the phase.
	Mix map[string]float64 `toml:"mix"`
}

// Class describes one kind of request.
type Class struct {
	// Name is unique among classes.
	Name string `toml:"name"`
	// Weight is the share of the arrivals that this class gets, relative to the other classes.
	Weight float64 `toml:"weight"`
	Team   string  `toml:"team"`
	Token  string  `toml:"token"`
	// Pipeline and Service exclude each other; requests to engines use neither.
	Pipeline string `toml:"pipeline"`
	Service  string `toml:"service"`
	Method   string `toml:"method"`
	Path     string `toml:"path"`
	// Priority is the value of the priority header; an empty value sends no header.
	Priority config.Priority `toml:"priority"`
	Deadline config.Duration `toml:"deadline"`
	Prompt   Prompt          `toml:"prompt"`
	// MaxTokens is omitted from the request body when it is 0.
	MaxTokens int  `toml:"max-tokens"`
	Stream    bool `toml:"stream"`
	// ExpectTokens is the exact number of tokens in a complete streamed answer; 0 accepts any
	// number.
	ExpectTokens int `toml:"expect-tokens"`
	// SameAnswer checks that equal prompts get equal texts. It is valid only for stand-in engines
	// whose text depends on the prompt alone.
	SameAnswer bool   `toml:"same-answer"`
	Key        KeyUse `toml:"key"`
	KeyRepeats int    `toml:"key-repeats"`
	// Body replaces the JSON body that is generated from the prompt.
	Body string `toml:"body"`
}

// Prompt describes the prompts of a class; lengths are in words.
type Prompt struct {
	Length Distribution `toml:"length"`
	// Words is the fixed or mean length; Min and Max limit the lengths that are drawn at random.
	Words int `toml:"words"`
	Min   int `toml:"min"`
	Max   int `toml:"max"`
	// Distinct is the number of different prompts that the class reuses; with 0, each request has
	// its own.
	Distinct int `toml:"distinct"`
	// Prefixes is the number of shared prompt prefixes, each PrefixWords long and drawn uniformly.
	Prefixes    int `toml:"prefixes"`
	PrefixWords int `toml:"prefix-words"`
}

// LeadingWarmUp returns the total duration of the warm-up phases before the first measured phase.
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
