package config

import (
	"maps"
	"slices"
)

// Loaded is a configuration together with its decoded chunks, so that the next configuration can
// reuse the unchanged ones. It is immutable.
type Loaded struct {
	Version  Version
	Manifest Manifest
	Snapshot *Snapshot
	// decoded holds the decoded chunk of each hash in the manifest. Snapshots point into the chunks.
	decoded map[Hash]*Set
}

// Missing returns the hashes in a manifest whose chunks l does not hold. l may be nil.
func (l *Loaded) Missing(m Manifest) []Hash {
	var missing []Hash
	for _, hash := range m.Hashes() {
		if l == nil || l.decoded[hash] == nil {
			missing = append(missing, hash)
		}
	}
	return missing
}

// Load builds a configuration from a manifest. It takes each chunk from old if old holds it, and
// otherwise from fetched, after checking it against its hash. old may be nil.
func Load(old *Loaded, version Version, m Manifest, fetched []Chunk) (*Loaded, error) {
	next := &Loaded{Version: version, Manifest: m, decoded: map[Hash]*Set{}}
	encoded := make(map[Hash][]byte, len(fetched))
	for _, c := range fetched {
		encoded[c.Hash] = c.Data
	}
	for _, hash := range m.Hashes() {
		documents, err := decodeChunk(old, hash, encoded)
		if err != nil {
			return nil, err
		}
		next.decoded[hash] = documents
	}
	if old == nil {
		next.Snapshot = NewSnapshot(version.Revision, next.join())
		return next, nil
	}
	next.Snapshot = next.deriveSnapshot(old)
	return next, nil
}

// LoadSet builds a configuration from documents.
func LoadSet(version Version, set Set) (*Loaded, error) {
	m, chunks := EncodeSet(set)
	return Load(nil, version, m, chunks)
}

// decodeChunk returns the documents of a chunk. It takes them from old if old holds the chunk, and
// otherwise decodes them.
func decodeChunk(old *Loaded, hash Hash, encoded map[Hash][]byte) (*Set, error) {
	if old != nil && old.decoded[hash] != nil {
		return old.decoded[hash], nil
	}
	data, found := encoded[hash]
	if !found {
		return nil, ErrConfig.New("chunk %s is missing", hash)
	}
	err := hash.Check(data)
	if err != nil {
		return nil, err
	}
	var documents Set
	err = decode(data, &documents)
	return &documents, err
}

// join returns the documents of all chunks, sorted.
func (l *Loaded) join() Set {
	var set Set
	for _, hash := range l.Manifest.Hashes() {
		set.append(l.decoded[hash])
	}
	set.Sort()
	return set
}

// append appends the documents of other, without sorting them.
func (s *Set) append(other *Set) {
	s.Teams = append(s.Teams, other.Teams...)
	s.Pipelines = append(s.Pipelines, other.Pipelines...)
	s.Services = append(s.Services, other.Services...)
	s.Rules = append(s.Rules, other.Rules...)
	s.Pools = append(s.Pools, other.Pools...)
	s.Operators = append(s.Operators, other.Operators...)
	s.Limits = append(s.Limits, other.Limits...)
}

// deriveSnapshot builds the snapshot of l from that of old. Only the teams are numerous, so only
// their list and indexes are copied from old and updated; those of all other kinds are built again.
func (l *Loaded) deriveSnapshot(old *Loaded) *Snapshot {
	var removed, added Set
	for _, hash := range old.Manifest.Hashes() {
		if l.decoded[hash] == nil {
			removed.append(old.decoded[hash])
		}
	}
	for _, hash := range l.Manifest.Hashes() {
		if old.decoded[hash] == nil {
			added.append(l.decoded[hash])
		}
	}
	added.Sort()
	var withoutTeams Set
	for _, kind := range Kinds()[1:] {
		for _, hash := range l.Manifest.Buckets[kind] {
			withoutTeams.append(l.decoded[hash])
		}
	}
	withoutTeams.Sort()
	s := NewSnapshot(l.Version.Revision, withoutTeams)
	s.Set.Teams = replaceTeams(old.Snapshot.Set.Teams, removed.Teams, added.Teams)
	s.teams = maps.Clone(old.Snapshot.teams)
	s.tokens = maps.Clone(old.Snapshot.tokens)
	s.unindexTeams(removed.Teams)
	s.indexTeams(added.Teams)
	return s
}

// replaceTeams returns the sorted list old without the teams named in removed, merged with the
// sorted list added. All teams of a replaced chunk are in removed; those that remain are in added
// again.
func replaceTeams(old, removed, added []Team) []Team {
	isRemoved := make(map[string]bool, len(removed))
	for i := range removed {
		isRemoved[removed[i].Name] = true
	}
	merged := make([]Team, 0, len(old)-len(removed)+len(added))
	next := 0
	for i := range old {
		if isRemoved[old[i].Name] {
			continue
		}
		for next < len(added) && added[next].Name < old[i].Name {
			merged = append(merged, added[next])
			next++
		}
		merged = append(merged, old[i])
	}
	return slices.Concat(merged, added[next:])
}

// GetChunk returns the manifest or the chunk of l that has the given hash. It encodes the documents
// again, which costs less than keeping the encoded bytes: about 5 MB with 19,000 teams.
func (l *Loaded) GetChunk(hash Hash) (chunk Chunk, found bool) {
	if hash == l.Version.ManifestHash {
		return Chunk{Hash: hash, Data: l.Manifest.Encode()}, true
	}
	documents := l.decoded[hash]
	if documents == nil {
		return Chunk{}, false
	}
	return Chunk{Hash: hash, Data: encode(documents)}, true
}
