package cmds

import (
	"context"
	"encoding/json"
	"net/http"
	"net/url"
	"strings"

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
		ShortHelp:  "show what is known of a call",
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
	note := flags.String("note", "", "`text` kept with the claim")
	return a.newCommand(ffcli.Command{
		Name:       "resolve",
		ShortUsage: "vctl claim resolve [flags] --outcome <ran|not-run> --note <text> <team> <key>",
		ShortHelp:  "settle an unknown outcome",
		LongHelp: strings.TrimSpace(`
"not-run" lets the key be run again: look at the backend server first.

Example:
  vctl claim resolve --outcome ran --note "invoice 4711 exists" kranj order-2026-118`),
		FlagSet: flags,
	}, func(ctx context.Context, args []string) error {
		resolution := admapi.ClaimResolution{Outcome: codes.Outcome(*outcome), Note: *note}
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

func (a *app) sendClaim(ctx context.Context, method string, args []string, body []byte) error {
	const want = 2 // team and key
	if len(args) != want {
		return newUsageError("claim: want a team and a key")
	}
	var claim admapi.Claim
	path := "/admin/v1/claims/" + url.PathEscape(args[0]) + "/" + url.PathEscape(args[1])
	err := a.send(ctx, request{method: method, path: path, body: body, command: method == http.MethodPost}, &claim)
	if err != nil {
		return a.fail(err)
	}
	rows := [][]string{{claim.Team, claim.Key, claim.State, orDash(claim.Attempt), orDash(claim.Instance), orDash(claim.ResolvedBy), orDash(claim.Note)}}
	return a.print(claim, "TEAM KEY STATE ATTEMPT INSTANCE RESOLVED-BY NOTE", rows)
}
