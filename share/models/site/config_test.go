package site_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"verbenaroad.example/share/models/site"
)

// A stream may take 20 s for its complete answer, but its caller disconnects after 7.2 s without
// an event. Guards against a request that is held for 8 s in a burst and whose results are
// then produced for a caller that is gone.
func TestFirstEventDeadline(t *testing.T) {
	is := is.New(t)
	arrived := time.Unix(0, 0)
	deadline := arrived.Add(20 * time.Second)
	chat := site.Route{CallerIdleTimeout: 7200 * time.Millisecond}
	is.Equal(chat.FirstEventDeadline(arrived, deadline), arrived.Add(7200*time.Millisecond))
	is.Equal(chat.FirstEventDeadline(arrived, arrived.Add(time.Second)), arrived.Add(time.Second))
	plain := site.Route{}
	is.Equal(plain.FirstEventDeadline(arrived, deadline), deadline)
}
