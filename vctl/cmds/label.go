package cmds

import (
	"context"
	"crypto/rand"
	"encoding/json"
	"errors"
	"net/http"
	"strings"

	"github.com/peterbourgon/ff/v3/ffcli"

	"verbenaroad.example/share/models/config"
	"verbenaroad.example/share/services/admapi"
)

func (a *app) newLabel() *ffcli.Command {
	change := &admapi.LabelChange{}
	flags := a.newFlags("label")
	flags.StringVar(&change.ChangeID, "change-id", "", "`id` of the change; for a retry after an unknown outcome, the id that was printed")
	flags.Uint64Var(&change.Base, "base", 0, "`revision` that the change is based on; 0: the one in force")
	return a.newCommand(ffcli.Command{
		Name:       "label",
		ShortUsage: "vctl label [flags] team <name> | pipeline <name>/<stage>  <key>=<value>... <key>-...",
		ShortHelp:  "set or remove labels of a team or a stage",
		LongHelp: strings.TrimSpace(`
Examples:
  vctl label team kranj tier=workshop
  vctl label pipeline voicing-notes/generate class=long old-`),
		FlagSet: flags,
	}, func(ctx context.Context, args []string) error {
		return a.label(ctx, change, args)
	})
}

func (a *app) label(ctx context.Context, change *admapi.LabelChange, args []string) error {
	err := parseLabels(change, args)
	if err != nil {
		return err
	}
	if change.ChangeID == "" {
		change.ChangeID = rand.Text()
	}
	body, err := json.Marshal(change)
	if err != nil {
		return newUsageError("%v", err)
	}
	_, err = a.sendChange(ctx, request{method: http.MethodPost, path: "/admin/v1/labels", body: body, mutates: true}, change.ChangeID)
	return err
}

// addChangeID adds the change id for a retry to the error of a change whose outcome is unknown.
func addChangeID(err error, changeID string) error {
	var exit *exitError
	if errors.As(err, &exit) && exit.code == ExitUnknown {
		exit.detail += "\nask again with --change-id " + changeID
	}
	return err
}

// parseLabels fills the change from arguments of the form "team kranj tier=workshop old-".
func parseLabels(change *admapi.LabelChange, args []string) error {
	const minArgs = 3 // kind, name and one label
	if len(args) < minArgs {
		return newUsageError("label: want a kind, a name and labels")
	}
	change.Kind = config.Kind(args[0])
	change.Name, change.Stage, _ = strings.Cut(args[1], "/")
	if change.Kind != config.KindTeam && change.Kind != config.KindPipeline {
		return newUsageError("label: %q: want team or pipeline", args[0])
	}
	change.Set = config.Labels{}
	for _, arg := range args[2:] {
		key, value, isSet := strings.Cut(arg, "=")
		removedKey, isRemoval := strings.CutSuffix(arg, "-")
		switch {
		case isSet && key != "":
			change.Set[key] = value
		case isRemoval && !isSet && removedKey != "":
			change.Remove = append(change.Remove, removedKey)
		default:
			return newUsageError("label: %q: want key=value or key-", arg)
		}
	}
	return nil
}
