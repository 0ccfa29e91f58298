package config

import "maps"

// Plan is a change worked out against a configuration, before it is in force.
type Plan struct {
	Manifest     Manifest
	ManifestData []byte
	// Next is the whole configuration after the change; its place has no revision yet.
	Next *Loaded
	// Chunks are those that the configuration before did not have, without the manifest.
	Chunks []Chunk
	// Changes lists what the change alters, field by field.
	Changes []Change
}

// Values returns every value that must be stored before the head may move.
func (p *Plan) Values() []Chunk {
	manifest := Chunk{Hash: HashBytes(p.ManifestData), Data: p.ManifestData}
	return append([]Chunk{manifest}, p.Chunks...)
}

// AllValues returns every value of the configuration after the change, for a
// service that may hold none of them.
func (p *Plan) AllValues() []Chunk {
	hashes := append([]Hash{p.Next.Place.Manifest}, p.Manifest.Hashes()...)
	values := make([]Chunk, 0, len(hashes))
	for _, hash := range hashes {
		chunk, found := p.Next.GetChunk(hash)
		if found {
			values = append(values, chunk)
		}
	}
	return values
}

// NewPlan works out a patch against a configuration, which may be nil for the
// first one. Only the buckets that the patch names are encoded anew.
func NewPlan(l *Loaded, patch Patch) (*Plan, []Problem) {
	if l == nil {
		l = &Loaded{Snapshot: NewSnapshot(0, Set{}), parts: map[Hash]*Set{}}
	}
	problems := checkPatch(l, patch)
	if len(problems) > 0 {
		return nil, problems
	}
	p := &Plan{Manifest: Manifest{Buckets: map[Kind]map[uint32]Hash{}}}
	for _, kind := range Kinds() {
		p.planKind(l, kind, patch)
	}
	p.ManifestData = p.Manifest.Encode()
	next, err := Load(l, Place{Manifest: HashBytes(p.ManifestData)}, p.Manifest, p.Chunks)
	if err != nil {
		return nil, []Problem{{Detail: err.Error()}}
	}
	p.Next = next
	problems = append(Validate(next.Snapshot.Set), checkSizes(p.Values())...)
	return p, problems
}

// planKind carries over the buckets of a kind and encodes those that the patch names.
func (p *Plan) planKind(l *Loaded, kind Kind, patch Patch) {
	if old := l.Manifest.Buckets[kind]; len(old) > 0 {
		p.Manifest.Buckets[kind] = maps.Clone(old)
	}
	patches := map[uint32]*Set{}
	for _, d := range patch.list(kind) {
		addTo(patches, d)
	}
	removals := map[uint32][]Reference{}
	for _, r := range patch.Remove {
		if r.Kind != kind {
			continue
		}
		bucket := bucketOf(kind, r.Name)
		removals[bucket] = append(removals[bucket], r)
		if patches[bucket] == nil {
			patches[bucket] = &Set{}
		}
	}
	touched := map[uint32]*Set{}
	for bucket, part := range patches {
		before := Set{}
		if old := l.parts[l.Manifest.Buckets[kind][bucket]]; old != nil {
			before = *old
		}
		after := Merge(before, *part, removals[bucket])
		p.Changes = append(p.Changes, Diff(before, after)...)
		if after.Count() == 0 {
			delete(p.Manifest.Buckets[kind], bucket)
			continue
		}
		touched[bucket] = &after
	}
	sortChanges(p.Changes)
	for _, chunk := range p.Manifest.put(kind, touched) {
		if l.parts[chunk.Hash] == nil {
			p.Chunks = append(p.Chunks, chunk)
		}
	}
	if len(p.Manifest.Buckets[kind]) == 0 {
		delete(p.Manifest.Buckets, kind)
	}
}

// checkPatch finds faults that are no longer to be seen once the patch is merged.
func checkPatch(l *Loaded, patch Patch) []Problem {
	var problems []Problem
	sent := map[Reference]bool{}
	for _, kind := range Kinds() {
		for _, d := range patch.list(kind) {
			ref := Reference{Kind: kind, Name: d.name}
			if sent[ref] {
				problems = append(problems, Problem{Kind: kind, Name: d.name, Field: "name", Detail: "stands twice"})
			}
			sent[ref] = true
		}
	}
	for _, r := range patch.Remove {
		switch {
		case sent[r]:
			problems = append(problems, Problem{Kind: r.Kind, Name: r.Name, Detail: "is both sent and removed"})
		case !l.has(r):
			problems = append(problems, Problem{Kind: r.Kind, Name: r.Name, Detail: "cannot be removed: there is none"})
		}
	}
	return problems
}

// has looks only into the bucket where the document would stand.
func (l *Loaded) has(ref Reference) bool {
	part := l.parts[l.Manifest.Buckets[ref.Kind][bucketOf(ref.Kind, ref.Name)]]
	return part != nil && part.GetDocument(ref) != nil
}

func checkSizes(values []Chunk) []Problem {
	for _, c := range values {
		if len(c.Data) > MaxValue {
			return []Problem{{Detail: "a part of the configuration grows over the 1 MB that the key-value service holds"}}
		}
	}
	return nil
}
