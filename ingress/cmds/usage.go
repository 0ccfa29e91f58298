package cmds

import (
	"context"
	"runtime/metrics"
	"syscall"
	"time"

	"go.uber.org/zap"

	"verbenaroad.example/share/modules/pauses"
)

// usageInterval is the time between two lines that say what the process uses. They are how an operator
// tells the roles of ingresses apart, and what each role costs.
const usageInterval = 5 * time.Second

// usageReporter logs periodically what the ingress holds and has used since its start.
type usageReporter struct {
	ingress *Ingress
}

// Start reports until the context ends.
func (u *usageReporter) Start(ctx context.Context) { go u.loop(ctx) }

func (u *usageReporter) loop(ctx context.Context) {
	started := time.Now()
	for pauses.Wait(ctx, usageInterval) {
		u.report(time.Since(started))
	}
}

func (u *usageReporter) report(uptime time.Duration) {
	i := u.ingress
	view := i.book.View()
	servers := 0
	for _, list := range view.Servers {
		servers += len(list)
	}
	i.log.Info("usage", zap.Duration("uptime", uptime), zap.Duration("processor-time", processorTime()), zap.Uint64("memory", usedMemory()),
		zap.Int("servers", servers), zap.Int("ingresses", len(view.Ingresses)), zap.Int("followers", i.feeder.CountFollowers()),
		zap.Bool("store-direct", i.book.IsDirect()), zap.Int("links-opened", i.mesh.CountSessions()), zap.Strings("counts", i.meters.Usage()))
}

// processorTime returns the processor time of the process since its start.
func processorTime() time.Duration {
	used := syscall.Rusage{}
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &used); err != nil {
		return 0
	}
	return time.Duration(used.Utime.Nano() + used.Stime.Nano())
}

// usedMemory returns the number of bytes that the runtime has from the operating system.
func usedMemory() uint64 {
	samples := []metrics.Sample{{Name: "/memory/classes/total:bytes"}, {Name: "/memory/classes/heap/released:bytes"}}
	metrics.Read(samples)
	return samples[0].Value.Uint64() - samples[1].Value.Uint64()
}
