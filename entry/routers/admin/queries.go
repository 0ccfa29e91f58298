package admin

import (
	"net/http"
	"slices"

	"verbenaroad.example/entry/services/explan"
	"verbenaroad.example/share/models/config"
	"verbenaroad.example/share/modules/codes"
	"verbenaroad.example/share/services/admapi"
)

func (r *Router) getChange(w http.ResponseWriter, c *call) {
	accepted, err := r.options.Lookups.GetAcceptedChange(c.request.Context(), c.request.PathValue("id"))
	c.write(w, accepted, err)
}

func (r *Router) getConfig(w http.ResponseWriter, c *call) {
	kind := config.Kind(c.request.PathValue("kind"))
	if kind != "" && !slices.Contains(config.Kinds(), kind) {
		c.writeError(w, codes.NewResult(codes.NotFound, "there is no such kind of document"))
		return
	}
	documents, err := r.options.Lookups.FindDocuments(kind, c.request.PathValue("name"))
	c.write(w, documents, err)
}

func (r *Router) getHistory(w http.ResponseWriter, c *call) {
	changes, err := r.options.Lookups.FindAcceptedChanges(c.request.Context())
	c.write(w, admapi.History{Changes: changes}, err)
}

func (r *Router) getStatus(w http.ResponseWriter, c *call) {
	status, err := r.options.Statuses.GetStatus(c.request.Context())
	c.write(w, status, err)
}

func (r *Router) getExplanation(w http.ResponseWriter, c *call) {
	query := c.request.URL.Query()
	work := explan.Query{
		Team:     query.Get("team"),
		Pipeline: query.Get("pipeline"),
		Service:  query.Get("service"),
		Stage:    query.Get("stage"),
	}
	exactlyOne := (work.Pipeline == "") != (work.Service == "")
	if work.Team == "" || !exactlyOne {
		c.writeError(w, codes.NewResult(codes.BadRequest, "want team, and either pipeline or service"))
		return
	}
	explanation, err := r.options.Explanations.Explain(c.request.Context(), work)
	c.write(w, explanation, err)
}

func (r *Router) getClaim(w http.ResponseWriter, c *call) {
	claim, err := r.options.Claims.GetClaimByKey(c.request.Context(), c.request.PathValue("team"), c.request.PathValue("key"))
	c.write(w, claim, err)
}

// refuseUnknownRoute refuses a request whose method or path is not part of the API.
func (r *Router) refuseUnknownRoute(w http.ResponseWriter, c *call) {
	c.writeError(w, codes.NewResult(codes.NotFound, "the admin API has no such method and path"))
}
