package flow

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"verbenaroad.example/share/decide/cold"
	"verbenaroad.example/share/models/site"
	"verbenaroad.example/share/modules/codes"
)

// residency returns the regions in which the request may be served under the newest configuration.
func (x *exchange) residency() site.Residency {
	table := x.server.options.Views.View().Table
	if table == nil {
		return x.Decision.Residency
	}
	return table.FindResidency(x.Decision)
}

// constraints returns which servers may receive the request now.
func (x *exchange) constraints() site.Constraints { return x.constrain(x.listVersions()) }

// constrain returns which servers may receive the request now, of those with the given software versions.
func (x *exchange) constrain(versions []string) site.Constraints {
	return site.Constraints{Residency: x.residency(), Software: x.software, Withheld: x.findWithheld(versions).Versions}
}

// isAllowed reports whether a server may receive the request, whatever its load.
func (x *exchange) isAllowed(server *site.Server) bool {
	return x.constrain([]string{server.Version}).Allow(server, x.server.options.Regions[server.Domain])
}

// coldLimit returns this ingress's share of the rate limit of a cold server, as a function of the
// server. The limit is divided among the ingresses without communication. If there are more of them
// than the limit, those with the highest scores for the server may send it one request per second
// each. coldLimit returns nil if the service has no limit.
func (x *exchange) coldLimit() func(*site.Server) int {
	table := x.server.options.Views.View().Table
	if table == nil {
		return nil
	}
	service := table.FindService(x.service)
	if service == nil {
		return nil
	}
	limit, limited := x.server.options.Cold.Limit(service.ColdRate)
	if !limited {
		return nil
	}
	peers := x.server.options.Peers
	return func(s *site.Server) int {
		ranked := peers.Rank(coldRankPrefix + s.ID)
		return cold.Share(slices.Index(ranked, peers.Self()), len(ranked), limit)
	}
}

// listClosed returns the IDs of the servers of the service that take no requests of this ingress: those
// that are paused, and those that leave. The latter are not in the view, but the placer may not know of
// them yet.
func (x *exchange) listClosed() []string {
	return append(x.listLeaving(), x.server.options.Limits.ListPaused(time.Now(), x.service)...)
}

func (x *exchange) listLeaving() []string {
	ids := []string{}
	for _, s := range x.server.options.Views.View().Leaving {
		if s.Service == x.service {
			ids = append(ids, s.ID)
		}
	}
	return ids
}

// coldRankPrefix makes the ranking of the ingresses for a cold server independent of the rankings
// that choose the placer and the batcher of a service.
const coldRankPrefix = "cold/"

// pauseWait returns the time until the first server that may receive the request ends its pause. It
// returns 0 if one of them is not paused.
func (x *exchange) pauseWait() time.Duration {
	first := time.Duration(0)
	now, constraints := time.Now(), x.constraints()
	for _, s := range x.server.options.Views.View().Servers[x.service] {
		if !constraints.Allow(&s, x.server.options.Regions[s.Domain]) {
			continue
		}
		until := x.server.options.Limits.PausedUntil(now, &s)
		if until.IsZero() {
			return 0
		}
		if wait := until.Sub(now); first == 0 || wait < first {
			first = wait
		}
	}
	return first
}

// returnSpread is the share of a wait over which the returns of refused callers are spread, so that a
// server that has just ended its pause, or may just begin streams, does not receive all of them at once.
const returnSpread = 0.25

// spreadReturn returns the Retry-After for callers that are refused until a wait is over.
func spreadReturn(wait time.Duration) time.Duration {
	return wait + time.Duration(returnSpread*rand.Float64()*float64(wait)) //nolint:gosec // a delay, no secret
}

// refuseNoServer returns the result for a request that no server may receive now.
func (x *exchange) refuseNoServer() *codes.Result {
	pause := x.pauseWait()
	withheld := x.findWithheld(x.listVersions())
	switch {
	case x.limitWait > 0:
		return codes.NewResult(codes.Overloaded, x.describeNoServer()).WithRetryAfter(max(x.limitWait, shortRetryAfter))
	case pause > 0:
		return codes.NewResult(codes.Overloaded, x.describeNoServer()).WithRetryAfter(max(spreadReturn(pause), shortRetryAfter))
	case x.sends == 0 && len(withheld.Versions) > 0:
		return codes.NewResult(codes.NoBackend, x.describeNoServer()).WithRetryAfter(max(spreadReturn(withheld.Wait), shortRetryAfter))
	case x.sends > 0:
		return codes.NewResult(codes.Overloaded, "every server that may take it refused").WithRetryAfter(shortRetryAfter)
	default:
		return codes.NewResult(codes.NoBackend, x.describeNoServer()).WithRetryAfter(noServerRetryAfter)
	}
}

// describeNoServer states why no server of the service may receive the request.
func (x *exchange) describeNoServer() string {
	v := x.server.options.Views.View()
	detail := fmt.Sprintf("no server of %s takes work, of %d that do", x.service, len(v.Servers[x.service]))
	if r := x.residency(); r.Restricted {
		detail += fmt.Sprintf("; allowed regions: %s", strings.Join(r.Regions, ","))
	}
	if x.software != nil {
		detail += fmt.Sprintf("; the stream began at version %s of %s", x.software.Version, x.software.Service)
	}
	if withheld := x.findWithheld(x.listVersions()).Versions; len(withheld) > 0 {
		detail += fmt.Sprintf("; no stream begins yet at version %s", joinShown(withheld))
	}
	if len(v.Evacuated) > 0 {
		detail += fmt.Sprintf("; evacuated: %s", strings.Join(v.Evacuated, ","))
	}
	if leaving := x.listLeaving(); len(leaving) > 0 {
		detail += fmt.Sprintf("; %d leave: %s", len(leaving), joinShown(leaving))
	}
	if paused := x.server.options.Limits.ListPaused(time.Now(), x.service); len(paused) > 0 {
		detail += fmt.Sprintf("; %d asked for a pause: %s", len(paused), joinShown(paused))
	}
	if limits := x.listLimits(v.Servers[x.service]); len(limits) > 0 {
		detail += fmt.Sprintf("; %d with a rate limit: %s", len(limits), joinShown(limits))
	}
	return detail
}

// maxShownServers limits how many servers of a kind the reason of a refusal names.
const maxShownServers = 3

// joinShown joins the servers that the reason of a refusal names.
func joinShown(servers []string) string {
	return strings.Join(servers[:min(len(servers), maxShownServers)], ",")
}
