package httpd

import (
	"net/http"
)

// maxChunk keeps a chunk below the 64 KB from which nbhttp sends it on another code path.
const maxChunk = 32 << 10

// chunkWriter works around a fault of nbhttp 1.6.8 in answers without a Content-Length: when a
// chunk of 64 KB or more is written while a buffer is cached, nbhttp returns the buffer to its pool
// and goes on writing to it, so that bytes of one caller's answer appear in another's. Smaller
// chunks, written after the cache was flushed, never take that path.
type chunkWriter struct {
	http.ResponseWriter
	flusher http.Flusher
}

// newChunkWriter returns a chunkWriter around w, or w itself if it cannot be flushed.
func newChunkWriter(w http.ResponseWriter) http.ResponseWriter {
	flusher, ok := w.(http.Flusher)
	if !ok {
		return w
	}
	return &chunkWriter{ResponseWriter: w, flusher: flusher}
}

// Write sends p in chunks of at most maxChunk bytes, or unchanged if the answer has a
// Content-Length.
func (w *chunkWriter) Write(p []byte) (int, error) {
	if w.Header().Get("Content-Length") != "" { // without it nbhttp uses the chunked encoding
		return w.ResponseWriter.Write(p)
	}
	written := 0
	for written < len(p) {
		w.flusher.Flush()
		n, err := w.ResponseWriter.Write(p[written:min(len(p), written+maxChunk)])
		written += max(n, 0)
		if err != nil {
			return written, err
		}
	}
	return written, nil
}

// Flush sends the bytes that nbhttp has cached.
func (w *chunkWriter) Flush() {
	w.flusher.Flush()
}
