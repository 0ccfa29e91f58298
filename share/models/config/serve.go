package config

// FindChunks returns the chunks that l holds of the given hashes, to be sent
// to a peer. Encoding is deterministic, so the bytes are those of the hash.
func (l *Loaded) FindChunks(hashes []Hash) []Chunk {
	chunks := make([]Chunk, 0, len(hashes))
	for _, hash := range hashes {
		part := l.parts[hash]
		if part == nil {
			continue
		}
		chunks = append(chunks, Chunk{Hash: hash, Data: encode(part)})
	}
	return chunks
}
