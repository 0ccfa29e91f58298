package cmds

import (
	"context"
	"io"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"
	"go.uber.org/zap"

	"verbenaroad.example/fakes/services/keyval"
	"verbenaroad.example/fakes/services/roster"
	"verbenaroad.example/fakes/services/weight"
)

const (
	defaultWeightBytes = 64 << 20
	defaultWeightRate  = 256 << 20
)

func newKV(log *zap.Logger, output io.Writer) *ffcli.Command {
	flags := newFlagSet("kv", output)
	c := newStandIn("kv", log, flags)
	return newCommand("kv", "the key-value service", flags, func(ctx context.Context) error {
		return c.run(ctx, keyval.NewStore().NewRouter(), keyval.KindOf, nil)
	})
}

func newList(log *zap.Logger, output io.Writer) *ffcli.Command {
	flags := newFlagSet("list", output)
	c := newStandIn("list", log, flags)
	var lag time.Duration
	flags.DurationVar(&lag, "lag", 0, "time until a change of the list is visible")
	return newCommand("list", "the lagging list of instances", flags, func(ctx context.Context) error {
		return c.run(ctx, roster.NewList(lag).NewRouter(), roster.KindOf, nil)
	})
}

func newWeights(log *zap.Logger, output io.Writer) *ffcli.Command {
	flags := newFlagSet("weights", output)
	c := newStandIn("weights", log, flags)
	options := weight.Options{}
	flags.Int64Var(&options.Bytes, "bytes", defaultWeightBytes, "size of every set of weights")
	flags.Int64Var(&options.Rate, "rate", defaultWeightRate, "bytes per second over all downloads")
	return newCommand("weights", "the weight store", flags, func(ctx context.Context) error {
		return c.run(ctx, weight.NewStore(options).NewRouter(), weight.KindOf, nil)
	})
}
