// Command fakes runs the stand-ins of the platform for tests, demonstrations and measurements.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"verbenaroad.example/fakes/cmds"
)

func main() {
	os.Exit(run())
}

func run() int {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	return cmds.Main(ctx, os.Args[1:], os.Stderr)
}
