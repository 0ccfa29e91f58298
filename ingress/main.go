// Command ingress accepts callers' requests and sends them directly to the backend servers. It
// reads the configuration and the list of backend servers from the platform's store.
package main

import (
	"context"
	"fmt"
	"os"

	"verbenaroad.example/ingress/cmds"
	"verbenaroad.example/share/modules/setup"
	"verbenaroad.example/share/services/stops"
)

func main() {
	process := cmds.Process{Stops: stops.ReceiveStops(), Reloads: stops.ReceiveReloads(), Output: os.Stdout}
	settings := &cmds.Settings{}
	options := setup.Options{Program: "ingress", Args: os.Args[1:], Output: os.Stderr}
	setup.LoadOrExit(settings.Sections(), options)
	process.Reload = func() (*cmds.Settings, error) {
		reloaded := &cmds.Settings{}
		_, err := setup.Load(reloaded.Sections(), options)
		return reloaded, err
	}
	if err := cmds.Serve(context.Background(), settings, process); err != nil {
		_, _ = fmt.Fprintln(os.Stderr, "ingress:", err)
		os.Exit(1)
	}
}
