package flow

import (
	"context"
	"errors"
	"net/http"
	"time"

	"verbenaroad.example/ingress/services/reach"
	"verbenaroad.example/ingress/services/stages"
	"verbenaroad.example/share/modules/codes"
)

// produceResults runs the stages of the request unless their results exist already.
func (r *relay) produceResults(ctx context.Context) *codes.Result {
	if len(r.route.Stages) == 0 || r.results != nil {
		return nil
	}
	if r.runs == 0 {
		var release func()
		ctx, release = r.newUnsentLifetime(ctx)
		defer release()
	}
	results, failed := r.server.options.StageRunner.ProduceChain(ctx, stages.Chain{
		AttemptID:     r.AttemptID,
		RequestDigest: string(r.identity.Request),
		ItemKey:       r.ItemKey,
		ItemCounts:    r.ItemCounts,
		Stages:        r.route.Stages,
		Rank:          r.Decision.Rank,
		Team:          r.Decision.Team,
		Target:        r.Arrived.Add(r.route.LatencyTarget),
		Deadline:      r.route.FirstEventDeadline(r.Arrived, r.deadline),
		Domain:        r.reservation.Server().Domain,
		Residency:     r.residency(),
		Refuse:        r.refuseStage,
		OnLastStage:   r.preconnect,
		EndBy:         r.sendBy,
		Log:           r.log,
	})
	switch {
	case failed == nil:
		r.results = results
		return nil
	case failed.Code == codes.Draining:
		return r.refuseStopping(failed.Detail)
	case failed.Code == codes.Canceled && r.runs == 0 && errors.Is(context.Cause(ctx), errStopping):
		return r.refuseStopping("stopping; the stages have not ended in time")
	}
	return failed
}

// refuseStage returns the refusal of a request for which no further stage may start, or nil.
func (r *relay) refuseStage() *codes.Result {
	if quarantined := r.refuseQuarantined(); quarantined != nil {
		return quarantined
	}
	return r.refuseSend()
}

// fetchTime is the time after which an engine is expected to have fetched the results of a request
// that was sent to it. Engines fetch them before they prefill the prompt.
const fetchTime = 200 * time.Millisecond

// scheduleRelease releases the results after fetchTime unless stop is called before. If they were
// kept until the first event, they would occupy memory of their pool while the engine prefills the
// prompt, and in a burst of large results this memory is the bottleneck.
func (r *relay) scheduleRelease() (stop func()) {
	if r.results == nil || r.keepResults {
		return func() {}
	}
	t := time.AfterFunc(fetchTime, r.results.Release)
	return func() { t.Stop() }
}

// wasReleasedEarly reports whether an engine refused the request because the results were released
// before it fetched them. They are then produced again and kept until the first event.
func (r *relay) wasReleasedEarly(reply *reach.Reply) bool {
	return reply.NotRun && reply.Status == http.StatusConflict && r.results != nil && r.results.IsReleased() && !r.keepResults
}

// releaseResults releases the results at their pool, if that has not been done yet.
func (r *relay) releaseResults() {
	if r.results != nil {
		r.results.Release()
		r.results = nil
	}
}
