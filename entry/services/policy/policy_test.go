package policy_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"verbenaroad.example/entry/services/policy"
	"verbenaroad.example/share/decide/admit"
	"verbenaroad.example/share/modules/codes"
)

const key = "answer/generate"

func start() time.Time { return time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC) }

func TestDecideAdmission(t *testing.T) {
	late := admit.Request{
		Team:      "kranj",
		Remaining: 100 * time.Millisecond,
		Stages:    []admit.Stage{{Key: key, Wait: time.Second, EstimatedTime: time.Second}},
	}
	t.Run("by deadline", func(t *testing.T) {
		is := is.New(t)
		decision := policy.NewPolicy(policy.AdmissionDeadline).DecideAdmission(start(), late)
		is.True(decision.Refusal != nil)
		is.Equal(decision.Refusal.Code, codes.DeadlineUnmeetable)
	})
	t.Run("off", func(t *testing.T) {
		is := is.New(t)
		decision := policy.NewPolicy(policy.AdmissionOff).DecideAdmission(start(), late)
		is.Equal(decision.Refusal, nil)
		is.Equal(len(decision.Shares), 1)
	})
}
