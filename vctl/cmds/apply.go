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
	flags.BoolVar(&o.check, "check", false, "only parse the files and check them as a complete configuration, without a server")
	flags.BoolVar(&o.dryRun, "dry-run", false, "only check against the configuration in force and print the difference")
	flags.StringVar(&o.changeID, "change-id", "", "`id` of the change; for a retry after an unknown outcome, the id that was printed")
	flags.Uint64Var(&o.base, "base", 0, "`revision` that the files are based on; 0: the one in force")
	return a.newCommand(ffcli.Command{
		Name:       "apply",
		ShortUsage: "vctl apply [flags] <file.toml>...",
		ShortHelp:  "apply documents as one change",
		LongHelp: strings.TrimSpace(`
All files form one change, which takes effect completely or not at all. The
difference from the configuration in force is printed first. If another change
is accepted in between, this one ends with a conflict.

Examples:
  vctl apply --check deploy/ljubljana/*.toml
  vctl apply --dry-run teams.toml
  vctl apply teams.toml rules.toml
  vctl apply --change-id 7Q2M --base 41 teams.toml   (retry after an unknown outcome)`),
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
	checked, err := a.putChange(ctx, o, d, true)
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
	accepted, err := a.putChange(ctx, o, d, false)
	if err != nil {
		return a.addRetryCommand(err, o, names)
	}
	if a.output == outputJSON {
		return a.printJSON(accepted)
	}
	a.printLinef("accepted as revision %d, change %s", accepted.Revision, accepted.ChangeID)
	return nil
}

// check validates the files as a complete configuration. It needs no server, so it also serves
// before the first one is started.
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

// putChange submits the documents as one change, or has them checked if dryRun is set.
func (a *app) putChange(ctx context.Context, o *applyOptions, d *documents, dryRun bool) (admapi.ChangeResult, error) {
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
		mutates: !dryRun,
	}, &result)
	var refused *apiError
	if errors.As(err, &refused) {
		refused.body.Problems = d.locate(refused.body.Problems)
	}
	return result, a.reportError(err)
}

// printResult prints the result of a dry run. If a change with the same id was accepted before, it
// prints the revision of that change.
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

// addRetryCommand adds the command line for a retry to the error of a change whose outcome is
// unknown. The command line contains the base, so that the retry can't overwrite a later change.
func (a *app) addRetryCommand(err error, o *applyOptions, names []string) error {
	var exit *exitError
	if errors.As(err, &exit) && exit.code == ExitUnknown {
		retry := fmt.Sprintf("vctl apply --change-id %s --base %d %s", o.changeID, o.base, strings.Join(names, " "))
		exit.detail += "\nask again: " + retry
	}
	return err
}
