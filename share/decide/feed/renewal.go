package feed

import "time"

const (
	// renewalsPerSecond is how many lease renewals all ingresses of a deployment make together, unless
	// their leases are too short for that.
	renewalsPerSecond = 20
	// minRenewalInterval is the shortest time between two renewals of an ingress that does not read the
	// store. In a small deployment a renewal is also how such an ingress notices early that the store
	// does not answer it.
	minRenewalInterval = 2 * time.Second
	// renewalsPerLease is how many renewals are due within the TTL of a lease. Two of them may fail
	// before the lease ends.
	renewalsPerLease = 3
)

// firstRetryDelay is the delay after a first failed renewal.
const firstRetryDelay = 400 * time.Millisecond

// RenewalRetryDelay returns the delay after a failed renewal, for the given number of failures in a row,
// the last one included, of an ingress whose renewals are due at the given interval. Without backoff the
// ingresses that a store turns away would ask it more often than all others together.
func RenewalRetryDelay(failures int, interval time.Duration) time.Duration {
	const maxDoublings = 10
	return min(firstRetryDelay<<min(max(failures-1, 0), maxDoublings), interval)
}

// RenewalInterval returns the time between two lease renewals of an ingress that does not read the
// store, in a deployment with the given number of ingresses. The interval grows with them, so that the
// store's load does not, until it reaches its longest, a third of the lease. That others do not learn of a crash from the lease is no loss: each of them
// notices it by its own session, or when it opens one.
func RenewalInterval(ingresses int, ttl time.Duration) time.Duration {
	interval := time.Duration(ingresses) * time.Second / renewalsPerSecond
	return min(max(interval, minRenewalInterval), ttl/renewalsPerLease)
}
