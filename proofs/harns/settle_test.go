package harns_test

import (
	"time"
)

// retryOrder retries an order until the reply is the answer, or is outcome-unknown without
// Retry-After, which means that the outcome stays unknown. It returns that reply.
func (d *deployment) retryOrder(entry int, key string) reply {
	d.t.Helper()
	deadline := time.Now().Add(waitTimeout)
	for {
		r := d.send(entry, orderRequest(key))
		if r.ok() || r.failure.Name == "outcome-unknown" && r.retryAfter == "" {
			return r
		}
		if time.Now().After(deadline) {
			d.t.Fatalf("order %s still has no final outcome: %s", key, r)
		}
		time.Sleep(5 * pollInterval)
	}
}

// waitRuns waits until the backend servers have started the key at least count times.
func (d *deployment) waitRuns(key string, count int) {
	d.t.Helper()
	waitFor(d.t, "runs of key "+key, func() bool { return d.countRuns(key) >= count })
}

// restartAgent kills the agent of a backend server, starts a new one, registers its address and
// waits until it is ready and has a session with every entry.
func (d *deployment) restartAgent(name string) {
	d.t.Helper()
	b := d.findBackend(name)
	d.agents[name].kill()
	d.startAgent(b)
	d.register(b, false)
	a := d.agents[name]
	a.waitFor(func() bool { return a.isReady() && a.debugVars().Verbena.Sessions >= len(d.entries) }, "sessions after the restart")
}
