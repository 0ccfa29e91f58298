package cmds

import (
	"context"
	"crypto/rand"
	"encoding/json"
	"net/http"
	"net/url"
	"strings"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"

	"verbenaroad.example/share/services/admapi"
)

// drainPoll is half of the usual time between two heartbeats, which bring the figures.
const drainPoll = 500 * time.Millisecond

func (a *app) newDrain() *ffcli.Command {
	change := &admapi.DrainChange{}
	flags := a.newFlags("drain")
	flags.StringVar(&change.ChangeID, "change-id", "", "`id` of the change; give the printed one again when the outcome was unknown")
	flags.BoolVar(&change.Undo, "undo", false, "let the instance have work again")
	wait := flags.Bool("wait", false, "wait until the instance runs nothing, as the server's entry sees it, or --timeout is over")
	flags.BoolVar(&change.Force, "force", false, "drain also the last agent of a service that gets work")
	return a.newCommand(ffcli.Command{
		Name:       "drain",
		ShortUsage: "vctl drain [flags] <instance>",
		ShortHelp:  "stop new work of an agent; what runs ends by itself",
		LongHelp: strings.TrimSpace(`
A drain is a rule of the configuration: it takes hold everywhere with its
revision and lasts over restarts until it is undone. vctl status shows when
the instance runs nothing any more; --wait waits for that.

Examples:
  vctl drain agent-llm-07
  vctl drain --wait --timeout 2m agent-llm-07
  vctl drain --undo agent-llm-07`),
		FlagSet: flags,
	}, func(ctx context.Context, args []string) error {
		revision, err := a.drain(ctx, change, args)
		if err != nil || !*wait || change.Undo {
			return err
		}
		return a.waitDrained(ctx, args[0], revision)
	})
}

// waitDrained asks for the status until the agent has the drain's revision and
// runs nothing. Before it has it, an entry that is behind may still send it
// work, and idle means nothing; afterwards it refuses such work as not run.
func (a *app) waitDrained(ctx context.Context, instance string, revision uint64) error {
	ctx, cancel := context.WithTimeout(ctx, a.timeout)
	defer cancel()
	ticker := time.NewTicker(drainPoll)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return newRefusal("%s is drained, but still runs work after %s", instance, a.timeout)
		case <-ticker.C:
		}
		var s admapi.Status
		err := a.send(ctx, request{method: http.MethodGet, path: "/admin/v1/status"}, &s)
		if err != nil {
			continue // the next try may reach it; the timeout bounds them all
		}
		if i := findIdle(&s, instance, revision); i != nil {
			a.printInstances([]admapi.InstanceStatus{*i})
			return nil
		}
	}
}

// findIdle returns the instance once it knows the revision and has no work.
func findIdle(s *admapi.Status, instance string, revision uint64) *admapi.InstanceStatus {
	for n := range s.Instances {
		i := &s.Instances[n]
		if i.Name == instance && i.State == admapi.StateDrained && i.Revision >= revision && i.Running+i.Queued == 0 {
			return i
		}
	}
	return nil
}

// drain returns the revision of the change.
func (a *app) drain(ctx context.Context, change *admapi.DrainChange, args []string) (uint64, error) {
	if len(args) != 1 {
		return 0, newUsageError("drain: want one instance")
	}
	if change.ChangeID == "" {
		change.ChangeID = rand.Text()
	}
	body, err := json.Marshal(change)
	if err != nil {
		return 0, newUsageError("%v", err)
	}
	path := "/admin/v1/drains/" + url.PathEscape(args[0])
	return a.sendChange(ctx, request{method: http.MethodPost, path: path, body: body, command: true}, change.ChangeID)
}

// sendChange sends a change of one document, prints what came of it and returns its revision.
func (a *app) sendChange(ctx context.Context, r request, changeID string) (uint64, error) {
	var result admapi.ChangeResult
	err := a.send(ctx, r, &result)
	if err != nil {
		return 0, tellChangeID(a.fail(err), changeID)
	}
	if a.output == outputJSON {
		return result.Revision, a.printJSON(result)
	}
	a.printChanges(result.Changes, result.ChangesOmitted)
	a.printLinef("accepted as revision %d, change %s", result.Revision, result.ChangeID)
	return result.Revision, nil
}
