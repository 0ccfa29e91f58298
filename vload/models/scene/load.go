package scene

import (
	"bytes"
	"errors"
	"net/http"
	"os"
	"time"

	"github.com/pelletier/go-toml/v2"
	"github.com/zeebo/errs"

	"verbenaroad.example/share/models/config"
)

// ErrScenario is the class of errors of this package.
var ErrScenario = errs.Class("scenario") //nolint:gochecknoglobals // an error class is a constant in all but syntax

const (
	defaultMaxInFlight = 10000
	defaultLateWait    = time.Second
)

// Load reads a scenario file. The error lists every fault of the scenario.
func Load(file string) (*Scenario, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, ErrScenario.Wrap(err)
	}
	return Parse(text)
}

// Parse parses a scenario and fills in the defaults. The error lists every fault, unknown keys
// included.
func Parse(text []byte) (*Scenario, error) {
	s := &Scenario{}
	decoder := toml.NewDecoder(bytes.NewReader(text))
	decoder.DisallowUnknownFields()
	err := decoder.Decode(s)
	var strict *toml.StrictMissingError
	if err != nil && !errors.As(err, &strict) {
		return nil, ErrScenario.Wrap(err)
	}
	c := &checker{}
	if strict != nil {
		for _, e := range strict.Errors {
			row, column := e.Position()
			c.addf("line %d, column %d: unknown key %v", row, column, e.Key())
		}
	}
	s.setDefaults()
	c.checkScenario(s)
	return s, c.err()
}

// Check checks a scenario again after a change. The error lists every fault.
func Check(s *Scenario) error {
	c := &checker{}
	c.checkScenario(s)
	return c.err()
}

// setDefaults sets the defaults of settings that the file omits.
func (s *Scenario) setDefaults() {
	if s.Mode == "" {
		s.Mode = ModeOpen
	}
	if s.MaxInFlight == 0 {
		s.MaxInFlight = defaultMaxInFlight
	}
	if s.LateWait == 0 {
		s.LateWait = config.Duration(defaultLateWait)
	}
	if s.Target.Kind == "" {
		s.Target.Kind = TargetEntry
	}
	for i := range s.Phases {
		if s.Phases[i].Arrivals == "" {
			s.Phases[i].Arrivals = ArrivalsPoisson
		}
	}
	for i := range s.Classes {
		s.Classes[i].setDefaults()
	}
}

// setDefaults sets the defaults of class settings that the file omits. A weight of 0 counts as
// omitted.
func (c *Class) setDefaults() {
	if c.Method == "" {
		c.Method = http.MethodPost
	}
	if c.Key == "" {
		c.Key = KeyNone
	}
	if c.Prompt.Length == "" {
		c.Prompt.Length = DistributionFixed
	}
	if c.Weight == 0 {
		c.Weight = 1
	}
}
