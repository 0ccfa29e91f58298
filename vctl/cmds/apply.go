package cmds

import (
	"context"
	"crypto/rand"
	"errors"
	"fmt"
	"net/http"
	"net/url"
	"strconv"
	"strings"

	"github.com/peterbourgon/ff/v3/ffcli"

	"verbenaroad.example/share/decide/head"
	"verbenaroad.example/share/models/config"
	"verbenaroad.example/share/services/admapi"
)

// applyOptions are the flags of apply.
type applyOptions struct {
	check    bool
	dryRun   bool
	changeID string
	base     uint64
}

func (a *app) newApply() *ffcli.Command {
	o := &applyOptions{}
	flags := a.newFlags("apply")
	flags.BoolVar(&o.check, "check", false, "only read and check the files as a whole configuration, without a server")
	flags.BoolVar(&o.dryRun, "dry-run", false, "only check against the configuration in force and print the difference")
	flags.StringVar(&o.changeID, "change-id", "", "`id` of the change; give the printed one again when the outcome was unknown")
	flags.Uint64Var(&o.base, "base", 0, "`revision` that the files were made for; 0: the one in force")
	return a.newCommand(ffcli.Command{
		Name:       "apply",
		ShortUsage: "vctl apply [flags] <file.toml>...",
		ShortHelp:  "apply documents as one change",
		LongHelp: strings.TrimSpace(`
All files are one change: it takes effect as a whole or not at all. The
difference is printed first, and the change is bound to the revision that the
difference was made against.

Examples:
  vctl apply --check deploy/ljubljana/*.toml
  vctl apply --dry-run teams.toml
  vctl apply teams.toml rules.toml
  vctl apply --change-id 7Q2M --base 41 teams.toml   (the outcome was unknown)`),
		FlagSet: flags,
	}, func(ctx context.Context, args []string) error {
		return a.apply(ctx, o, args)
	})
}

func (a *app) apply(ctx context.Context, o *applyOptions, names []string) error {
	d, err := a.readDocuments(names)
	if err != nil {
		return err
	}
	if o.check {
		return a.check(d)
	}
	if o.changeID == "" {
		o.changeID = rand.Text()
	}
	checked, err := a.put(ctx, o, d, true)
	if err != nil {
		return err
	}
	if o.dryRun || checked.Verdict == string(head.VerdictAccepted) {
		return a.printResult(checked)
	}
	if len(checked.Changes) == 0 {
		return a.printResult(checked)
	}
	if a.output == outputTable {
		a.printChanges(checked.Changes, checked.ChangesOmitted)
	}
	o.base = checked.Revision
	accepted, err := a.put(ctx, o, d, false)
	if err != nil {
		return a.explainUnknown(err, o, names)
	}
	if a.output == outputJSON {
		return a.printJSON(accepted)
	}
	a.printLinef("accepted as revision %d, change %s", accepted.Revision, accepted.ChangeID)
	return nil
}

// check reads the files as a whole configuration, for use before there is a server.
func (a *app) check(d *documents) error {
	problems := config.Validate(d.patch.Set)
	source := config.NewSourceMap(admapi.BodyName, d.text)
	err := a.reportProblems(d.locate(source.Locate(problems)))
	if err != nil {
		return err
	}
	a.printLinef("%d documents pass the checks", d.patch.Count())
	return nil
}

func (a *app) put(ctx context.Context, o *applyOptions, d *documents, dryRun bool) (admapi.ChangeResult, error) {
	query := url.Values{}
	if dryRun {
		query.Set("dry-run", "true")
	}
	if o.base > 0 {
		query.Set("base", strconv.FormatUint(o.base, 10))
	}
	var result admapi.ChangeResult
	err := a.send(ctx, request{
		method:  http.MethodPut,
		path:    "/admin/v1/changes/" + url.PathEscape(o.changeID),
		query:   query,
		body:    d.text,
		command: !dryRun,
	}, &result)
	var r *refusal
	if errors.As(err, &r) {
		r.body.Problems = d.locate(r.body.Problems)
	}
	return result, a.fail(err)
}

func (a *app) printResult(result admapi.ChangeResult) error {
	if a.output == outputJSON {
		return a.printJSON(result)
	}
	if result.Verdict == string(head.VerdictAccepted) {
		a.printLinef("accepted before as revision %d, change %s", result.Revision, result.ChangeID)
		return nil
	}
	a.printChanges(result.Changes, result.ChangesOmitted)
	a.printLinef("checked against revision %d; nothing was changed", result.Revision)
	return nil
}

// explainUnknown prints how to ask again. The base goes with it, so that
// asking again can't put the files over somebody's later change.
func (a *app) explainUnknown(err error, o *applyOptions, names []string) error {
	var exit *exitError
	if errors.As(err, &exit) && exit.code == ExitUnknown {
		again := fmt.Sprintf("vctl apply --change-id %s --base %d %s", o.changeID, o.base, strings.Join(names, " "))
		exit.detail += "\nask again: " + again
	}
	return err
}
