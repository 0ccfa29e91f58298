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

// drainPollInterval is half of the default heartbeat interval. Heartbeats report the polled
// figures.
const drainPollInterval = 500 * time.Millisecond

func (a *app) newDrain() *ffcli.Command {
	change := &admapi.DrainChange{}
	flags := a.newFlags("drain")
	flags.StringVar(&change.ChangeID, "change-id", "", "`id` of the change; for a retry after an unknown outcome, the id that was printed")
	flags.BoolVar(&change.Undo, "undo", false, "end the drain, so that the instance gets work again")
	wait := flags.Bool("wait", false, "wait until the entry at --server reports that the instance has no work, for at most --timeout")
	flags.BoolVar(&change.Force, "force", false, "drain the agent even if it is the last one of its service that gets work")
	return a.newCommand(ffcli.Command{
		Name:       "drain",
		ShortUsage: "vctl drain [flags] <instance>",
		ShortHelp:  "stop sending new work to an agent; running work finishes",
		LongHelp: strings.TrimSpace(`
A drain is a rule of the configuration. It takes effect on each instance as soon
as it has the new revision, and lasts until it is undone, also over restarts.
vctl status shows when the instance has no work any more; --wait waits for that.

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

// waitDrained polls the status until the agent has the revision of the drain and has no work.
// Before it has that revision, an entry with an older revision may still send it work, so being
// idle proves nothing. Afterwards the agent refuses such work as not run.
func (a *app) waitDrained(ctx context.Context, instance string, revision uint64) error {
	ctx, cancel := context.WithTimeout(ctx, a.timeout)
	defer cancel()
	ticker := time.NewTicker(drainPollInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return newRefusedError("%s is drained, but still runs work after %s", instance, a.timeout)
		case <-ticker.C:
		}
		var s admapi.Status
		err := a.send(ctx, request{method: http.MethodGet, path: "/admin/v1/status"}, &s)
		if err != nil {
			continue // the next poll may succeed; the timeout limits the polling
		}
		if i := findDrained(&s, instance, revision); i != nil {
			a.printInstances([]admapi.InstanceStatus{*i})
			return nil
		}
	}
}

// findDrained returns the instance if it is drained, has at least the revision and has no work;
// otherwise nil.
func findDrained(s *admapi.Status, instance string, revision uint64) *admapi.InstanceStatus {
	for n := range s.Instances {
		i := &s.Instances[n]
		if i.Name == instance && i.State == admapi.StateDrained && i.Revision >= revision && i.Running+i.Queued == 0 {
			return i
		}
	}
	return nil
}

// drain submits the change for the instance in args and returns the accepted revision.
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
	return a.sendChange(ctx, request{method: http.MethodPost, path: path, body: body, mutates: true}, change.ChangeID)
}

// sendChange sends a request that changes one document, prints the result and returns the accepted
// revision.
func (a *app) sendChange(ctx context.Context, r request, changeID string) (uint64, error) {
	var result admapi.ChangeResult
	err := a.send(ctx, r, &result)
	if err != nil {
		return 0, addChangeID(a.reportError(err), changeID)
	}
	if a.output == outputJSON {
		return result.Revision, a.printJSON(result)
	}
	a.printChanges(result.Changes, result.ChangesOmitted)
	a.printLinef("accepted as revision %d, change %s", result.Revision, result.ChangeID)
	return result.Revision, nil
}
