package site

// Rank orders requests that compete for the same places; the lower goes first. It
// compares the priority of the team first, and that of the route among teams alike.
type Rank int

// rankWidth is how many priorities of routes are told apart within one of teams.
// The platform's priorities run from 0 to 9.
const rankWidth = 16

// NewRank returns the rank of a request. Team is the priority of its team; a team
// without one stands where its route does.
func NewRank(team *int, route int) Rank {
	first := route
	if team != nil {
		first = *team
	}
	return Rank(max(first, 0)*rankWidth + min(max(route, 0), rankWidth-1))
}
