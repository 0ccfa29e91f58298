package admin

import (
	"context"

	"verbenaroad.example/entry/services/change"
	"verbenaroad.example/entry/services/explan"
	"verbenaroad.example/share/decide/head"
	"verbenaroad.example/share/modules/codes"
	"verbenaroad.example/share/services/admapi"
)

// stub replaces the services that are nil in the options and refuses all requests.
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

func newNotOfferedError() error {
	return codes.NewResult(codes.NotFound, "this instance does not offer that")
}

// GetStatus returns a "not found" error.
func (stub) GetStatus(context.Context) (admapi.Status, error) {
	return admapi.Status{}, newNotOfferedError()
}

// SetDrain returns the verdict "unavailable".
func (stub) SetDrain(context.Context, change.Author, string, admapi.DrainChange) head.Answer {
	return head.Answer{Verdict: head.VerdictUnavailable, Detail: "this instance does not offer that"}
}

// Explain returns a "not found" error.
func (stub) Explain(context.Context, explan.Query) (admapi.Explanation, error) {
	return admapi.Explanation{}, newNotOfferedError()
}

// GetClaimByKey returns a "not found" error.
func (stub) GetClaimByKey(context.Context, string, string) (admapi.Claim, error) {
	return admapi.Claim{}, newNotOfferedError()
}

// ResolveClaim returns a "not found" error.
func (stub) ResolveClaim(context.Context, string, string, string, admapi.ClaimResolution) (admapi.Claim, error) {
	return admapi.Claim{}, newNotOfferedError()
}
