package runner

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/cespare/xxhash/v2"

	"verbenaroad.example/vload/modules/pace"
	"verbenaroad.example/vload/services/tally"
)

// call is one request under way.
type call struct {
	owner   *Runner
	arrival pace.Arrival
	spec    spec
	// intended is when the schedule wanted the request sent.
	intended time.Time
}

// run sends the request, reads its answer and gives the slot back.
func (c *call) run(ctx context.Context) {
	defer c.owner.release()
	c.send(ctx)
}

// send sends the request, reads its answer and counts it.
func (c *call) send(ctx context.Context) {
	class := &c.owner.scenario.Classes[c.arrival.Kind]
	sample := &tally.Sample{Phase: c.arrival.Segment, Class: c.arrival.Kind}
	sample.Gaps = c.owner.takeGaps()
	sent := time.Now()
	sample.SendLag = sent.Sub(c.intended)
	limit := c.intended.Add(class.Deadline.Value() + c.owner.scenario.LateWait.Value())
	ctx, cancel := context.WithDeadline(ctx, limit)
	err := c.exchange(ctx, sample)
	expired := errors.Is(ctx.Err(), context.DeadlineExceeded)
	cancel()
	sample.Latency = time.Since(c.intended)
	if err != nil {
		sample.Ending = endingOf(err, expired)
	}
	sample.InTime = sample.Ending == tally.EndingWhole && sample.Latency <= class.Deadline.Value()
	c.owner.book.Add(sample)
	c.owner.returnGaps(sample.Gaps)
}

// exchange carries the request to its target and reads the answer.
func (c *call) exchange(ctx context.Context, sample *tally.Sample) error {
	m := c.owner.makers[c.arrival.Kind]
	request, err := m.make(ctx, c.spec)
	if err != nil {
		return err
	}
	response, err := c.owner.clientOf(m.class).Do(request)
	if err != nil {
		return &connectionError{cause: err}
	}
	a := &answer{class: m.class, kind: m.target.Kind, sample: sample, intended: c.intended}
	if m.class.SameAnswer {
		a.text = xxhash.New()
		sample.Prompt = m.seed(c.spec)
	}
	err = a.read(response)
	return errors.Join(err, closeBody(response))
}

// closeBody closes the body of an answer that was read.
func closeBody(response *http.Response) error {
	return response.Body.Close()
}

// connectionError says that no answer began.
type connectionError struct {
	cause error
}

// Error returns the cause's text.
func (e *connectionError) Error() string {
	return e.cause.Error()
}

// endingOf tells apart how an answer failed.
func endingOf(err error, expired bool) tally.Ending {
	if expired {
		return tally.EndingTimeout
	}
	var connection *connectionError
	if errors.As(err, &connection) {
		return tally.EndingConnection
	}
	return tally.EndingIncomplete
}
