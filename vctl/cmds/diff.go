package cmds

import (
	"context"
	"crypto/rand"
	"strings"

	"github.com/peterbourgon/ff/v3/ffcli"
)

func (a *app) newDiff() *ffcli.Command {
	flags := a.newFlags("diff")
	return a.newCommand(ffcli.Command{
		Name:       "diff",
		ShortUsage: "vctl diff [flags] <file.toml>...",
		ShortHelp:  "show what applying the documents would change",
		LongHelp: strings.TrimSpace(`
Example:
  vctl diff deploy/ljubljana/teams.toml`),
		FlagSet: flags,
	}, a.diff)
}

func (a *app) diff(ctx context.Context, names []string) error {
	d, err := a.readDocuments(names)
	if err != nil {
		return err
	}
	result, err := a.putChange(ctx, &applyOptions{changeID: rand.Text()}, d, true)
	if err != nil {
		return err
	}
	return a.printResult(result)
}
