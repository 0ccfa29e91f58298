package admin

import (
	"context"

	"verbenaroad.example/entry/services/change"
	"verbenaroad.example/entry/services/explan"
	"verbenaroad.example/share/decide/head"
	"verbenaroad.example/share/modules/codes"
	"verbenaroad.example/share/services/admapi"
)

// stub stands in for a part that a program doesn't offer.
type stub struct{}

func (o *Options) fillStubs() {
	if o.Statuses == nil {
		o.Statuses = stub{}
	}
	if o.Drains == nil {
		o.Drains = stub{}
	}
	if o.Explanations == nil {
		o.Explanations = stub{}
	}
	if o.Claims == nil {
		o.Claims = stub{}
	}
}

func newErrNotOffered() error {
	return codes.NewResult(codes.NotFound, "this instance does not offer that")
}

// GetStatus answers not found.
func (stub) GetStatus(context.Context) (admapi.Status, error) {
	return admapi.Status{}, newErrNotOffered()
}

// SetDrain refuses.
func (stub) SetDrain(context.Context, change.Author, string, admapi.DrainChange) head.Answer {
	return head.Answer{Verdict: head.VerdictUnavailable, Detail: "this instance does not offer that"}
}

// Explain answers not found.
func (stub) Explain(context.Context, explan.Query) (admapi.Explanation, error) {
	return admapi.Explanation{}, newErrNotOffered()
}

// GetClaimByKey answers not found.
func (stub) GetClaimByKey(context.Context, string, string) (admapi.Claim, error) {
	return admapi.Claim{}, newErrNotOffered()
}

// ResolveClaim answers not found.
func (stub) ResolveClaim(context.Context, string, string, string, admapi.ClaimResolution) (admapi.Claim, error) {
	return admapi.Claim{}, newErrNotOffered()
}
