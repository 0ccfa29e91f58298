package roster

import (
	"compress/gzip"
	"encoding/json"
	"net/http"
	"strings"

	"verbenaroad.example/fakes/modules/serve"
)

// writeCompressed answers as Consul does: compressed for callers that take it,
// which makes a long list some ten times shorter.
func writeCompressed(w http.ResponseWriter, r *http.Request, value any) {
	if !strings.Contains(r.Header.Get("Accept-Encoding"), "gzip") {
		serve.WriteJSON(w, value)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Encoding", "gzip")
	zipped := gzip.NewWriter(w)
	defer func() { _ = zipped.Close() }()
	_ = json.NewEncoder(zipped).Encode(value)
}
