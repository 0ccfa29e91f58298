package cmds

import (
	"context"

	"verbenaroad.example/share/decide/head"
	"verbenaroad.example/share/services/follow"
	"verbenaroad.example/share/services/store"
)

// adoptingWriter is a writer that puts an accepted change in force in this process at once.
type adoptingWriter struct {
	*store.Writer
	follower *follow.Follower
}

// Submit submits one change. If the change is known to be accepted, Submit puts the configuration
// that results from it in force.
func (a *adoptingWriter) Submit(ctx context.Context, s head.Submission) head.Answer {
	answer := a.Writer.Submit(ctx, s)
	if answer.Loaded != nil {
		a.follower.Adopt(answer.Loaded)
	}
	return answer
}
