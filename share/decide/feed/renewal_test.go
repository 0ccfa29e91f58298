package feed_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"verbenaroad.example/share/decide/feed"
)

// Guards against renewals whose number grows with the deployment.
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

// Guards against a store that is called more often by the ingresses that it turns away than by all others.
func TestFailedRenewalsBackOff(t *testing.T) {
	const outage = 9 * time.Second
	for _, ingresses := range []int{100, 1000, 2000} {
		is := is.New(t)
		interval := feed.RenewalInterval(ingresses, time.Minute)
		calls := 0
		for at := time.Duration(0); at < outage; at += feed.RenewalRetryDelay(calls, interval) {
			calls++
		}
		is.True(calls <= 5)
		is.Equal(feed.RenewalRetryDelay(100, interval), interval)
	}
	is.New(t).Equal(feed.RenewalRetryDelay(1, time.Minute), 400*time.Millisecond)
}
