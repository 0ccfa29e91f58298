package admin

import (
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"regexp"
	"strconv"
	"time"

	"verbenaroad.example/entry/services/change"
	"verbenaroad.example/share/decide/head"
	"verbenaroad.example/share/models/config"
	"verbenaroad.example/share/modules/codes"
	"verbenaroad.example/share/services/admapi"
)

const (
	// MaxBodyBytes is the size limit of a request body. A first configuration of 19,000 teams is
	// smaller.
	MaxBodyBytes = 16 << 20
	// maxJSONBytes is the size limit of a JSON body. Configuration changes, which are TOML,
	// may be larger.
	maxJSONBytes = 64 << 10
	// maxProblems limits the number of problems listed in one answer.
	maxProblems = 1000
	// retryAfter is the Retry-After of a change whose verdict is "unavailable" or "unknown".
	retryAfter      = time.Second
	changeIDPattern = `^[A-Za-z0-9][A-Za-z0-9._-]{0,99}$`
)

// putChange applies the documents in the body to the configuration, or checks them in a dry run.
func (r *Router) putChange(w http.ResponseWriter, c *call) {
	options, err := newApplyOptions(c)
	if err != nil {
		c.writeError(w, err)
		return
	}
	options.Text, err = readBody(w, c, MaxBodyBytes)
	if err != nil {
		c.writeError(w, err)
		return
	}
	c.writeAnswer(w, options.ChangeID, r.options.Changes.Apply(c.request.Context(), options))
}

func newApplyOptions(c *call) (change.ApplyOptions, error) {
	options := change.ApplyOptions{
		ChangeID: c.request.PathValue("id"),
		Author:   c.author(),
	}
	err := checkChangeID(options.ChangeID)
	if err != nil {
		return options, err
	}
	query := c.request.URL.Query()
	if query.Has("dry-run") {
		value := query.Get("dry-run")
		options.DryRun, err = strconv.ParseBool(value)
		if value != "" && err != nil {
			return options, codes.NewResult(codes.BadRequest, "dry-run: want true or false")
		}
		options.DryRun = options.DryRun || value == ""
	}
	if base := query.Get("base"); base != "" {
		options.Base, err = strconv.ParseUint(base, 10, 64)
		if err != nil {
			return options, codes.NewResult(codes.BadRequest, "base: want a revision")
		}
	}
	return options, nil
}

func checkChangeID(id string) error {
	matches, err := regexp.MatchString(changeIDPattern, id)
	if err != nil || !matches {
		return codes.NewResult(codes.BadRequest, "change-id: want 1 to 100 letters, digits, dots, hyphens or underscores")
	}
	return nil
}

func readBody(w http.ResponseWriter, c *call, limit int64) ([]byte, error) {
	text, err := io.ReadAll(http.MaxBytesReader(w, c.request.Body, limit))
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return nil, codes.NewResult(codes.BodyTooLarge, "the body is over "+strconv.FormatInt(limit, 10)+" bytes")
	}
	if err != nil {
		return nil, codes.NewResult(codes.BadRequest, "the body could not be read")
	}
	return text, nil
}

// readJSON decodes the body. It refuses bodies with unknown fields.
func readJSON(w http.ResponseWriter, c *call, into any) error {
	decoder := json.NewDecoder(http.MaxBytesReader(w, c.request.Body, maxJSONBytes))
	decoder.DisallowUnknownFields()
	err := decoder.Decode(into)
	if err != nil {
		return codes.NewResult(codes.BadRequest, "body: "+err.Error())
	}
	return nil
}

// writeAnswer writes the answer to a submitted change.
func (c *call) writeAnswer(w http.ResponseWriter, changeID string, a head.Answer) {
	changes, omitted := admapi.TruncateChanges(a.Changes)
	body := admapi.Error{
		ChangeID:       changeID,
		Revision:       a.Revision,
		Changes:        changes,
		ChangesOmitted: omitted,
		Problems:       a.Problems[:min(len(a.Problems), maxProblems)],
		Detail:         a.Detail,
	}
	switch a.Verdict {
	case head.VerdictAccepted, head.VerdictChecked:
		c.writeJSON(w, http.StatusOK, admapi.ChangeResult{
			Verdict:        string(a.Verdict),
			ChangeID:       changeID,
			Revision:       a.Revision,
			Changes:        changes,
			ChangesOmitted: omitted,
		})
		return
	case head.VerdictConflict:
		body.Code = codes.ConfigConflict
	case head.VerdictInvalid:
		body.Code = codes.ConfigInvalid
	case head.VerdictForbidden:
		body.Code = codes.Forbidden
	case head.VerdictUnavailable:
		body.Code = codes.StoreUnavailable
		body.RetryAfter = config.Duration(retryAfter)
	default:
		body.Code = codes.ChangeUnknown
		body.RetryAfter = config.Duration(retryAfter)
	}
	entry := codes.GetEntry(body.Code)
	body.Outcome = entry.Outcome
	if body.Detail == "" {
		body.Detail = entry.Meaning
	}
	c.writeErrorBody(w, body)
}

func (r *Router) postLabels(w http.ResponseWriter, c *call) {
	var labels admapi.LabelChange
	err := readJSON(w, c, &labels)
	if err == nil {
		err = checkChangeID(labels.ChangeID)
	}
	if err == nil {
		err = refuseBootstrap(c)
	}
	if err != nil {
		c.writeError(w, err)
		return
	}
	c.writeAnswer(w, labels.ChangeID, r.options.Changes.SetLabels(c.request.Context(), c.author(), labels))
}

// refuseBootstrap refuses a request that was authorized by the bootstrap token.
func refuseBootstrap(c *call) error {
	if c.bootstrap {
		return codes.NewResult(codes.Forbidden, "the bootstrap token allows the first change only")
	}
	return nil
}

// postDrain drains an instance or undoes its drain.
func (r *Router) postDrain(w http.ResponseWriter, c *call) {
	var drain admapi.DrainChange
	err := readJSON(w, c, &drain)
	if err == nil {
		err = checkChangeID(drain.ChangeID)
	}
	if err == nil {
		err = refuseBootstrap(c)
	}
	if err != nil {
		c.writeError(w, err)
		return
	}
	answer := r.options.Drains.SetDrain(c.request.Context(), c.author(), c.request.PathValue("instance"), drain)
	c.writeAnswer(w, drain.ChangeID, answer)
}

// postClaim sets the outcome of a claim whose outcome is unknown.
func (r *Router) postClaim(w http.ResponseWriter, c *call) {
	var resolution admapi.ClaimResolution
	err := readJSON(w, c, &resolution)
	if err == nil && resolution.Outcome != codes.OutcomeRan && resolution.Outcome != codes.OutcomeNotRun {
		err = codes.NewResult(codes.BadRequest, "outcome: want ran or not-run")
	}
	if err != nil {
		c.writeError(w, err)
		return
	}
	team, key := c.request.PathValue("team"), c.request.PathValue("key")
	claim, err := r.options.Claims.ResolveClaim(c.request.Context(), c.operator.Name, team, key, resolution)
	c.write(w, claim, err)
}

// write writes the error if there is one, else the body.
func (c *call) write(w http.ResponseWriter, body any, err error) {
	if err != nil {
		c.writeError(w, err)
		return
	}
	c.writeJSON(w, http.StatusOK, body)
}
