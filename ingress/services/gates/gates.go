// Package gates decides which optional features are in use, by the settings and the configuration in
// force.
package gates

import (
	"slices"
	"sync/atomic"

	"github.com/zeebo/errs"
	"go.uber.org/zap"

	"verbenaroad.example/ingress/services/state"
	"verbenaroad.example/share/models/site"
)

// Feature is a part of the system that not every deployment uses.
type Feature string

// The features.
const (
	// ChainGrants admits a chain of stages only when each queue that it has to pass grants it capacity.
	ChainGrants Feature = "chain-grants"
	// TeamShares shares scarce capacity among the teams of a rank by cost.
	TeamShares Feature = "team-shares"
	// ReturnTimes tells refused callers a time at which capacity is expected for them.
	ReturnTimes Feature = "return-times"
	// EngineQueue lets requests wait at the placer for an engine with a slot and memory.
	EngineQueue Feature = "engine-queue"
	// EngineReports reads what engines report of their load and their caches.
	EngineReports Feature = "engine-reports"
	// StreamMoves moves running streams to other engines and keeps copies of their memory there.
	StreamMoves Feature = "stream-moves"
)

// List returns all features.
func List() []Feature {
	return []Feature{ChainGrants, TeamShares, ReturnTimes, EngineQueue, EngineReports, StreamMoves}
}

// Mode is the setting of a feature.
type Mode string

// The modes.
const (
	// Auto uses the feature where the configuration needs it.
	Auto Mode = "auto"
	On   Mode = "on"
	Off  Mode = "off"
)

// ErrMode is the class of errors for unknown modes.
var ErrMode = errs.Class("mode") //nolint:gochecknoglobals // an error class is a constant in all but syntax

// Set implements flag.Value.
func (m *Mode) Set(text string) error {
	if !slices.Contains([]Mode{Auto, On, Off}, Mode(text)) {
		return ErrMode.New("%q is not one of %s, %s and %s", text, Auto, On, Off)
	}
	*m = Mode(text)
	return nil
}

// String implements flag.Value.
func (m *Mode) String() string { return string(*m) }

// Registry holds which features are in use. It is safe for concurrent use.
type Registry struct {
	modes map[Feature]Mode
	log   *zap.Logger
	// enabled is replaced as a whole when the configuration changes.
	enabled atomic.Pointer[[]Feature]
}

// NewRegistry returns a registry in which only the features with the mode On are in use until a view
// with a configuration arrives. Features without a mode are off.
func NewRegistry(modes map[Feature]Mode, log *zap.Logger) *Registry {
	r := &Registry{modes: modes, log: log}
	r.enabled.Store(&[]Feature{})
	r.update(&site.Config{})
	return r
}

// SetView applies the configuration of a new view. A view without one is ignored.
func (r *Registry) SetView(v *state.View) {
	if v.Table != nil {
		r.update(v.Table.Config())
	}
}

func (r *Registry) update(config *site.Config) {
	scarce := config.LongChainsYield()
	enabled := []Feature{}
	for _, f := range List() {
		if r.modes[f] == On || r.modes[f] == Auto && scarce {
			enabled = append(enabled, f)
		}
	}
	if !slices.Equal(enabled, *r.enabled.Load()) {
		r.log.Info("features-changed", zap.Strings("enabled", listNames(enabled)), zap.Uint64("config", config.Version), zap.Bool("long-chains-yield", scarce))
	}
	r.enabled.Store(&enabled)
}

func listNames(features []Feature) []string {
	names := make([]string, 0, len(features))
	for _, f := range features {
		names = append(names, string(f))
	}
	return names
}

// IsEnabled reports whether a feature is in use.
func (r *Registry) IsEnabled(f Feature) bool { return slices.Contains(*r.enabled.Load(), f) }
