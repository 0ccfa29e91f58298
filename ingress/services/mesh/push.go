package mesh

import (
	"context"
	"net"
	"time"

	"verbenaroad.example/share/decide/mirror"
	"verbenaroad.example/share/modules/logs"
	"verbenaroad.example/share/modules/wire"
)

// ServeFollower sends a follower the records that its copy lacks, at once and after each change,
// until the context ends.
func (f *Feeder) ServeFollower(ctx context.Context, stream net.Conn, copied mirror.Extent) {
	f.addFollower(1)
	defer f.addFollower(-1)
	for first := true; ; first = false {
		changed := f.options.Book.Changed()
		records := f.encodeSince(copied)
		sent := decodeReached(records)
		if first || hasContent(records) || sent.EarlierRevision.IsAfter(copied.EarlierRevision) {
			if err := wire.WriteFrame(stream, &wire.Frame{Body: &wire.Frame_Records{Records: records}}); err != nil {
				f.options.Log.Info("follower-lost", logs.Err(err))
				return
			}
		}
		copied.CompleteRevision = copied.CompleteRevision.Latest(sent.CompleteRevision)
		copied.EarlierRevision = copied.EarlierRevision.Latest(sent.EarlierRevision)
		select {
		case <-changed:
		case <-ctx.Done():
			return
		}
	}
}

// snapshotWait limits how long an ingress that has no records yet lets others wait for them.
const snapshotWait = 400 * time.Millisecond

// awaitSnapshot waits until this ingress has a first snapshot, at most for snapshotWait.
//
// When all ingresses start at once, those that the store refuses ask the few that the settings name. If
// these answered at once that they have nothing, each of the others would open a session again and again,
// which delays the snapshot for all.
func (f *Feeder) awaitSnapshot(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, snapshotWait)
	defer cancel()
	for {
		changed := f.options.Book.Changed()
		if f.options.Book.IsListed() {
			return
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return
		}
	}
}

// hasContent reports whether the message changes the records of its receiver.
func hasContent(records *wire.Records) bool {
	return records.GetWhole() || len(records.GetRecords()) > 0 || len(records.GetHolds()) > 0 || len(records.GetPacked()) > 0
}

// encodedDelta is the encoded delta for a copy with extent from. The records here had reached at least the
// given extent when it was encoded.
type encodedDelta struct {
	from      mirror.Extent
	extent    mirror.Extent
	encodedAt time.Time
	records   *wire.Records
}

// maxEncodedAge is how long an encoded delta is used, since it states the age of the era.
const maxEncodedAge = time.Second

// encodeSince returns the encoded delta for a copy with extent from. Most followers ask from the same extent, so
// the last result is cached and shared by them.
func (f *Feeder) encodeSince(from mirror.Extent) *wire.Records {
	f.encodeLock.Lock()
	defer f.encodeLock.Unlock()
	extent := f.options.Book.Extent()
	c := f.lastEncoded
	if c.records == nil || c.from != from || c.extent != extent || time.Since(c.encodedAt) > maxEncodedAge {
		c = encodedDelta{from: from, extent: extent, encodedAt: time.Now(), records: EncodeDelta(f.options.Book.Since(from))}
		f.lastEncoded = c
	}
	return c.records
}

// CountFollowers returns how many ingresses follow this one.
func (f *Feeder) CountFollowers() int {
	f.lock.Lock()
	defer f.lock.Unlock()
	return f.followers
}

// addFollower changes the number of followers by n and lets the chooser react to it.
func (f *Feeder) addFollower(n int) {
	f.lock.Lock()
	defer f.lock.Unlock()
	f.followers += n
	f.wakeLoop()
}
