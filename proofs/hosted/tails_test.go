package hosted_test

import (
	"testing"
	"time"

	"verbenaroad.example/proofs/relay"
)

// Guards against a stream whose origin is no longer known because its ingress has sent all of it, although its end has not
// reached the caller, whose connection breaks.
func TestStreamWhoseEndDidNotArriveGoesOn(t *testing.T) {
	d := newDeployment(t, 3)
	d.addOtherVersion()
	d.slowStreams()
	r, err := relay.NewRelay(d.ingresses[0].callerAddress)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(r.Close)
	streams, done := startStreams(testedStreams, false, &ingress{t: t, callerAddress: r.Address()}, d.ingresses[1:])
	time.Sleep(midStream)
	r.HoldAnswers()
	eventually(t, "all streams are answered", func() bool { return len(d.ingresses[0].output.lines("event=answered")) >= testedStreams })
	r.Drop()
	r.Resume()
	done.Wait()
	checkShare(t, checkVersions(t, streams), streams)
}
