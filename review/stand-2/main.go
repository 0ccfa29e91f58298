// Command stand runs one case of the review: it starts the project's ingress processes and stand-ins for the
// platform around them, and exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
//
//	stand CASE RECORD
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// cases are the cases by name. Each returns how the rule was broken, empty if it held.
var cases = map[string]func(w *world) (broken string, err error){
	"swap":  runSwap,
	"alien": runAlien,
	"again": runAgain,
	"steps": runSteps,
	"count": runCount,
	"twin":  runTwin,
	"both":  runBoth,
	"parts": runParts,
}

func main() { os.Exit(run()) }

const (
	exitHeld    = 0
	exitBroken  = 1
	exitNotRun  = 2
	wantedWords = 3
)

func run() int {
	if len(os.Args) != wantedWords || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: stand CASE RECORD")
		return exitNotRun
	}
	record, err := os.Create(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer func() { _ = record.Close() }()
	w, err := newWorld(record, os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer w.close()
	go guard(w)
	broken, err := cases[os.Args[1]](w)
	switch {
	case err != nil:
		w.log("not run: %v", err)
		fmt.Println("not run:", err)
		return exitNotRun
	case broken != "":
		w.log("BROKEN: %s", broken)
		fmt.Println("broken:", broken)
		return exitBroken
	}
	w.log("held")
	fmt.Println("held")
	return exitHeld
}

// longest is the longest time that a case may take.
const longest = 115 * time.Second

// guard ends all processes if the case is stopped or takes too long.
func guard(w *world) {
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, os.Interrupt, syscall.SIGTERM)
	select {
	case <-stop:
		w.log("not run: stopped")
	case <-time.After(longest):
		w.log("not run: it took longer than %v", longest)
	}
	w.close()
	os.Exit(exitNotRun)
}
