package cmds

import (
	"flag"

	"verbenaroad.example/ingress/services/gates"
)

// Features is the table [features]: the optional parts of the system.
type Features struct {
	Modes map[gates.Feature]gates.Mode
}

// Register declares the keys of the section.
func (f *Features) Register(fs *flag.FlagSet) {
	f.Modes = map[gates.Feature]gates.Mode{}
	usage := map[gates.Feature]string{
		gates.ChainGrants:   "admit a chain of stages only when each queue that it has to pass grants it capacity",
		gates.TeamShares:    "share scarce capacity among the teams of a rank",
		gates.ReturnTimes:   "tell refused callers a time at which capacity is expected for them",
		gates.EngineQueue:   "let requests wait for an engine with a slot and memory",
		gates.EngineReports: "read what engines report of their load and their caches",
		gates.StreamMoves:   "move running streams to other engines and keep copies of their memory there",
	}
	for _, feature := range gates.List() {
		f.Modes[feature] = gates.Auto
		fs.Var(&featureMode{features: f, feature: feature}, "features."+string(feature),
			usage[feature]+": `mode` auto, where long chains of stages yield to more urgent shorter ones, or on, or off")
	}
}

// Check returns the faults of the section.
func (*Features) Check() []error { return nil }

// featureMode is the flag of one feature.
type featureMode struct {
	features *Features
	feature  gates.Feature
}

// Set implements flag.Value.
func (m *featureMode) Set(text string) error {
	mode := gates.Auto
	if err := mode.Set(text); err != nil {
		return err
	}
	m.features.Modes[m.feature] = mode
	return nil
}

// String implements flag.Value.
func (m *featureMode) String() string {
	if m.features == nil { // the zero value, which the flag package compares with the default
		return ""
	}
	return string(m.features.Modes[m.feature])
}
