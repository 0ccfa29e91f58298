package stats

import (
	"expvar"
	"runtime"
	"syscall"
	"time"
)

// usageName is the name of the expvar variable that holds the Usage of the process.
const usageName = "process"

// Usage is the CPU time that the process has used since its start and its current number of
// goroutines.
type Usage struct {
	// ProcessorSeconds is the user and system CPU time of all threads, with a resolution of a
	// microsecond.
	ProcessorSeconds float64 `json:"processor-seconds"`
	Goroutines       int     `json:"goroutines"`
}

// GetUsage returns the current usage. The CPU time is 0 if the system does not provide it.
func GetUsage() Usage {
	usage := Usage{Goroutines: runtime.NumGoroutine()}
	var rusage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &rusage); err == nil {
		cpuTime := time.Duration(rusage.Utime.Nano() + rusage.Stime.Nano())
		usage.ProcessorSeconds = cpuTime.Seconds()
	}
	return usage
}

// publishUsage publishes the usage as an expvar variable unless it is already published: tests
// start several servers in one process, and expvar panics if a name is published twice.
func publishUsage() {
	if expvar.Get(usageName) == nil {
		expvar.Publish(usageName, expvar.Func(func() any { return GetUsage() }))
	}
}
