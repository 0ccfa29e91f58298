package claim_test

import (
	"bytes"
	"testing"
	"time"

	"github.com/matryer/is"

	"verbenaroad.example/share/decide/claim"
	"verbenaroad.example/share/modules/codes"
)

func start() time.Time { return time.Date(2026, 12, 1, 9, 0, 0, 0, time.UTC) }

func claimed() claim.Record {
	return claim.Record{
		State: claim.StateClaimed, Attempt: "a1", Agent: "orders-1", Incarnation: "i1",
		BodyDigest: "d", ClaimedAt: start(),
	}
}

func TestRecordSurvivesEncoding(t *testing.T) {
	is := is.New(t)
	done, ok := claim.Finish(claimed(), "a1", claim.Answer{Status: 201, Body: []byte("oak")}, start())
	is.True(ok)
	data, err := claim.Encode(done)
	is.NoErr(err)
	is.True(bytes.Contains(data, []byte(`"body-digest":"d"`)))
	back, err := claim.Decode(data)
	is.NoErr(err)
	is.Equal(back, done)
}

func TestDecodeIsStrict(t *testing.T) {
	full := `"attempt":"a","agent":"g","incarnation":"i","body-digest":"d","claimed-at":"2026-12-01T09:00:00Z"`
	for name, text := range map[string]string{
		"unknown field":                  `{"state":"claimed","colour":1,` + full + `}`,
		"unknown state":                  `{"state":"open",` + full + `}`,
		"done, no answer":                `{"state":"done",` + full + `}`,
		"resolved, no operator":          `{"state":"resolved",` + full + `}`,
		"no attempt":                     `{"state":"claimed"}`,
		"data after the record":          `{"state":"claimed",` + full + `} {}`,
		"closing brace after the record": `{"state":"claimed",` + full + `} }`,
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			_, err := claim.Decode([]byte(text))
			is.True(err != nil)
		})
	}
}

func TestKeysOfTwoTeamsNeverCollide(t *testing.T) {
	is := is.New(t)
	is.True(claim.Key("a", "b/c") != claim.Key("a/b", "c"))
}

func TestOpenClaimNeverExpires(t *testing.T) {
	is := is.New(t)
	is.True(!claimed().Expired(start().AddDate(9, 0, 0), time.Hour))
	done, _ := claim.Finish(claimed(), "a1", claim.Answer{}, start())
	is.True(!done.Expired(start().Add(time.Minute), time.Hour))
	is.True(done.Expired(start().Add(time.Hour), time.Hour))
}

func TestLargeAnswerIsKeptWithoutBody(t *testing.T) {
	is := is.New(t)
	a := claim.Answer{Status: 200, Body: make([]byte, claim.MaxAnswerBytes+1)}.WithoutOversizedBody()
	is.Equal(a.Code, codes.AnswerTooLarge)
	is.Equal(len(a.Body), 0)
	data, err := claim.EncodeAnswer(a)
	is.NoErr(err)
	back, err := claim.DecodeAnswer(data)
	is.NoErr(err)
	is.Equal(back, a)
}

// Guards against a request that runs after an operator settled it as not run: its caller got no
// answer, the operator freed the key, and the agent, which was only frozen, runs the attempt on
// waking.
func TestResolveFreesOnlyAttemptsThatCannotStart(t *testing.T) {
	for name, c := range map[string]struct {
		resolution claim.Resolution
		ok         bool
	}{
		"agent restarted":                  {claim.Resolution{Reported: claim.ReportedOtherIncarnation, Outcome: codes.OutcomeNotRun}, true},
		"agent unreachable":                {claim.Resolution{Reported: claim.ReportedUnreachable, Outcome: codes.OutcomeNotRun}, false},
		"agent unreachable, attempt ran":   {claim.Resolution{Reported: claim.ReportedUnreachable, Outcome: codes.OutcomeRan}, true},
		"agent unreachable, instance gone": {claim.Resolution{Reported: claim.ReportedUnreachable, Outcome: codes.OutcomeNotRun, InstanceGone: true}, true},
		"still running":                    {claim.Resolution{Reported: claim.ReportedRunning, Outcome: codes.OutcomeRan}, false},
		"unknown is not a resolution":      {claim.Resolution{Reported: claim.ReportedOtherIncarnation, Outcome: codes.OutcomeUnknown}, false},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			c.resolution.Operator = "ana"
			r, err := claim.Resolve(claimed(), c.resolution, start())
			is.Equal(err == nil, c.ok)
			if c.ok {
				is.Equal(r.ResolvedBy, "ana")
			}
		})
	}
}
