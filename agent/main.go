// Command agent runs next to one backend server and is the only way to reach it: it queues the
// calls of entries, sends them on and reports the load.
package main

import (
	"context"
	"fmt"
	"os"

	"verbenaroad.example/agent/cmds"
	"verbenaroad.example/share/modules/setup"
)

func main() {
	settings := &cmds.Settings{}
	setup.LoadOrExit(settings.Sections(), setup.Options{Program: "agent", Args: os.Args[1:], Output: os.Stderr})
	if err := cmds.Serve(context.Background(), settings, os.Stdout); err != nil {
		_, _ = fmt.Fprintln(os.Stderr, "agent:", err)
		os.Exit(1)
	}
}
