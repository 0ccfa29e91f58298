package cmds

import (
	"context"

	"verbenaroad.example/share/decide/head"
	"verbenaroad.example/share/services/follow"
	"verbenaroad.example/share/services/store"
)

// adopter puts a change that was accepted here in force here at once.
type adopter struct {
	*store.Writer
	follower *follow.Follower
}

// Submit carries one change to its verdict.
func (a *adopter) Submit(ctx context.Context, s head.Submission) head.Answer {
	answer := a.Writer.Submit(ctx, s)
	if answer.Loaded != nil {
		a.follower.Adopt(answer.Loaded)
	}
	return answer
}
