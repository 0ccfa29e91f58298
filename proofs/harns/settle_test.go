package harns_test

import (
	"time"
)

// settle repeats an order, as a patient caller would, until it has the answer
// or is told that the outcome stays unknown. Each answer on the way is checked
// against the ledger where it says "not run" of a key that nobody else uses.
func (d *deployment) settle(entry int, key string) reply {
	d.t.Helper()
	limit := time.Now().Add(patience)
	for {
		r := d.send(entry, order(key))
		if r.ok() || r.failure.Name == "outcome-unknown" && r.retryAfter == "" {
			return r
		}
		if time.Now().After(limit) {
			d.t.Fatalf("order %s does not settle: %s", key, r)
		}
		time.Sleep(5 * checkEvery)
	}
}

// waitRuns waits until the key was started that often.
func (d *deployment) waitRuns(key string, count int) {
	d.t.Helper()
	waitFor(d.t, "runs of "+key, func() bool { return d.countRuns(key) >= count })
}

// restartAgent starts a backend server's agent anew and puts its address on the list.
func (d *deployment) restartAgent(name string) {
	d.t.Helper()
	b := d.backendOf(name)
	d.agents[name].kill()
	d.startAgent(b)
	d.register(b, false)
	a := d.agents[name]
	a.waitFor(func() bool { return a.isReady() && a.figures().Verbena.Sessions >= len(d.entries) }, "sessions after the restart")
}
