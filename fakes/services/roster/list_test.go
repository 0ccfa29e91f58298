package roster_test

import (
	"context"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"verbenaroad.example/fakes/modules/serve"
	"verbenaroad.example/fakes/services/roster"
	"verbenaroad.example/share/models/config"
	"verbenaroad.example/share/models/member"
	client "verbenaroad.example/share/models/roster"
)

func newClient(t *testing.T, lag time.Duration) *client.Client {
	t.Helper()
	server := serve.NewServer(serve.Options{
		Listen:  serve.AnyLoopbackPort(),
		Handler: roster.NewList(lag).NewRouter(),
		KindOf:  roster.KindOf,
	})
	if err := server.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		_ = server.Stop(ctx)
	})
	return client.NewClient(client.Options{Address: server.Address()})
}

func newAgent() member.Instance {
	return member.Instance{
		Name:    "agent-7",
		Role:    member.RoleAgent,
		Service: "drafting",
		Region:  "bretagne",
		Domain:  "bretagne-a",
		Address: netip.MustParseAddrPort("127.0.0.1:7007"),
		Labels:  config.Labels{"gpu": "large"},
	}
}

func TestFindReturnsRegisteredInstances(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	list := newClient(t, 0)
	agent := newAgent()
	entry := member.Instance{
		Name:    "entry-1",
		Role:    member.RoleEntry,
		Address: netip.MustParseAddrPort("[::1]:7001"),
		Labels:  config.Labels{},
	}
	is.NoErr(list.RegisterInstance(ctx, agent))
	is.NoErr(list.RegisterInstance(ctx, entry))
	agents, err := list.FindInstances(ctx, member.RoleAgent)
	is.NoErr(err)
	is.Equal(agents, []member.Instance{agent})
	entries, err := list.FindInstances(ctx, member.RoleEntry)
	is.NoErr(err)
	is.Equal(entries, []member.Instance{entry})

	agent.Leaving = true
	is.NoErr(list.RegisterInstance(ctx, agent))
	agents, err = list.FindInstances(ctx, member.RoleAgent)
	is.NoErr(err)
	is.True(agents[0].Leaving)
	is.NoErr(list.DeregisterInstance(ctx, agent.Name))
	agents, err = list.FindInstances(ctx, member.RoleAgent)
	is.NoErr(err)
	is.Equal(len(agents), 0)
}

func TestChangesBecomeVisibleAfterLag(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	list := newClient(t, time.Hour)
	is.NoErr(list.RegisterInstance(ctx, newAgent()))
	agents, err := list.FindInstances(ctx, member.RoleAgent)
	is.NoErr(err)
	is.Equal(len(agents), 0)
}

// One instance is registered without a valid address. The client must skip and count it, and still
// find the other instances.
func TestInvalidInstanceIsSkipped(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	list := newClient(t, 0)
	is.NoErr(list.RegisterInstance(ctx, member.Instance{Name: "bad", Role: member.RoleAgent})) // has no address
	is.NoErr(list.RegisterInstance(ctx, newAgent()))
	agents, err := list.FindInstances(ctx, member.RoleAgent)
	is.NoErr(err)
	is.Equal(agents, []member.Instance{newAgent()})
	is.Equal(list.CountInvalid(), uint64(1))
}
