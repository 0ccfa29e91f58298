// Command stand plays the cases of an independent review: it starts the ingresses of a small deployment as
// separate processes, with stand-ins for the platform's store, its replicas, its clients and its links on
// loopback, and judges what these have seen.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
)

func main() {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: stand CASE RECORD")
		os.Exit(exitNotRun)
	}
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		<-signals
		fail("interrupted")
	}()
	trouble := os.Getenv("TROUBLE") != "0"
	cases := map[string]func(*journal, bool) bool{"silent": playSilent, "late": playLate, "slashes": playSlashes, "unheard": playUnheard, "poison": playPoison}
	play, known := cases[os.Args[1]]
	if !known {
		fail("no case %q", os.Args[1])
	}
	j := newJournal(os.Args[2])
	broken := play(j, trouble)
	stopAll()
	if broken {
		os.Exit(exitBroken)
	}
	os.Exit(exitHeld)
}
