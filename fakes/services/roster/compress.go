package roster

import (
	"compress/gzip"
	"encoding/json"
	"net/http"
	"strings"

	"verbenaroad.example/fakes/modules/serve"
)

// writeCompressed writes value as JSON, compressed if the caller accepts gzip, as Consul does. This
// makes a long list about ten times shorter.
func writeCompressed(w http.ResponseWriter, r *http.Request, value any) {
	if !strings.Contains(r.Header.Get("Accept-Encoding"), "gzip") {
		serve.WriteJSON(w, value)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Encoding", "gzip")
	compressed := gzip.NewWriter(w)
	defer func() { _ = compressed.Close() }()
	_ = json.NewEncoder(compressed).Encode(value)
}
