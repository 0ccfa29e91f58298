package ledger_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"verbenaroad.example/ingress/services/ledger"
	"verbenaroad.example/ingress/services/state"
	"verbenaroad.example/share/decide/budget"
	"verbenaroad.example/share/models/site"
)

const service = "orders"

// newView returns a view with n ingresses.
func newView(n int) *state.View { return &state.View{Ingresses: make([]site.Ingress, n)} }

// take returns how many retries a ledger grants now.
func take(l *ledger.Ledger) int {
	taken := 0
	for l.TakeRetry(service).Granted {
		taken++
	}
	return taken
}

// Guards against an ingress that is denied the retries of its first minutes although no earlier run of it can
// have spent any, and against one that spends its part again after each start.
func TestSlackAfterAStart(t *testing.T) {
	is := is.New(t)
	settings := budget.Settings{Ratio: 0.2, Slack: 60, Window: time.Minute}
	started := ledger.NewLedger(settings)
	started.SetView(newView(3))
	is.Equal(take(started), 0)
	first := ledger.NewLedger(settings)
	first.SetView(newView(3))
	is.Equal(take(first), 0)
	first.MarkFirstRun()
	is.Equal(take(first), 14) // 0.7 of 60/3
	is.Equal(take(first), 0)
}
