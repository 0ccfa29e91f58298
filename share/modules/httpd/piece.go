package httpd

import (
	"net/http"
)

// maxPiece keeps a chunk below the 64 KB at which nbhttp sends it by another path.
const maxPiece = 32 << 10

// pieceWriter guards answers without a length against nbhttp 1.6.8: where a chunk of
// 64 KB or more meets a cached buffer, it gives the buffer back to the pool
// and goes on writing into it, so that bytes of one caller's answer show up in
// another's. Chunks that are smaller, written after the cache was flushed,
// never take that path.
type pieceWriter struct {
	http.ResponseWriter
	flusher http.Flusher
}

// newPieceWriter returns the guard, or w where there is nothing to guard.
func newPieceWriter(w http.ResponseWriter) http.ResponseWriter {
	flusher, ok := w.(http.Flusher)
	if !ok {
		return w
	}
	return &pieceWriter{ResponseWriter: w, flusher: flusher}
}

// Write cuts what is sent in chunks into pieces.
func (w *pieceWriter) Write(p []byte) (int, error) {
	if w.Header().Get("Content-Length") != "" { // else nbhttp sends chunks
		return w.ResponseWriter.Write(p)
	}
	written := 0
	for written < len(p) {
		w.flusher.Flush()
		n, err := w.ResponseWriter.Write(p[written:min(len(p), written+maxPiece)])
		written += max(n, 0)
		if err != nil {
			return written, err
		}
	}
	return written, nil
}

// Flush sends what is cached.
func (w *pieceWriter) Flush() {
	w.flusher.Flush()
}
