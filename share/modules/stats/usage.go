package stats

import (
	"expvar"
	"runtime"
	"syscall"
	"time"
)

// usageName is the key of the process's own use in the expvar figures.
const usageName = "process"

// Usage is what the process has used since its start.
type Usage struct {
	// ProcessorSeconds holds user and system time of all threads, to the microsecond.
	ProcessorSeconds float64 `json:"processor-seconds"`
	Goroutines       int     `json:"goroutines"`
}

// GetUsage returns what the process has used so far; the time is 0 where the system does not tell it.
func GetUsage() Usage {
	usage := Usage{Goroutines: runtime.NumGoroutine()}
	var use syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &use); err == nil {
		used := time.Duration(use.Utime.Nano() + use.Stime.Nano())
		usage.ProcessorSeconds = used.Seconds()
	}
	return usage
}

// publishUsage adds the use to the expvar figures once; tests start several servers in one process.
func publishUsage() {
	if expvar.Get(usageName) == nil {
		expvar.Publish(usageName, expvar.Func(func() any { return GetUsage() }))
	}
}
