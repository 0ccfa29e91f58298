package config

import "maps"

// Plan is the result of applying a change to a configuration, computed before the change is in
// force.
type Plan struct {
	Manifest     Manifest
	ManifestData []byte
	// Next is the complete configuration after the change. Its version has no revision yet.
	Next *Loaded
	// Chunks are the chunks that the previous configuration does not contain, without the manifest.
	Chunks []Chunk
	// Changes lists the fields that the change alters.
	Changes []FieldChange
}

// ChangedValues returns the manifest and the new chunks. All of them must be stored before the head
// record may be updated.
func (p *Plan) ChangedValues() []Chunk {
	manifest := Chunk{Hash: HashBytes(p.ManifestData), Data: p.ManifestData}
	return append([]Chunk{manifest}, p.Chunks...)
}

// AllValues returns the manifest and all chunks of the configuration after the change. They are
// stored instead of ChangedValues when the key-value service may have lost its data.
func (p *Plan) AllValues() []Chunk {
	hashes := append([]Hash{p.Next.Version.ManifestHash}, p.Manifest.Hashes()...)
	values := make([]Chunk, 0, len(hashes))
	for _, hash := range hashes {
		chunk, found := p.Next.GetChunk(hash)
		if found {
			values = append(values, chunk)
		}
	}
	return values
}

// NewPlan applies a patch to a configuration, which is nil before the first change. Only the
// buckets that contain documents of the patch or its removals are encoded again. The plan is nil if
// the patch cannot be applied, and must not be used if there are problems.
func NewPlan(l *Loaded, patch Patch) (*Plan, []Problem) {
	if l == nil {
		l = &Loaded{Snapshot: NewSnapshot(0, Set{}), decoded: map[Hash]*Set{}}
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
	next, err := Load(l, Version{ManifestHash: HashBytes(p.ManifestData)}, p.Manifest, p.Chunks)
	if err != nil {
		return nil, []Problem{{Detail: err.Error()}}
	}
	p.Next = next
	problems = append(Validate(next.Snapshot.Set), checkSizes(p.ChangedValues())...)
	return p, problems
}

// planKind copies the buckets of a kind from l and encodes again those that the patch changes.
func (p *Plan) planKind(l *Loaded, kind Kind, patch Patch) {
	if old := l.Manifest.Buckets[kind]; len(old) > 0 {
		p.Manifest.Buckets[kind] = maps.Clone(old)
	}
	patchBuckets := map[uint32]*Set{}
	for _, d := range patch.list(kind) {
		addToBucket(patchBuckets, d)
	}
	removals := map[uint32][]Reference{}
	for _, r := range patch.Remove {
		if r.Kind != kind {
			continue
		}
		bucket := bucketOf(kind, r.Name)
		removals[bucket] = append(removals[bucket], r)
		if patchBuckets[bucket] == nil {
			patchBuckets[bucket] = &Set{}
		}
	}
	changedBuckets := map[uint32]*Set{}
	for bucket, documents := range patchBuckets {
		before := Set{}
		if old := l.decoded[l.Manifest.Buckets[kind][bucket]]; old != nil {
			before = *old
		}
		after := Merge(before, *documents, removals[bucket])
		p.Changes = append(p.Changes, Diff(before, after)...)
		if after.Count() == 0 {
			delete(p.Manifest.Buckets[kind], bucket)
			continue
		}
		changedBuckets[bucket] = &after
	}
	sortChanges(p.Changes)
	for _, chunk := range p.Manifest.encodeBuckets(kind, changedBuckets) {
		if l.decoded[chunk.Hash] == nil {
			p.Chunks = append(p.Chunks, chunk)
		}
	}
	if len(p.Manifest.Buckets[kind]) == 0 {
		delete(p.Manifest.Buckets, kind)
	}
}

// checkPatch returns the problems of a patch that can no longer be detected after it is merged:
// duplicate documents and invalid removals.
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
		case !l.hasDocument(r):
			problems = append(problems, Problem{Kind: r.Kind, Name: r.Name, Detail: "cannot be removed: there is none"})
		}
	}
	return problems
}

// hasDocument reports whether l contains a document. It searches only the document's bucket.
func (l *Loaded) hasDocument(ref Reference) bool {
	documents := l.decoded[l.Manifest.Buckets[ref.Kind][bucketOf(ref.Kind, ref.Name)]]
	return documents != nil && documents.GetDocument(ref) != nil
}

func checkSizes(values []Chunk) []Problem {
	for _, c := range values {
		if len(c.Data) > MaxValueBytes {
			return []Problem{{Detail: "a part of the configuration grows over the 1 MB that the key-value service holds"}}
		}
	}
	return nil
}
