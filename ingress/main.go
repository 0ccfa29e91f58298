// Command ingress takes callers' requests and sends them to the backend
// servers directly, on a platform that holds the configuration and the list of servers.
package main

import (
	"context"
	"fmt"
	"os"

	"verbenaroad.example/ingress/cmds"
	"verbenaroad.example/share/modules/setup"
)

func main() {
	settings := &cmds.Settings{}
	options := setup.Options{Program: "ingress", Args: os.Args[1:], Output: os.Stderr}
	setup.LoadOrExit(settings.Sections(), options)
	reload := func() (*cmds.Settings, error) {
		again := &cmds.Settings{}
		_, err := setup.Load(again.Sections(), options)
		return again, err
	}
	if err := cmds.Serve(context.Background(), settings, reload, os.Stdout); err != nil {
		_, _ = fmt.Fprintln(os.Stderr, "ingress:", err)
		os.Exit(1)
	}
}
