package direct

import (
	"context"
	"strconv"
	"time"

	"go.uber.org/zap"

	"verbenaroad.example/entry/services/fleet"
	"verbenaroad.example/share/decide/claim"
	"verbenaroad.example/share/decide/retry"
	"verbenaroad.example/share/models/config"
	"verbenaroad.example/share/modules/codes"
	"verbenaroad.example/share/modules/wire"
)

const (
	// tombstoneTimeout is the time limit of a tombstone request to an agent.
	tombstoneTimeout = 300 * time.Millisecond
	// retryAfter is the Retry-After of results that the caller may retry.
	retryAfter = time.Second
	// releaseTimeout is the time limit for releasing a key after the caller got its answer.
	releaseTimeout = 5 * time.Second
)

// submission carries out one claim.Submission.
type submission struct {
	caller  *Caller
	request *Request
	claim   *claim.Submission
	chosen  *fleet.Attempt
	// agent is the name of the chosen agent.
	agent string
	// attempt is the attempt id in the claim; each submission has a new one.
	attempt string
	// reply is set once the submission is settled.
	reply *claim.Reply
	// release is set after an attempt that did not run, if its key must be released.
	release *claim.Release
}

// runClaimed claims the key, runs the call and settles the claim.
//
// An agent that is stopping, or has a newer configuration, refuses the attempt although another
// agent could run it. Without a resubmission the caller would have to retry its call at every
// planned stop and every configuration change. Since the attempt did not run, its claim is
// released, so that the attempt can never run, and a new submission follows.
func (c *Caller) runClaimed(ctx context.Context, snapshot *config.Snapshot, q *Request) (*Answer, *codes.Result) {
	excluded := []string{}
	for resends := 0; ; resends++ {
		s, refusal := c.newSubmission(snapshot, q, resends, excluded)
		if refusal != nil {
			return nil, refusal
		}
		s.run(ctx)
		answer, result := s.answer()
		if s.release == nil || !c.mayResubmit(q, resends, result) || !s.releaseClaim(ctx) {
			s.releaseInBackground(ctx)
			return answer, result
		}
		if result.Code != codes.NewerRevision {
			excluded = append(excluded, s.agent)
		}
		latest, refusal := c.options.Configuration.GetUsable(ctx)
		if refusal != nil {
			return nil, result
		}
		snapshot = latest
	}
}

// newSubmission chooses an agent and returns the submission for it. A refusal has the outcome "not
// run" also after earlier submissions, since their attempts did not run and their claims were
// released.
func (c *Caller) newSubmission(snapshot *config.Snapshot, q *Request, resends int, excluded []string) (*submission, *codes.Result) {
	call := c.newCall(q)
	chosen, refusal := c.options.Agents.ChooseAgent(time.Now(), fleet.ChooseOptions{
		Service:  call.Service,
		Snapshot: snapshot,
		Caller:   call.CallerLabels,
		Stage:    call.StageLabels,
		Budget:   time.Until(q.Deadline),
		Exclude:  excluded,
	})
	if refusal != nil {
		return nil, refusal.WithRetryAfter(retryAfter)
	}
	s := &submission{caller: c, request: q, chosen: &chosen, agent: chosen.Choice.Name, attempt: attemptID(q, resends)}
	s.claim = claim.NewSubmission(claim.Request{
		Key:        claim.Key(q.Team.Name, q.Key),
		BodyDigest: digestOf(q),
		Choice: claim.Choice{
			Attempt:     s.attempt,
			Agent:       chosen.Choice.Name,
			Incarnation: chosen.Choice.Incarnation,
		},
		Deadline:   q.Deadline,
		RetryAfter: retryAfter,
	})
	return s, nil
}

// attemptID returns a different id for each submission of one request, since an agent never starts
// an attempt that it has refused.
func attemptID(q *Request, resends int) string {
	if resends == 0 {
		return q.ID
	}
	return q.ID + "." + strconv.Itoa(resends)
}

func (c *Caller) mayResubmit(q *Request, resends int, result *codes.Result) bool {
	if result == nil || result.Outcome != codes.OutcomeNotRun {
		return false
	}
	decision := c.options.Policy.DecideRetry(q.Service, retry.Attempt{
		Resends:   resends,
		Code:      result.Code,
		Outcome:   result.Outcome,
		Reclaimed: true,
		Remaining: time.Until(q.Deadline),
	}, 0)
	return decision.Action == retry.ActionResend
}

// run steps the submission and carries out its actions until no action is left.
func (s *submission) run(ctx context.Context) {
	actions := s.claim.Step(time.Now(), claim.Started{})
	for len(actions) > 0 {
		events := []claim.Event{}
		for _, action := range actions {
			if event := s.act(ctx, action); event != nil {
				events = append(events, event)
			}
		}
		actions = nil
		for _, event := range events {
			actions = append(actions, s.claim.Step(time.Now(), event)...)
		}
	}
	if !s.dispatched() {
		s.caller.options.Runner.Release(s.request.Service.Name, s.chosen)
	}
}

func (s *submission) act(ctx context.Context, action claim.Action) claim.Event {
	switch a := action.(type) {
	case claim.Read:
		return s.read(ctx, a.Key)
	case claim.CompareAndSwap:
		return s.swap(ctx, a)
	case claim.RequestTombstone:
		return s.requestTombstone(ctx, a)
	case claim.Dispatch:
		return s.dispatch(ctx)
	case claim.Reply:
		s.reply = &a
	case claim.Release:
		s.release = &a
	}
	return nil
}

func (s *submission) read(ctx context.Context, key string) claim.Event {
	stored, err := s.caller.options.Claims.GetClaim(ctx, key)
	if err != nil {
		s.log("claim-read-failed", err)
		return claim.ReadResult{Failed: true}
	}
	return claim.ReadResult{Stored: stored}
}

func (s *submission) swap(ctx context.Context, a claim.CompareAndSwap) claim.Event {
	swapped, err := s.caller.options.Claims.SwapClaim(ctx, a.Key, a.Record, a.Index)
	if err != nil {
		s.log("claim-write-unsure", err)
		return claim.SwapResult{Outcome: claim.SwapUnknown}
	}
	if !swapped {
		return claim.SwapResult{Outcome: claim.SwapLost}
	}
	return claim.SwapResult{Outcome: claim.SwapDone}
}

func (s *submission) requestTombstone(ctx context.Context, a claim.RequestTombstone) claim.Event {
	// The caller's deadline may have passed already, so the request has a short time limit of its
	// own.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), tombstoneTimeout)
	defer cancel()
	report, err := s.caller.options.Agents.RequestTombstone(ctx, a.Agent, &wire.Ask{
		ClaimKey:    a.Key,
		Attempt:     a.Attempt,
		Incarnation: a.Incarnation,
	})
	if err != nil {
		s.log("claim-ask-failed", err)
		return claim.AttemptReport{Attempt: a.Attempt, State: claim.ReportedUnreachable}
	}
	return decodeReport(a.Attempt, report)
}

func decodeReport(attempt string, report *wire.Told) claim.Event {
	out := claim.AttemptReport{Attempt: attempt, State: claim.ReportedState(report.GetState())}
	if len(report.GetAnswer()) == 0 {
		return out
	}
	answer, err := claim.DecodeAnswer(report.GetAnswer())
	if err == nil {
		out.Answer = &answer
	}
	return out
}

func (s *submission) dispatch(ctx context.Context) claim.Event {
	call := s.caller.newCall(s.request)
	call.ClaimKey = claim.Key(s.request.Team.Name, s.request.Key)
	call.ClaimAttempt = s.attempt
	call.BodyDigest = digestOf(s.request)
	call.Chosen = s.chosen
	s.chosen = nil
	got, result := s.caller.options.Runner.Run(ctx, call)
	if result == nil || result.Outcome != codes.OutcomeNotRun {
		s.caller.addUse(ctx, s.request)
	}
	if result != nil {
		return claim.DispatchEnded{Attempt: s.attempt, Result: *result}
	}
	answer := claim.Answer{Code: codes.OK, Status: got.Status, ContentType: got.ContentType, Body: got.Body}
	ok := codes.NewResult(codes.OK, "")
	return claim.DispatchEnded{Attempt: s.attempt, Result: *ok, Answer: &answer}
}

// dispatched reports whether the attempt was dispatched to the chosen agent.
func (s *submission) dispatched() bool {
	return s.chosen == nil
}

// releaseInBackground releases the key, so that a caller's retry need not send a tombstone request
// to the agent. Nothing depends on its success.
func (s *submission) releaseInBackground(ctx context.Context) {
	if s.release != nil {
		go s.runRelease(context.WithoutCancel(ctx))
	}
}

func (s *submission) runRelease(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, releaseTimeout)
	defer cancel()
	s.releaseClaim(ctx)
}

// releaseClaim releases this submission's claim if the key still holds it, and reports whether it
// did.
func (s *submission) releaseClaim(ctx context.Context) bool {
	a := s.release
	stored, err := s.caller.options.Claims.GetClaim(ctx, a.Key)
	if err != nil || stored == nil {
		return false
	}
	held := stored.Record.Attempt == s.attempt && stored.Record.State == claim.StateClaimed
	if !held {
		return false
	}
	swapped, err := s.caller.options.Claims.SwapClaim(ctx, a.Key, a.Stored.Record, stored.Index)
	if err != nil {
		s.log("claim-release-failed", err)
	}
	return swapped && err == nil
}

func (s *submission) answer() (*Answer, *codes.Result) {
	if s.reply == nil {
		return nil, codes.NewResult(codes.Internal, "the claim ended without a reply")
	}
	if s.reply.Answer == nil || s.reply.Answer.Code != codes.OK {
		return nil, &s.reply.Result
	}
	answer := s.reply.Answer
	return &Answer{Status: statusOf(answer), ContentType: answer.ContentType, Body: answer.Body}, nil
}

func (s *submission) log(event string, err error) {
	s.caller.options.Log.Warn(event, zap.String("request-id", s.request.ID), zap.Error(err))
}
