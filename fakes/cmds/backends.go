package cmds

import (
	"context"
	"flag"
	"io"
	"strings"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"
	"go.uber.org/zap"

	"verbenaroad.example/fakes/services/engine"
	"verbenaroad.example/fakes/services/plain"
	"verbenaroad.example/fakes/services/pool"
)

const (
	defaultModel         = "model"
	defaultEngineSlots   = 32
	defaultPlainSlots    = 8
	defaultPrefill       = 100 * time.Microsecond
	defaultTokenInterval = 20 * time.Millisecond
	defaultBatchGrowth   = 0.01
	defaultCacheBlocks   = 4096
	defaultServiceTime   = 20 * time.Millisecond
)

func newService(log *zap.Logger, output io.Writer) *ffcli.Command {
	flags := newFlagSet("service", output)
	c := newStandIn("service", log, flags)
	c.addLedgerFlag(flags)
	options := plain.Options{}
	flags.DurationVar(&options.Time, "service-time", defaultServiceTime, "time that each call takes")
	flags.IntVar(&options.Slots, "slots", defaultPlainSlots, "calls that run at once")
	return newCommand("service", "a plain service", flags, func(ctx context.Context) error {
		runLedger, err := c.openLedger()
		if err != nil {
			return err
		}
		return c.run(ctx, plain.NewService(options, runLedger).NewRouter(), plain.KindOf, runLedger)
	})
}

func newPool(log *zap.Logger, output io.Writer) *ffcli.Command {
	flags := newFlagSet("pool", output)
	c := newStandIn("pool", log, flags)
	c.addLedgerFlag(flags)
	options := pool.Options{}
	flags.DurationVar(&options.Time, "service-time", defaultServiceTime, "time that each call takes")
	flags.IntVar(&options.Slots, "slots", defaultPlainSlots, "calls that run at once")
	return newCommand("pool", "a pool of encoders, retrievers and rerankers", flags, func(ctx context.Context) error {
		runLedger, err := c.openLedger()
		if err != nil {
			return err
		}
		return c.run(ctx, pool.NewPool(options, runLedger).NewRouter(), pool.KindOf, runLedger)
	})
}

func newEngine(log *zap.Logger, output io.Writer) *ffcli.Command {
	flags := newFlagSet("engine", output)
	c := newStandIn("engine", log, flags)
	c.addLedgerFlag(flags)
	options := engine.Options{}
	addEngineFlags(flags, &options)
	models := flags.String("models", defaultModel, "models served from the start, separated by commas")
	fencing := flags.String("fencing", string(engine.FencingChecked), "what is done with fencing numbers: checks or ignores")
	return newCommand("engine", "a model engine", flags, func(ctx context.Context) error {
		options.Models = strings.Split(*models, ",")
		options.Fencing = engine.FencingMode(*fencing)
		if options.Fencing != engine.FencingChecked && options.Fencing != engine.FencingIgnored {
			return errCommand.New("--fencing %s: want checks or ignores", *fencing)
		}
		runLedger, err := c.openLedger()
		if err != nil {
			return err
		}
		e := engine.NewEngine(options, runLedger)
		e.Start()
		defer e.Stop()
		return c.run(ctx, e.NewRouter(), engine.KindOf, runLedger)
	})
}

func addEngineFlags(flags *flag.FlagSet, options *engine.Options) {
	flags.IntVar(&options.Slots, "slots", defaultEngineSlots, "largest batch")
	flags.DurationVar(&options.Prefill, "prefill", defaultPrefill, "time for each prompt token that is not cached")
	flags.DurationVar(&options.TokenInterval, "token-interval", defaultTokenInterval, "time between two tokens of a request that runs alone")
	flags.Float64Var(&options.BatchGrowth, "batch-growth", defaultBatchGrowth, "part of the token interval that each further request adds")
	flags.IntVar(&options.CacheBlocks, "cache-blocks", defaultCacheBlocks, "size of the prefix cache in blocks of 16 tokens")
	flags.DurationVar(&options.EventLag, "event-lag", 0, "delay of cache events")
	flags.Float64Var(&options.EventGap, "event-gap", 0, "probability that a cache event is lost")
	flags.DurationVar(&options.LoadLag, "load-lag", 0, "delay of the load report")
	flags.DurationVar(&options.OrderTime, "order-time", 0, "time that an order takes")
	flags.Int64Var(&options.Seed, "seed", 1, "seed of the event gaps")
}
