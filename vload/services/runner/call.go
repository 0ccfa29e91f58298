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

// call is one request in flight.
type call struct {
	runner  *Runner
	arrival pace.Arrival
	spec    spec
	// intended is the time at which the request was due to be sent.
	intended time.Time
}

// run performs the call and frees its slot.
func (c *call) run(ctx context.Context) {
	defer c.runner.release()
	c.send(ctx)
}

// send sends the request, reads its answer and counts the result.
func (c *call) send(ctx context.Context) {
	class := &c.runner.scenario.Classes[c.arrival.Kind]
	sample := &tally.Sample{Phase: c.arrival.Segment, Class: c.arrival.Kind}
	sample.Gaps = c.runner.getGaps()
	sent := time.Now()
	sample.SendLag = sent.Sub(c.intended)
	limit := c.intended.Add(class.Deadline.Value() + c.runner.scenario.LateWait.Value())
	ctx, cancel := context.WithDeadline(ctx, limit)
	err := c.exchange(ctx, sample)
	expired := errors.Is(ctx.Err(), context.DeadlineExceeded)
	cancel()
	sample.Latency = time.Since(c.intended)
	if err != nil {
		sample.Ending = endingOf(err, expired)
	}
	sample.InTime = sample.Ending == tally.EndingComplete && sample.Latency <= class.Deadline.Value()
	c.runner.counter.Add(sample)
	c.runner.putGaps(sample.Gaps)
}

// exchange sends the request to its target and reads the answer into the sample.
func (c *call) exchange(ctx context.Context, sample *tally.Sample) error {
	b := c.runner.builders[c.arrival.Kind]
	request, err := b.build(ctx, c.spec)
	if err != nil {
		return err
	}
	response, err := c.runner.clientFor(b.class).Do(request)
	if err != nil {
		return &connectionError{cause: err}
	}
	a := &answerReader{class: b.class, kind: b.target.Kind, sample: sample, intended: c.intended}
	if b.class.SameAnswer {
		a.digest = xxhash.New()
		sample.PromptID = b.seed(c.spec)
	}
	err = a.read(response)
	return errors.Join(err, closeBody(response))
}

func closeBody(response *http.Response) error {
	return response.Body.Close()
}

// connectionError is the error of a request that failed before its answer began.
type connectionError struct {
	cause error
}

// Error returns the cause's text.
func (e *connectionError) Error() string {
	return e.cause.Error()
}

// endingOf classifies a failed request; expired means that its time limit had passed.
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
