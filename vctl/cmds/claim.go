package cmds

import (
	"context"
	"encoding/json"
	"net/http"
	"net/url"
	"strings"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"

	"verbenaroad.example/share/modules/codes"
	"verbenaroad.example/share/services/admapi"
)

func (a *app) newClaim() *ffcli.Command {
	return &ffcli.Command{
		Name:        "claim",
		ShortUsage:  "vctl claim get|resolve [flags] <team> <key>",
		ShortHelp:   "show or settle the claim of a non-idempotent call",
		Subcommands: []*ffcli.Command{a.newClaimGet(), a.newClaimResolve()},
		Exec: func(context.Context, []string) error {
			return newUsageError("claim: want get or resolve")
		},
	}
}

func (a *app) newClaimGet() *ffcli.Command {
	return a.newCommand(ffcli.Command{
		Name:       "get",
		ShortUsage: "vctl claim get [flags] <team> <key>",
		ShortHelp:  "show the claim of a call",
		LongHelp: strings.TrimSpace(`
Example:
  vctl claim get kranj order-2026-118`),
		FlagSet: a.newFlags("claim get"),
	}, func(ctx context.Context, args []string) error {
		return a.sendClaim(ctx, http.MethodGet, args, nil)
	})
}

func (a *app) newClaimResolve() *ffcli.Command {
	flags := a.newFlags("claim resolve")
	outcome := flags.String("outcome", "", "`ran or not-run`, as found at the backend server")
	note := flags.String("note", "", "`text` for the entry's log, with the operator's name")
	gone := flags.Bool("instance-gone", false, "the claim's instance no longer exists: settle the claim without its answer")
	return a.newCommand(ffcli.Command{
		Name:       "resolve",
		ShortUsage: "vctl claim resolve [flags] --outcome <ran|not-run> --note <text> <team> <key>",
		ShortHelp:  "settle a claim whose outcome is unknown",
		LongHelp: strings.TrimSpace(`
Check at the backend server first whether the call ran. "ran" prevents every
further call with the key; "not-run" allows another. The claim's agent is asked
before anything is written. A call that it runs or has finished can't be settled
by hand. An agent that does not answer may still start the call, so "not-run"
then needs --instance-gone.

Example:
  vctl claim resolve --outcome ran --note "invoice 4711 exists" kranj order-2026-118`),
		FlagSet: flags,
	}, func(ctx context.Context, args []string) error {
		resolution := admapi.ClaimResolution{Outcome: codes.Outcome(*outcome), Note: *note, InstanceGone: *gone}
		if resolution.Outcome != codes.OutcomeRan && resolution.Outcome != codes.OutcomeNotRun {
			return newUsageError("claim resolve: --outcome: want ran or not-run")
		}
		body, err := json.Marshal(resolution)
		if err != nil {
			return newUsageError("%v", err)
		}
		return a.sendClaim(ctx, http.MethodPost, args, body)
	})
}

// sendClaim sends a request for the claim of the team and key in args and prints the claim.
func (a *app) sendClaim(ctx context.Context, method string, args []string, body []byte) error {
	const wantArgs = 2 // team and key
	if len(args) != wantArgs {
		return newUsageError("claim: want a team and a key")
	}
	var claim admapi.Claim
	path := "/admin/v1/claims/" + url.PathEscape(args[0]) + "/" + url.PathEscape(args[1])
	err := a.send(ctx, request{method: method, path: path, body: body, mutates: method == http.MethodPost}, &claim)
	if err != nil {
		return a.reportError(err)
	}
	rows := [][]string{{
		claim.Team, claim.Key, claim.State, claim.ClaimedAt.Format(time.RFC3339), orDash(claim.Attempt),
		orDash(claim.Instance), orDash(string(claim.Outcome)), orDash(claim.ResolvedBy),
	}}
	return a.print(claim, "TEAM KEY STATE CLAIMED-AT ATTEMPT INSTANCE OUTCOME RESOLVED-BY", rows)
}
