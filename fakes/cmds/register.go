package cmds

import (
	"context"
	"io"
	"net/netip"
	"strings"

	"github.com/peterbourgon/ff/v3/ffcli"

	"verbenaroad.example/share/models/config"
	"verbenaroad.example/share/models/member"
	"verbenaroad.example/share/models/roster"
)

// newRegister returns the subcommand that adds an instance to the list or removes it. The real
// platform does this by itself.
func newRegister(output io.Writer) *ffcli.Command {
	flags := newFlagSet("register", output)
	instance := member.Instance{}
	listAddress, remove, role, labels := netip.AddrPort{}, false, "", ""
	flags.TextVar(&listAddress, "list", netip.AddrPort{}, "`ip:port` of the list")
	flags.TextVar(&instance.Address, "address", netip.AddrPort{}, "`ip:port` where the instance takes sessions")
	flags.StringVar(&instance.Name, "name", "", "`name` of the instance")
	flags.StringVar(&role, "role", string(member.RoleAgent), "entry or agent")
	flags.StringVar(&instance.Service, "service", "", "`service` of the backend server")
	flags.StringVar(&instance.Region, "region", "", "`region`")
	flags.StringVar(&instance.Domain, "domain", "", "failure `domain`")
	flags.StringVar(&labels, "labels", "", "`key=value` pairs with commas between them")
	flags.BoolVar(&instance.Leaving, "leaving", false, "mark the instance as leaving")
	flags.BoolVar(&remove, "remove", false, "take the instance off the list")
	return newCommand("register", "puts an instance on the list, or takes it off", flags, func(ctx context.Context) error {
		client := roster.NewClient(roster.Options{Address: listAddress})
		if remove {
			return client.DeregisterInstance(ctx, instance.Name)
		}
		instance.Role = member.Role(role)
		instance.Labels = parseLabels(labels)
		return client.RegisterInstance(ctx, instance)
	})
}

func parseLabels(text string) config.Labels {
	labels := config.Labels{}
	for _, part := range strings.Split(text, ",") {
		key, value, found := strings.Cut(part, "=")
		if found {
			labels[key] = value
		}
	}
	return labels
}
