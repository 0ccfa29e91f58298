package cmds

import (
	"context"
	"crypto/rand"
	"encoding/json"
	"net/http"
	"net/url"
	"strings"

	"github.com/peterbourgon/ff/v3/ffcli"

	"verbenaroad.example/share/services/admapi"
)

func (a *app) newDrain() *ffcli.Command {
	change := &admapi.DrainChange{}
	flags := a.newFlags("drain")
	flags.StringVar(&change.ChangeID, "change-id", "", "`id` of the change; give the printed one again when the outcome was unknown")
	flags.BoolVar(&change.Undo, "undo", false, "let the instance have work again")
	flags.BoolVar(&change.Force, "force", false, "drain also the last agent of a service that gets work")
	return a.newCommand(ffcli.Command{
		Name:       "drain",
		ShortUsage: "vctl drain [flags] <instance>",
		ShortHelp:  "stop new work of an agent; what runs ends by itself",
		LongHelp: strings.TrimSpace(`
A drain is a rule of the configuration: it takes hold everywhere with its
revision and lasts over restarts until it is undone. vctl status shows when
the instance runs nothing any more.

Examples:
  vctl drain agent-llm-07
  vctl drain --undo agent-llm-07`),
		FlagSet: flags,
	}, func(ctx context.Context, args []string) error {
		return a.drain(ctx, change, args)
	})
}

func (a *app) drain(ctx context.Context, change *admapi.DrainChange, args []string) error {
	if len(args) != 1 {
		return newUsageError("drain: want one instance")
	}
	if change.ChangeID == "" {
		change.ChangeID = rand.Text()
	}
	body, err := json.Marshal(change)
	if err != nil {
		return newUsageError("%v", err)
	}
	path := "/admin/v1/drains/" + url.PathEscape(args[0])
	return a.sendChange(ctx, request{method: http.MethodPost, path: path, body: body, command: true}, change.ChangeID)
}

// sendChange sends a change of one document and prints what came of it.
func (a *app) sendChange(ctx context.Context, r request, changeID string) error {
	var result admapi.ChangeResult
	err := a.send(ctx, r, &result)
	if err != nil {
		return tellChangeID(a.fail(err), changeID)
	}
	if a.output == outputJSON {
		return a.printJSON(result)
	}
	a.printChanges(result.Changes, result.ChangesOmitted)
	a.printLinef("accepted as revision %d, change %s", result.Revision, result.ChangeID)
	return nil
}
