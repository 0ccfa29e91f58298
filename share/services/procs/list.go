package procs

import (
	"context"
	"time"

	"go.uber.org/zap"

	"verbenaroad.example/share/models/member"
)

// List is the platform's list of instances. It lags behind the actual instances.
type List interface {
	FindInstances(ctx context.Context, role member.Role) ([]member.Instance, error)
}

// Observer receives the listed instances after each read of the list.
type Observer interface {
	OnInstances(instances []member.Instance)
}

// ListOptions are the settings of a ListPoller.
type ListOptions struct {
	List     List
	Interval time.Duration
	Observer Observer
	Log      *zap.Logger
}

// ListPoller polls the list in processes that do not open sessions to the listed instances.
type ListPoller struct {
	options ListOptions
}

// NewListPoller returns a ListPoller.
func NewListPoller(options ListOptions) *ListPoller {
	return &ListPoller{options: options}
}

// Start polls the list until ctx ends.
func (p *ListPoller) Start(ctx context.Context) {
	go p.loop(ctx)
}

func (p *ListPoller) loop(ctx context.Context) {
	ticker := time.NewTicker(p.options.Interval)
	defer ticker.Stop()
	for {
		p.read(ctx)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// read reads the entries and agents of the list and passes them to the observer. If a read fails,
// it passes nothing, so that the instances of the last read stay in use.
func (p *ListPoller) read(ctx context.Context) {
	instances := []member.Instance{}
	for _, role := range []member.Role{member.RoleEntry, member.RoleAgent} {
		found, err := p.options.List.FindInstances(ctx, role)
		if err != nil {
			p.options.Log.Warn("list-unavailable", zap.Error(err))
			return
		}
		instances = append(instances, found...)
	}
	p.options.Observer.OnInstances(instances)
}
