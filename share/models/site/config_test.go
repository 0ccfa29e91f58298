package site_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"verbenaroad.example/share/models/site"
)

// A chat may take 20 s for its whole answer. In a burst it is held for 8 s, its results
// are made, and nobody is there any more: its caller left after 7.2 s without an event.
func TestCallersLeaveASilentStream(t *testing.T) {
	is := is.New(t)
	arrived := time.Unix(0, 0)
	ends := arrived.Add(20 * time.Second)
	chat := site.Route{MaxSilence: 7200 * time.Millisecond}
	is.Equal(chat.FirstEventBy(arrived, ends), arrived.Add(7200*time.Millisecond))
	is.Equal(chat.FirstEventBy(arrived, arrived.Add(time.Second)), arrived.Add(time.Second))
	plain := site.Route{}
	is.Equal(plain.FirstEventBy(arrived, ends), ends)
}
