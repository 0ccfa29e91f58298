package site

// Rank orders requests that compete for the same capacity; the lowest rank is served first.
// Ranks compare by the team's priority, then by the route's.
type Rank int

// routePriorities is the number of route priorities distinguished within one team priority.
// The platform's priorities range from 0 to 9.
const routePriorities = 16

// NewRank returns the rank of a request from the priorities of its team and its route. A team
// without a priority takes that of the route.
func NewRank(team *int, route int) Rank {
	major := route
	if team != nil {
		major = *team
	}
	return Rank(max(major, 0)*routePriorities + min(max(route, 0), routePriorities-1))
}
