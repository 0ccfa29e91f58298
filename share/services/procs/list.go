package procs

import (
	"context"
	"time"

	"go.uber.org/zap"

	"verbenaroad.example/share/models/member"
)

// List is the platform's lagging list of instances.
type List interface {
	FindInstances(ctx context.Context, role member.Role) ([]member.Instance, error)
}

// Instances is told what the list says.
type Instances interface {
	OnInstances(instances []member.Instance)
}

// ListOptions are the settings of a ListWatcher.
type ListOptions struct {
	List      List
	Every     time.Duration
	Instances Instances
	Log       *zap.Logger
}

// ListWatcher reads the list for processes that keep no sessions from it.
type ListWatcher struct {
	options ListOptions
}

// NewListWatcher returns a watcher.
func NewListWatcher(options ListOptions) *ListWatcher {
	return &ListWatcher{options: options}
}

// Start reads the list until the context ends.
func (w *ListWatcher) Start(ctx context.Context) {
	go w.loop(ctx)
}

func (w *ListWatcher) loop(ctx context.Context) {
	ticker := time.NewTicker(w.options.Every)
	defer ticker.Stop()
	for {
		w.read(ctx)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// read keeps what is known when the list gives no answer.
func (w *ListWatcher) read(ctx context.Context) {
	all := []member.Instance{}
	for _, role := range []member.Role{member.RoleEntry, member.RoleAgent} {
		found, err := w.options.List.FindInstances(ctx, role)
		if err != nil {
			w.options.Log.Warn("list-unavailable", zap.Error(err))
			return
		}
		all = append(all, found...)
	}
	w.options.Instances.OnInstances(all)
}
