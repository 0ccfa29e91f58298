package config

import (
	"maps"
	"slices"
)

// Loaded is a configuration with its decoded chunks, kept so that the next
// one can be built from what is the same; it never changes.
type Loaded struct {
	Place    Place
	Manifest Manifest
	Snapshot *Snapshot
	// parts holds the decoded chunk of each hash in the manifest; snapshots point into them.
	parts map[Hash]*Set
}

// Missing returns the hashes of a manifest that l does not hold; l may be nil.
func (l *Loaded) Missing(m Manifest) []Hash {
	var missing []Hash
	for _, hash := range m.Hashes() {
		if l == nil || l.parts[hash] == nil {
			missing = append(missing, hash)
		}
	}
	return missing
}

// Load builds a configuration from a manifest, the chunks of old, which may
// be nil, and fetched ones; each fetched chunk is checked by its hash.
func Load(old *Loaded, place Place, m Manifest, fetched []Chunk) (*Loaded, error) {
	next := &Loaded{Place: place, Manifest: m, parts: map[Hash]*Set{}}
	got := make(map[Hash][]byte, len(fetched))
	for _, c := range fetched {
		got[c.Hash] = c.Data
	}
	for _, hash := range m.Hashes() {
		part, err := loadPart(old, hash, got)
		if err != nil {
			return nil, err
		}
		next.parts[hash] = part
	}
	if old == nil {
		next.Snapshot = NewSnapshot(place.Revision, next.join())
		return next, nil
	}
	next.Snapshot = next.derive(old)
	return next, nil
}

// LoadSet builds a configuration from documents, as a writer holds them.
func LoadSet(place Place, set Set) (*Loaded, error) {
	m, chunks := EncodeSet(set)
	return Load(nil, place, m, chunks)
}

func loadPart(old *Loaded, hash Hash, got map[Hash][]byte) (*Set, error) {
	if old != nil && old.parts[hash] != nil {
		return old.parts[hash], nil
	}
	data, found := got[hash]
	if !found {
		return nil, ErrConfig.New("chunk %s is missing", hash)
	}
	err := hash.Check(data)
	if err != nil {
		return nil, err
	}
	var part Set
	err = decode(data, &part)
	return &part, err
}

// join gathers the documents of all parts, sorted.
func (l *Loaded) join() Set {
	var set Set
	for _, hash := range l.Manifest.Hashes() {
		set.append(l.parts[hash])
	}
	set.Sort()
	return set
}

func (s *Set) append(part *Set) {
	s.Teams = append(s.Teams, part.Teams...)
	s.Pipelines = append(s.Pipelines, part.Pipelines...)
	s.Services = append(s.Services, part.Services...)
	s.Rules = append(s.Rules, part.Rules...)
	s.Pools = append(s.Pools, part.Pools...)
	s.Operators = append(s.Operators, part.Operators...)
	s.Limits = append(s.Limits, part.Limits...)
}

// derive builds the snapshot from the one before. Teams are the only kind
// that is large, so only their list and maps are carried over; all others are built anew.
func (l *Loaded) derive(old *Loaded) *Snapshot {
	var gone, come Set
	for _, hash := range old.Manifest.Hashes() {
		if l.parts[hash] == nil {
			gone.append(old.parts[hash])
		}
	}
	for _, hash := range l.Manifest.Hashes() {
		if old.parts[hash] == nil {
			come.append(l.parts[hash])
		}
	}
	come.Sort()
	var few Set
	for _, kind := range Kinds()[1:] {
		for _, hash := range l.Manifest.Buckets[kind] {
			few.append(l.parts[hash])
		}
	}
	few.Sort()
	s := NewSnapshot(l.Place.Revision, few)
	s.Set.Teams = replaceTeams(old.Snapshot.Set.Teams, gone.Teams, come.Teams)
	s.teams = maps.Clone(old.Snapshot.teams)
	s.tokens = maps.Clone(old.Snapshot.tokens)
	s.dropTeams(gone.Teams)
	s.indexTeams(come.Teams)
	return s
}

// replaceTeams merges two sorted lists and leaves out the teams that are gone.
func replaceTeams(old, gone, come []Team) []Team {
	left := make(map[string]bool, len(gone))
	for i := range gone {
		left[gone[i].Name] = true
	}
	merged := make([]Team, 0, len(old)-len(gone)+len(come))
	next := 0
	for i := range old {
		if left[old[i].Name] {
			continue
		}
		for next < len(come) && come[next].Name < old[i].Name {
			merged = append(merged, come[next])
			next++
		}
		merged = append(merged, old[i])
	}
	return slices.Concat(merged, come[next:])
}

// GetChunk returns the manifest or the chunk of l that has the hash, for a
// peer that misses it. The bytes are made anew from the documents, which
// costs less than to keep them: at 19,000 teams they are some 5 MB.
func (l *Loaded) GetChunk(hash Hash) (chunk Chunk, found bool) {
	if hash == l.Place.Manifest {
		return Chunk{Hash: hash, Data: l.Manifest.Encode()}, true
	}
	part := l.parts[hash]
	if part == nil {
		return Chunk{}, false
	}
	return Chunk{Hash: hash, Data: encode(part)}, true
}
