// Command vctl is the operators' command line for the admin API.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"verbenaroad.example/vctl/cmds"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	code := cmds.Run(ctx, os.Args[1:], cmds.Streams{In: os.Stdin, Out: os.Stdout, Err: os.Stderr})
	stop()
	os.Exit(code)
}
