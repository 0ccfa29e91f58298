package recall

import (
	"context"
	"errors"
	"time"

	"go.uber.org/zap"

	"verbenaroad.example/share/decide/memo"
	"verbenaroad.example/share/models/site"
	"verbenaroad.example/share/modules/logs"
	"verbenaroad.example/share/modules/pauses"
)

const (
	// writeInterval is the time between two writes of segments while their memos fit into one each,
	// backlogPause the time while they do not, idleInterval that between two checks whether memos are kept.
	// What was received since the last write is lost with all ingresses.
	writeInterval = 250 * time.Millisecond
	backlogPause  = 100 * time.Millisecond
	idleInterval  = time.Second
	// retryPause is the pause after a call that failed, writeTimeout limits a write.
	retryPause   = time.Second
	writeTimeout = 1500 * time.Millisecond
	// leasePeriod is how long segments are written under the same lease. It is not renewed: the store removes
	// the segments once none of their memos is of use.
	leasePeriod = 30 * time.Second
	// maxSilence is the age of the news of the store beyond which nothing is written.
	maxSilence = 3 * time.Second
)

// writeQueue holds the memos of a group that are to be written.
type writeQueue struct {
	memos []memo.Memo
	// listed is the number of writes of the table up to which its memos were listed.
	listed uint64
}

// loopWrite writes the memos that this ingress is to write.
func (a *Archive) loopWrite(ctx context.Context) {
	for pause := writeInterval; pauses.Wait(ctx, pause); {
		pause = idleInterval
		if a.fillQueues(time.Now()) {
			pause = writeInterval
		}
		segments, counts := a.encodeQueues()
		if len(segments) == 0 {
			continue
		}
		if err := a.write(ctx, segments, counts); err != nil {
			a.lease = site.Lease{}
			pause = retryPause
			if errors.Is(err, a.options.LeaseGone) {
				clear(a.queues) // the segments before may have been removed with it
			}
			continue
		}
		for shard, count := range counts {
			q := a.queues[shard]
			q.memos = q.memos[count:]
			if len(q.memos) > 0 {
				pause = backlogPause
			}
		}
	}
}

// fillQueues lists the memos that were written since. All of them are listed if the selection has changed, if this
// ingress has not been the writer of their group before, or if the store was restored and may have lost them. It
// returns false if no memos are kept, or if they cannot be written now.
func (a *Archive) fillQueues(now time.Time) bool {
	selection := a.options.Select()
	if selection.Name == "" || a.options.Age() > maxSilence {
		return false
	}
	if era := a.registry.options.Views.View().Era; selection.Name != a.name || era != a.era {
		a.name, a.era, a.lease = selection.Name, era, site.Lease{}
		clear(a.queues)
	}
	for _, shard := range memo.ListShards() {
		if ranked := a.registry.options.Peers.Rank(shard.RankKey()); len(ranked) == 0 || ranked[0] != a.registry.options.Peers.Self() {
			continue
		}
		q := a.queues[shard]
		if q == nil {
			q = &writeQueue{}
			a.queues[shard] = q
		}
		memos, listed := a.registry.listSince(now, q.listed)
		q.listed = listed
		for _, m := range memos {
			if memo.ShardOf(m.Key) == shard && selection.Keeps(m) {
				q.memos = append(q.memos, m)
			}
		}
	}
	return true
}

// encodeQueues returns a segment of each group that has memos to be written, by its key, and how many of the memos of
// the group it holds.
func (a *Archive) encodeQueues() (segments map[string][]byte, counts map[memo.Shard]int) {
	segments, counts = map[string][]byte{}, map[memo.Shard]int{}
	for shard, q := range a.queues {
		segment, count := memo.EncodeSegment(q.memos)
		if count == 0 {
			continue
		}
		a.number++
		segments[a.options.Codec.SegmentKey(shard, a.options.Process, a.number)] = segment
		counts[shard] = count
	}
	return segments, counts
}

func (a *Archive) write(ctx context.Context, segments map[string][]byte, counts map[memo.Shard]int) error {
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	began := time.Now()
	err := a.renewLease(ctx)
	if err == nil {
		_, err = a.options.Store.PutAll(ctx, segments, a.lease)
	}
	memos, size := 0, 0
	for _, count := range counts {
		memos += count
	}
	for _, segment := range segments {
		size += len(segment)
	}
	a.registry.options.Log.Info("memos-written", zap.Int("segments", len(segments)), zap.Int("memos", memos), zap.Int("bytes", size),
		zap.Duration("took", time.Since(began)), logs.Err(err))
	return err
}

// renewLease replaces the lease if segments have been written under it for long enough.
func (a *Archive) renewLease(ctx context.Context) error {
	if !a.lease.IsZero() && time.Since(a.leaseAt) < leasePeriod {
		return nil
	}
	lease, err := a.options.Store.Grant(ctx, min(a.options.Select().Life+leasePeriod, maxLife))
	if err != nil {
		return err
	}
	a.lease, a.leaseAt = lease, time.Now()
	return nil
}
