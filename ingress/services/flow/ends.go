package flow

import (
	"context"
	"errors"
	"time"

	"verbenaroad.example/ingress/services/assign"
	"verbenaroad.example/ingress/services/reach"
	"verbenaroad.example/share/models/site"
)

// errServerGone means that an answer ended with its connection, and that its server is down.
var errServerGone = errors.New("the answer ended with its connection, and its server is down")

// endWait is how long a new connection to a server must stay open at the end of an answer that ended with its connection,
// if all of the answer has been passed on by then. One that is held back does not wait.
const endWait = 50 * time.Millisecond

// confirmEnd returns an error if an answer that ended with its connection may not be whole. The kernel ends the connections
// of a process that is killed as the process itself ends an answer, but nobody accepts further ones then. A server that
// leaves may refuse them and still end its answers.
func (x *exchange) confirmEnd(ctx context.Context, server *site.Server, reply *reach.Reply, wait time.Duration) error {
	if reply.Framing != reach.FramingConnection || reply.Leaving {
		return nil
	}
	_, isReady := assign.FindServer(x.server.options.Views.View(), x.service, server.ID)
	if !isReady || !x.server.options.Sender.HasGone(ctx, server.Address, wait) {
		return nil
	}
	return errServerGone
}
