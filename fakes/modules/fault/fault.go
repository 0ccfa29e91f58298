// Package fault describes the faults that a stand-in can be switched to at run time, and decides
// which calls they apply to.
package fault

import (
	"math/rand"
	"slices"
	"sync"
	"time"

	"github.com/zeebo/errs"
)

// ErrFault is the class of errors of fault settings.
var ErrFault = errs.Class("fault") //nolint:gochecknoglobals // an error class is a constant in all but syntax

// Duration is a time.Duration that is encoded as text, for example "250ms".
type Duration time.Duration

// UnmarshalText parses a duration with its unit.
func (d *Duration) UnmarshalText(text []byte) error {
	v, err := time.ParseDuration(string(text))
	*d = Duration(v)
	return ErrFault.Wrap(err)
}

// MarshalText formats the duration with its unit.
func (d Duration) MarshalText() ([]byte, error) {
	return []byte(time.Duration(d).String()), nil
}

// Settings holds the faults in force. The zero value has none.
type Settings struct {
	// Methods limits the faults of calls (all faults except Down and Silent) to these HTTP methods;
	// empty: all methods.
	Methods []string `json:"methods,omitempty"`
	// Slow delays every call before it takes effect. A call whose caller disconnects during the
	// delay is still passed to the handler, with a canceled context, and takes effect unless the
	// handler depends on it.
	Slow Duration `json:"slow,omitempty"`
	// Down closes every connection and refuses new ones.
	Down bool `json:"down,omitempty"`
	// LostAnswer lets calls take effect, but drops their answers and closes their connections.
	LostAnswer LostAnswer `json:"lost-answer,omitzero"`
	// Freeze accepts connections and calls, but processes the calls only after the freeze is lifted,
	// including calls whose caller has disconnected by then.
	Freeze bool `json:"freeze,omitempty"`
	// Silent permanently silences the connections that are open when it is set: they stay open, but no
	// data passes in either direction. New connections are not affected.
	Silent bool `json:"silent,omitempty"`
	// CutAfter closes the connection of a streamed answer after this many writes; 0: never.
	CutAfter int `json:"cut-after,omitempty"`
	// Status is the HTTP status of the answer to every call, which then does not reach the handler
	// and takes no effect; 0: none.
	Status int `json:"status,omitempty"`
	// RetryAfter is the Retry-After in answers with Status, in whole seconds; 0: none.
	RetryAfter int `json:"retry-after,omitempty"`
}

// LostAnswer selects the calls whose answer is lost.
type LostAnswer struct {
	// Count is the number of matching calls whose answer is lost, after which the fault ends; 0: no
	// limit.
	Count int `json:"count,omitempty"`
	// Probability is the probability that the answer of a matching call is lost, 0 to 1. With a
	// Count, 0 means 1.
	Probability float64 `json:"probability,omitempty"`
	// Seed makes the selection reproducible.
	Seed int64 `json:"seed,omitempty"`
}

// appliesTo reports whether the faults of calls apply to calls of a method.
func (s *Settings) appliesTo(method string) bool {
	return len(s.Methods) == 0 || slices.Contains(s.Methods, method)
}

// Switch holds the settings in force. It is safe for concurrent use.
type Switch struct {
	mutex    sync.Mutex
	settings Settings
	random   *rand.Rand
	// thawed is closed when the freeze is lifted; nil without a freeze.
	thawed chan struct{}
}

// NewSwitch returns a Switch without faults.
func NewSwitch() *Switch {
	return &Switch{random: newRandom(0)}
}

func newRandom(seed int64) *rand.Rand {
	return rand.New(rand.NewSource(seed))
}

// Set replaces the settings in force and restarts the random selection of lost answers from the
// seed.
func (s *Switch) Set(settings Settings) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.settings = settings
	s.random = newRandom(settings.LostAnswer.Seed)
	if settings.Freeze && s.thawed == nil {
		s.thawed = make(chan struct{})
	}
	if !settings.Freeze && s.thawed != nil {
		close(s.thawed)
		s.thawed = nil
	}
}

// Get returns the settings in force.
func (s *Switch) Get() Settings {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.settings
}

// GetFor returns the settings in force for calls of a method.
// It returns the zero value if Methods excludes the method.
func (s *Switch) GetFor(method string) Settings {
	settings := s.Get()
	if !settings.appliesTo(method) {
		return Settings{}
	}
	return settings
}

// Thawed returns a channel that is closed when the freeze of calls of a method is lifted, or nil
// without a freeze for them.
func (s *Switch) Thawed(method string) <-chan struct{} {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if !s.settings.appliesTo(method) {
		return nil
	}
	return s.thawed
}

// TakeLostAnswer reports whether the answer of this call is to be lost, and counts it against
// LostAnswer.Count.
func (s *Switch) TakeLostAnswer(method string) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	lost := &s.settings.LostAnswer
	if lost.Count == 0 && lost.Probability == 0 {
		return false
	}
	if !s.settings.appliesTo(method) {
		return false
	}
	if lost.Probability > 0 && s.random.Float64() >= lost.Probability {
		return false
	}
	s.useUp(lost)
	return true
}

// useUp counts a lost answer against the Count of lost and ends the fault at the last one.
func (s *Switch) useUp(lost *LostAnswer) {
	if lost.Count == 0 {
		return
	}
	lost.Count--
	if lost.Count == 0 {
		*lost = LostAnswer{}
	}
}
