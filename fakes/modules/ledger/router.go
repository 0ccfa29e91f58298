package ledger

import (
	"net/http"

	"verbenaroad.example/fakes/modules/serve"
)

// Mount adds GET /ledger to mux, which returns the runs as JSON.
func (l *Ledger) Mount(mux *http.ServeMux) {
	mux.HandleFunc("GET /ledger", l.getRuns)
}

func (l *Ledger) getRuns(w http.ResponseWriter, _ *http.Request) {
	serve.WriteJSON(w, l.FindRuns())
}
