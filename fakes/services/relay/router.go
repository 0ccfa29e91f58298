package relay

import (
	"encoding/json"
	"net/http"

	"verbenaroad.example/fakes/modules/serve"
)

// Cut is the body of PUT /cut: the regions that are cut off.
type Cut struct {
	Regions []string `json:"regions"`
}

// Stats is the answer of GET /stats.
type Stats struct {
	Bytes uint64 `json:"bytes"`
}

// NewRouter returns the HTTP handler of the relay's control address.
func (r *Relay) NewRouter() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("PUT /cut", r.putCut)
	mux.HandleFunc("GET /stats", r.getStats)
	return mux
}

// KindOf returns the kind under which a call is counted: its path.
func KindOf(r *http.Request) string {
	return r.URL.Path
}

func (r *Relay) putCut(w http.ResponseWriter, q *http.Request) {
	var cut Cut
	if err := json.NewDecoder(q.Body).Decode(&cut); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	r.SetCut(cut.Regions)
	serve.WriteJSON(w, cut)
}

func (r *Relay) getStats(w http.ResponseWriter, _ *http.Request) {
	serve.WriteJSON(w, Stats{Bytes: r.Bytes()})
}
