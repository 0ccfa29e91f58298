package site

import "slices"

// OrderStages returns the numbers of the stages in an order in which each follows all those whose results it takes.
// The numbers of stages have no order of their own. Stages are missing in the result if they take results of
// themselves, directly or not, or of a stage that does not exist.
func OrderStages(stages []Stage) []int {
	order := make([]int, 0, len(stages))
	isOrdered := make([]bool, len(stages))
	isReady := func(stage int) bool {
		return !slices.ContainsFunc(stages[stage].After, func(input int) bool {
			return input < 0 || input >= len(stages) || !isOrdered[input]
		})
	}
	for range stages {
		for stage := range stages {
			if !isOrdered[stage] && isReady(stage) {
				isOrdered[stage] = true
				order = append(order, stage)
			}
		}
	}
	return order
}

// countConsecutiveStages returns the number of stages on the longest path from a stage without inputs to
// the request itself.
func (r *Route) countConsecutiveStages() int {
	lengths := make([]int, len(r.Stages))
	longest := 0
	for _, i := range OrderStages(r.Stages) {
		for _, input := range r.Stages[i].After {
			lengths[i] = max(lengths[i], lengths[input])
		}
		lengths[i]++
		longest = max(longest, lengths[i])
	}
	return longest
}

// LongChainsYield reports whether the longest chains of stages are less urgent than shorter ones that
// need the same services. Work is committed to a long chain seconds before it reaches its last stages
// and its engine, and in such a configuration more urgent requests that arrive in the meantime
// overtake it there.
func (c *Config) LongChainsYield() bool {
	longest := 0
	for i := range c.Routes {
		longest = max(longest, c.Routes[i].countConsecutiveStages())
	}
	if longest < 2 {
		return false
	}
	for i := range c.Routes {
		if r := &c.Routes[i]; r.countConsecutiveStages() == longest && !c.yields(r) {
			return false
		}
	}
	return true
}

// yields reports whether a more urgent route with a shorter chain needs a service that the given route needs.
func (c *Config) yields(r *Route) bool {
	return slices.ContainsFunc(c.Routes, func(other Route) bool {
		return other.Priority < r.Priority && other.countConsecutiveStages() < r.countConsecutiveStages() && sharesStage(r, &other)
	})
}

func sharesStage(a, b *Route) bool {
	return slices.ContainsFunc(a.Stages, func(s Stage) bool {
		return slices.ContainsFunc(b.Stages, func(other Stage) bool { return s.Service == other.Service })
	})
}
