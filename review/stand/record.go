package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// The exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// journal is the record of a case: what was sent, answered and run, in order, with the time since start.
type journal struct {
	lock  sync.Mutex
	file  *os.File
	start time.Time
}

func newJournal(path string) *journal {
	file, err := os.Create(path)
	if err != nil {
		fail("no record: %v", err)
	}
	return &journal{file: file, start: time.Now()}
}

func (j *journal) now() time.Duration { return time.Since(j.start) }

func (j *journal) add(format string, values ...any) {
	j.lock.Lock()
	defer j.lock.Unlock()
	_, _ = fmt.Fprintf(j.file, "%8.3f s  %s\n", j.now().Seconds(), fmt.Sprintf(format, values...))
}

// say adds a line to the record and prints it.
func (j *journal) say(format string, values ...any) {
	j.add(format, values...)
	fmt.Printf("%8.3f s  %s\n", j.now().Seconds(), fmt.Sprintf(format, values...))
}

// stopAll ends what the case has started. It is set once that is known.
var stopAll = func() {} //nolint:gochecknoglobals // the one place that every exit passes

// fail ends a case that could not run.
func fail(format string, values ...any) {
	fmt.Fprintf(os.Stderr, "the case couldn't run: "+format+"\n", values...)
	stopAll()
	os.Exit(exitNotRun)
}
