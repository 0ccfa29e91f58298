package scene

import (
	"errors"
	"fmt"

	"verbenaroad.example/share/models/config"
)

// checker collects all faults of a scenario so that they are reported together.
type checker struct {
	faults []error
}

// addf records a fault.
func (c *checker) addf(format string, args ...any) {
	c.faults = append(c.faults, fmt.Errorf(format, args...))
}

// err returns all faults as one error, or nil without faults.
func (c *checker) err() error {
	return ErrScenario.Wrap(errors.Join(c.faults...))
}

// requiref records a fault unless ok is true.
func (c *checker) requiref(ok bool, format string, args ...any) {
	if !ok {
		c.addf(format, args...)
	}
}

// checkScenario records every fault of s.
func (c *checker) checkScenario(s *Scenario) {
	c.requiref(s.Name != "", "name: missing")
	c.requiref(s.Mode == ModeOpen || s.Mode == ModeClosed, "mode: %q is neither open nor closed", s.Mode)
	c.requiref(s.Mode != ModeClosed || s.Workers > 0, "workers: closed mode needs at least one")
	c.requiref(s.MaxInFlight > 0, "max-in-flight: must be over 0")
	c.requiref(s.LateWait > 0, "late-wait: must be over 0")
	c.checkTarget(&s.Target)
	for i, k := range s.Metrics.Keys {
		c.requiref(k.Name != "" && k.Path != "", "metrics.key %d: name and path are needed", i+1)
	}
	classes := c.checkClasses(s)
	c.checkPhases(s, classes)
}

// checkTarget records the faults of t.
func (c *checker) checkTarget(t *Target) {
	switch t.Kind {
	case TargetEntry, TargetEngine, TargetHTTP:
	default:
		c.addf("target.kind: %q is not entry, engine or http", t.Kind)
	}
	c.requiref(len(t.Addresses) > 0, "target.addresses: missing")
}

// checkPhases records the faults of the phases; classes holds the names of the defined classes.
func (c *checker) checkPhases(s *Scenario, classes map[string]bool) {
	c.requiref(len(s.Phases) > 0, "phase: at least one is needed")
	names := make(map[string]bool)
	for i, p := range s.Phases {
		prefix := fmt.Sprintf("phase %d (%s)", i+1, p.Name)
		c.requiref(p.Name != "", "%s: name missing", prefix)
		c.requiref(!names[p.Name], "%s: name used twice", prefix)
		names[p.Name] = true
		c.requiref(p.Duration > 0, "%s: duration must be over 0", prefix)
		c.requiref(p.Rate > 0 || s.Mode == ModeClosed, "%s: rate must be over 0", prefix)
		c.requiref(p.Arrivals == ArrivalsPoisson || p.Arrivals == ArrivalsUniform, "%s: arrivals %q is neither poisson nor uniform", prefix, p.Arrivals)
		for name, weight := range p.Mix {
			c.requiref(classes[name], "%s: mix: there is no class %q", prefix, name)
			c.requiref(weight >= 0, "%s: mix of %s is below 0", prefix, name)
		}
		c.requiref(p.totalWeight(s.Classes) > 0, "%s: no class has a weight over 0", prefix)
	}
}

// totalWeight returns the sum of the weights of the classes in this phase.
func (p *Phase) totalWeight(classes []Class) float64 {
	total := 0.0
	for i := range classes {
		total += p.WeightOf(&classes[i])
	}
	return total
}

// WeightOf returns the weight of the class in this phase: the one in Mix, or else the class's own.
func (p *Phase) WeightOf(c *Class) float64 {
	if weight, ok := p.Mix[c.Name]; ok {
		return weight
	}
	return c.Weight
}

// checkClasses records the faults of the classes and returns the set of their names.
func (c *checker) checkClasses(s *Scenario) map[string]bool {
	names := make(map[string]bool)
	c.requiref(len(s.Classes) > 0, "class: at least one is needed")
	for i := range s.Classes {
		class := &s.Classes[i]
		prefix := fmt.Sprintf("class %d (%s)", i+1, class.Name)
		c.requiref(class.Name != "", "%s: name missing", prefix)
		c.requiref(!names[class.Name], "%s: name used twice", prefix)
		names[class.Name] = true
		c.checkClass(prefix, class, s.Target.Kind)
		c.checkPrompt(prefix, &class.Prompt)
	}
	return names
}

// checkClass records the faults of one class. Each fault begins with prefix.
func (c *checker) checkClass(prefix string, class *Class, kind TargetKind) {
	c.requiref(class.Weight >= 0, "%s: weight is below 0", prefix)
	c.requiref(class.Deadline > 0, "%s: deadline must be over 0", prefix)
	c.requiref(class.MaxTokens >= 0, "%s: max-tokens is below 0", prefix)
	c.requiref(class.ExpectTokens == 0 || class.Stream, "%s: expect-tokens needs stream", prefix)
	c.requiref(!class.SameAnswer || class.Stream, "%s: same-answer needs stream", prefix)
	c.requiref(!class.SameAnswer || class.Prompt.Distinct > 0, "%s: same-answer needs prompt.distinct", prefix)
	if kind == TargetEntry {
		c.requiref((class.Pipeline == "") != (class.Service == ""), "%s: one of pipeline and service is needed", prefix)
		c.requiref(class.Service == "" || class.Path != "", "%s: service needs a path", prefix)
		c.requiref(class.Token != "", "%s: token missing", prefix)
	}
	c.requiref(kind != TargetHTTP || class.Path != "", "%s: path missing", prefix)
	switch class.Priority {
	case "", config.PriorityUrgent, config.PriorityNormal, config.PriorityBatch:
	default:
		c.addf("%s: priority %q is not urgent, normal or batch", prefix, class.Priority)
	}
	switch class.Key {
	case KeyNone, KeyUnique:
	case KeyRepeat:
		c.requiref(class.KeyRepeats > 1, "%s: key-repeats must be over 1", prefix)
	default:
		c.addf("%s: key %q is not none, unique or repeat", prefix, class.Key)
	}
}

// checkPrompt records the faults of a prompt. Each fault begins with prefix.
func (c *checker) checkPrompt(prefix string, p *Prompt) {
	c.requiref(p.Words >= 0 && p.Min >= 0 && p.Prefixes >= 0 && p.Distinct >= 0, "%s: prompt has a number below 0", prefix)
	c.requiref(p.Prefixes == 0 || p.PrefixWords > 0, "%s: prompt.prefixes needs prefix-words", prefix)
	switch p.Length {
	case DistributionFixed:
	case DistributionUniform, DistributionExponential:
		c.requiref(p.Max >= p.Min && p.Max > 0, "%s: prompt.max must be at least min and over 0", prefix)
	default:
		c.addf("%s: prompt.length %q is not fixed, uniform or exponential", prefix, p.Length)
	}
}
