package policy_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"verbenaroad.example/entry/services/policy"
	"verbenaroad.example/share/decide/admit"
	"verbenaroad.example/share/decide/retry"
	"verbenaroad.example/share/modules/codes"
)

const key = "answer/generate"

func start() time.Time { return time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC) }

func TestDecideAdmission(t *testing.T) {
	late := admit.Request{
		Team:      "kranj",
		Remaining: 100 * time.Millisecond,
		Stages:    []admit.Stage{{Key: key, Wait: time.Second, Guess: time.Second}},
	}
	t.Run("by deadline", func(t *testing.T) {
		is := is.New(t)
		decision := policy.NewPolicy(policy.Options{Admission: policy.AdmissionDeadline, GiveUp: true}).DecideAdmission(start(), late)
		is.True(decision.Refused != nil)
		is.Equal(decision.Refused.Code, codes.DeadlineUnmeetable)
	})
	t.Run("off", func(t *testing.T) {
		is := is.New(t)
		decision := policy.NewPolicy(policy.Options{Admission: policy.AdmissionOff}).DecideAdmission(start(), late)
		is.Equal(decision.Refused, nil)
		is.Equal(len(decision.Shares), 1)
	})
}

func TestGetPatience(t *testing.T) {
	is := is.New(t)
	p := policy.NewPolicy(policy.Options{Admission: policy.AdmissionDeadline, GiveUp: true})
	is.Equal(p.GetPatience(start(), key), time.Duration(0)) // nothing is known yet
	for range 20 {
		p.AddFirstPiece(start(), key, time.Second)
	}
	patience := p.GetPatience(start().Add(time.Second), key)
	is.True(patience > time.Second)
	is.True(patience < 3*time.Second)
}

// Callers see every answer late once a stage has slowed: each waiting attempt
// is given up on for another one, which doubles the load on the slow stage.
// The service's retry budget bounds what is given up on.
func TestAllowGiveUpIsBounded(t *testing.T) {
	is := is.New(t)
	p := policy.NewPolicy(policy.Options{Admission: policy.AdmissionDeadline, GiveUp: true})
	const first, asked = 100, 100
	is.Equal(p.AllowGiveUp("llm", retry.Open{}), false) // no attempt went there yet
	for range first {
		p.DepositFirst(nil)
	}
	allowed := 0
	for range asked {
		if p.AllowGiveUp("", retry.Open{Idempotent: true, Elapsed: time.Second, Remaining: time.Second, Need: time.Second}) {
			allowed++
		}
	}
	is.True(allowed > 0)
	is.True(allowed <= first/5)
}
