// Command entry receives the requests of callers, runs them through the stages of their pipelines,
// and forwards calls of plain services. It also serves the admin API.
package main

import (
	"context"
	"fmt"
	"os"

	"verbenaroad.example/entry/cmds"
	"verbenaroad.example/share/modules/setup"
)

func main() {
	settings := &cmds.Settings{}
	setup.LoadOrExit(settings.Sections(), setup.Options{Program: "entry", Args: os.Args[1:], Output: os.Stderr})
	if err := cmds.Serve(context.Background(), settings, os.Stdout); err != nil {
		_, _ = fmt.Fprintln(os.Stderr, "entry:", err)
		os.Exit(1)
	}
}
