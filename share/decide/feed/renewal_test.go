package feed_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"verbenaroad.example/share/decide/feed"
)

// Guards against renewals whose number grows with the deployment: at 2 s each, 2,000 ingresses made 1,000
// of them a second.
func TestRenewalsPerSecondAreBounded(t *testing.T) {
	const ttl = time.Minute
	for _, c := range []struct {
		ingresses int
		most      float64 // renewals per second of all ingresses
	}{{6, 3}, {100, 20}, {356, 20}, {1000, 50}, {2000, 100}} {
		is := is.New(t)
		interval := feed.RenewalInterval(c.ingresses, ttl)
		is.True(float64(c.ingresses)/interval.Seconds() <= c.most+1e-9)
		is.True(interval >= 2*time.Second)
		is.True(3*interval <= ttl) // two renewals may fail
	}
	is := is.New(t)
	is.Equal(feed.RenewalInterval(6, 2*time.Second), 2*time.Second/3) // a short lease needs renewals more often
}
