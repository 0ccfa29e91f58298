// Package fault describes the faults that a stand-in can be switched to at
// run time, and decides which calls they hit.
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

// Duration is a time.Duration written as text such as "250ms".
type Duration time.Duration

// UnmarshalText reads a duration with its unit.
func (d *Duration) UnmarshalText(text []byte) error {
	v, err := time.ParseDuration(string(text))
	*d = Duration(v)
	return ErrFault.Wrap(err)
}

// MarshalText writes the duration with its unit.
func (d Duration) MarshalText() ([]byte, error) {
	return []byte(time.Duration(d).String()), nil
}

// Settings are the faults in force; the zero value is none.
type Settings struct {
	// Methods limits the faults of calls (all but Down and Silent) to these HTTP methods; empty: all.
	Methods []string `json:"methods,omitempty"`
	// Slow delays every call before it takes effect. A call whose caller has
	// gone away meanwhile takes effect all the same, where it can without one.
	Slow Duration `json:"slow,omitempty"`
	// Down closes every connection and refuses new ones.
	Down bool `json:"down,omitempty"`
	// LostAnswer lets calls take effect and then closes their connection without an answer.
	LostAnswer LostAnswer `json:"lost-answer,omitzero"`
	// Freeze accepts connections and calls, and goes on with them only when
	// it is lifted, also with those whose caller has gone away meanwhile.
	Freeze bool `json:"freeze,omitempty"`
	// Silent marks the connections that are open when it is set: for good, they
	// stay open and carry nothing in either direction. New connections work.
	Silent bool `json:"silent,omitempty"`
	// CutAfter closes the connection after that many writes of a streamed answer; 0: never.
	CutAfter int `json:"cut-after,omitempty"`
	// Status is answered to every call, which then takes no effect; 0: none.
	Status int `json:"status,omitempty"`
}

// LostAnswer chooses the calls whose answer is lost.
type LostAnswer struct {
	// Count is how many matching calls are hit, after which the fault ends; 0: no bound.
	Count int `json:"count,omitempty"`
	// Probability of a hit, 0 to 1; 0 with a Count stands for 1.
	Probability float64 `json:"probability,omitempty"`
	// Seed makes the choice repeatable.
	Seed int64 `json:"seed,omitempty"`
}

// hits reports whether the faults of calls apply to a method.
func (s *Settings) hits(method string) bool {
	return len(s.Methods) == 0 || slices.Contains(s.Methods, method)
}

// Switch holds the settings in force; it may be used by many goroutines.
type Switch struct {
	mutex    sync.Mutex
	settings Settings
	random   *rand.Rand
	// thawed is closed when the freeze is lifted; nil while there is none.
	thawed chan struct{}
}

// NewSwitch returns a Switch without faults.
func NewSwitch() *Switch {
	return &Switch{random: newRandom(0)}
}

func newRandom(seed int64) *rand.Rand {
	return rand.New(rand.NewSource(seed))
}

// Set replaces the settings in force.
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
func (s *Switch) GetFor(method string) Settings {
	settings := s.Get()
	if !settings.hits(method) {
		return Settings{}
	}
	return settings
}

// Thawed returns a channel that is closed when the freeze of calls of a method is lifted, nil when there is none.
func (s *Switch) Thawed(method string) <-chan struct{} {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if !s.settings.hits(method) {
		return nil
	}
	return s.thawed
}

// TakeLostAnswer reports whether this call's answer is to be lost, and counts it off.
func (s *Switch) TakeLostAnswer(method string) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	lost := &s.settings.LostAnswer
	if lost.Count == 0 && lost.Probability == 0 {
		return false
	}
	if !s.settings.hits(method) {
		return false
	}
	if lost.Probability > 0 && s.random.Float64() >= lost.Probability {
		return false
	}
	s.countOff(lost)
	return true
}

func (s *Switch) countOff(lost *LostAnswer) {
	if lost.Count == 0 {
		return
	}
	lost.Count--
	if lost.Count == 0 {
		*lost = LostAnswer{}
	}
}
