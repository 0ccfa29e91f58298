package follow

import (
	"sync"

	"verbenaroad.example/share/models/config"
	"verbenaroad.example/share/modules/wire"
)

// chunksPerFetch is the number of chunks that one request to a peer asks for.
const chunksPerFetch = 16

// chunkCache keeps the chunks of a configuration that is being fetched, so that a fetch that failed is not
// started from the beginning.
type chunkCache struct {
	lock sync.Mutex
	// held is nil before the first fetch and after one that completed. All chunks match their hashes.
	held map[config.Hash]config.Chunk
}

// retain drops all chunks but the given ones, and returns the hashes of those that are not held.
func (c *chunkCache) retain(hashes []config.Hash) (rest []config.Hash) {
	c.lock.Lock()
	defer c.lock.Unlock()
	kept := make(map[config.Hash]config.Chunk, len(hashes))
	for _, hash := range hashes {
		chunk, found := c.held[hash]
		if !found {
			rest = append(rest, hash)
			continue
		}
		kept[hash] = chunk
	}
	c.held = kept
	return rest
}

// add keeps the chunks of an answer. It returns an error if one of the requested chunks is not among them,
// or does not match its hash.
func (c *chunkCache) add(requested []config.Hash, answer *wire.Chunks) error {
	c.lock.Lock()
	defer c.lock.Unlock()
	if c.held == nil {
		c.held = map[config.Hash]config.Chunk{} // another fetch has completed meanwhile
	}
	for _, received := range answer.GetChunks() {
		chunk := config.Chunk{Hash: config.Hash(received.GetHash()), Data: received.GetData()}
		if err := chunk.Hash.Check(chunk.Data); err != nil {
			return err
		}
		c.held[chunk.Hash] = chunk
	}
	for _, hash := range requested {
		if _, found := c.held[hash]; !found {
			return ErrFollow.New("the peer has no chunk %s", hash)
		}
	}
	return nil
}

// list returns the chunks that are held.
func (c *chunkCache) list() []config.Chunk {
	c.lock.Lock()
	defer c.lock.Unlock()
	chunks := make([]config.Chunk, 0, len(c.held))
	for _, chunk := range c.held {
		chunks = append(chunks, chunk)
	}
	return chunks
}

// clear drops all chunks.
func (c *chunkCache) clear() {
	c.lock.Lock()
	defer c.lock.Unlock()
	c.held = nil
}
