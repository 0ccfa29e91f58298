package config

// FindChunks returns those chunks with the given hashes that l holds, so that they can be sent to a
// peer. It encodes their documents again; encoding is deterministic, so the bytes match the hash.
func (l *Loaded) FindChunks(hashes []Hash) []Chunk {
	chunks := make([]Chunk, 0, len(hashes))
	for _, hash := range hashes {
		documents := l.decoded[hash]
		if documents == nil {
			continue
		}
		chunks = append(chunks, Chunk{Hash: hash, Data: encode(documents)})
	}
	return chunks
}
