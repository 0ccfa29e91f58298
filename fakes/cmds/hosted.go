package cmds

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"

	"verbenaroad.example/fakes/services/hosted"
)

// newHosted returns the subcommand that runs the users' platform in one process: its store, and two
// servers each of a plain service, an engine and a pool, with a configuration for them.
func newHosted(output io.Writer) *ffcli.Command {
	flags := newFlagSet("hosted", output)
	return newCommand("hosted", "the users' platform with servers, for ingresses", flags, func(ctx context.Context) error {
		w, err := hosted.NewWorld(1)
		if err != nil {
			return err
		}
		defer w.Close()
		if err := fillWorld(w); err != nil {
			return err
		}
		if _, err := fmt.Fprintf(output, "store=%s\n", w.Store.Address(0)); err != nil {
			return err
		}
		<-ctx.Done()
		return nil
	})
}

// fillWorld adds the servers, in two failure domains, and writes the configuration.
func fillWorld(w *hosted.World) error {
	for _, zone := range []string{"a1", "b1"} {
		for _, s := range []*hosted.Server{
			{Service: "orders", Zone: zone, WorkTime: 20 * time.Millisecond},
			{Service: "models", Zone: zone, Events: 6, EventInterval: 40 * time.Millisecond},
			{Service: "encoders", Zone: zone, WorkTime: 50 * time.Millisecond, MaxBatch: 8, MaxResults: 50},
		} {
			if _, err := w.Add(s); err != nil {
				return err
			}
		}
	}
	w.PutConfig(
		[]hosted.Route{
			{
				"Name": "order", "Host": "kits.example", "Prefix": "/order/", "Type": "unsafe", "Service": "orders",
				"TimeoutMs": 1500, "TargetLatencyMs": 300, "MaxAttempts": 1,
			},
			{
				"Name": "review", "Host": "kits.example", "Prefix": "/review/", "Type": "streaming", "Service": "models",
				"TimeoutMs": 8000, "TargetLatencyMs": 2000, "TargetGapMs": 500, "MaxAttempts": 2, "Resumable": true,
				"Stages": []map[string]any{{"Service": "encoders", "After": []int{}, "SizeBytes": 1000}},
			},
		},
		[]map[string]any{
			{"Name": "orders"},
			{"Name": "models", "Engine": map[string]any{"Slots": 32, "KvCapacityTokens": 100000}},
			{"Name": "encoders", "Segments": map[string]any{
				"Slots": 1, "Queue": 2, "Batch": 8, "CallMs": 50, "ItemMs": 1, "HeadroomMb": 1, "HandleTtlS": 4, "LinkMbps": 10000,
			}},
		},
		[]map[string]any{{"Name": "workshop", "ApiKeys": []string{"demo-key"}}},
	)
	return nil
}
