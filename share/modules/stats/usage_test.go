package stats_test

import (
	"testing"

	"github.com/matryer/is"

	"verbenaroad.example/share/modules/stats"
)

// Guards against a CPU time that does not grow while the process works: the test would not end.
func TestUsageGrows(t *testing.T) {
	is := is.New(t)
	first := stats.GetUsage()
	second := first
	for second.ProcessorSeconds <= first.ProcessorSeconds {
		second = stats.GetUsage()
	}
	is.True(second.Goroutines > 0)
}
