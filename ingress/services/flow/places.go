package flow

import (
	"fmt"
	"slices"
	"strings"

	"verbenaroad.example/share/decide/cold"
	"verbenaroad.example/share/models/site"
)

// residency returns where the request may be served by the newest configuration.
func (x *exchange) residency() site.Residency {
	table := x.server.options.Views.View().Table
	if table == nil {
		return x.Grant.Residency
	}
	return table.FindResidency(x.Grant)
}

// coldLimit divides the bound of a cold server over the ingresses without a word between
// them: as many of them as the bound allows may send it a request a second, by their
// score for it. It returns nil where the service has no bound.
func (x *exchange) coldLimit() func(*site.Server) int {
	table := x.server.options.Views.View().Table
	if table == nil {
		return nil
	}
	service := table.FindService(x.service)
	if service == nil {
		return nil
	}
	limit, bound := x.server.options.Cold.Limit(service.ColdRate)
	if !bound {
		return nil
	}
	peers := x.server.options.Peers
	return func(s *site.Server) int {
		ranked := peers.Rank(coldPrefix + s.ID)
		return cold.Share(slices.Index(ranked, peers.Self()), len(ranked), limit)
	}
}

// coldPrefix has the ingresses that may send to a cold server chosen apart from those
// that place and batch.
const coldPrefix = "cold/"

// describeNoServer says why no server of the service may take the request.
func (x *exchange) describeNoServer() string {
	v := x.server.options.Views.View()
	detail := fmt.Sprintf("no server of %s takes work, of %d that do", x.service, len(v.Servers[x.service]))
	if r := x.residency(); r.Restricted {
		detail += fmt.Sprintf("; allowed regions: %s", strings.Join(r.Regions, ","))
	}
	if len(v.Evacuated) > 0 {
		detail += fmt.Sprintf("; evacuated: %s", strings.Join(v.Evacuated, ","))
	}
	return detail
}
