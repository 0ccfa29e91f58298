package follow

import (
	"context"
	"slices"
	"time"

	"go.uber.org/zap"

	"verbenaroad.example/share/decide/gossip"
	"verbenaroad.example/share/models/config"
	"verbenaroad.example/share/modules/pauses"
	"verbenaroad.example/share/modules/wire"
)

// runPoll reads the head once and reports the result to the control loop.
func (f *Follower) runPoll(ctx context.Context) {
	requestedAt := time.Now()
	answer, err := f.options.Store.ReadHead(ctx)
	if err != nil {
		f.countFailedRead(err)
		f.Send(gossip.ReadFailed{RequestedAt: requestedAt})
		return
	}
	f.Send(gossip.HeadObserved{Head: answer.Head, RequestedAt: requestedAt})
}

func (f *Follower) countFailedRead(err error) {
	f.lock.Lock()
	f.counts.FailedReads++
	f.lock.Unlock()
	f.options.Log.Debug("store-read-failed", zap.Error(err))
}

// loopWatch watches the head and reports what it returns, until ctx ends.
func (f *Follower) loopWatch(ctx context.Context) {
	index := uint64(0)
	for ctx.Err() == nil {
		answer, err := f.options.Store.WatchHead(ctx, index, watchTimeout)
		if err != nil {
			f.countFailedRead(err)
			index = 0
			pauses.Wait(ctx, watchRetryDelay)
			continue
		}
		index = answer.Index
		// The answer is only certain to have been current when the request was sent.
		f.Send(gossip.HeadObserved{Head: answer.Head, RequestedAt: answer.RequestedAt, FromWatch: true})
		if index == 0 {
			pauses.Wait(ctx, watchRetryDelay)
		}
	}
}

// runFetchStore fetches the configuration of the head from the key-value service.
func (f *Follower) runFetchStore(ctx context.Context) {
	answer, err := f.options.Store.ReadHead(ctx)
	if err != nil {
		f.reportFetched(nil, err, true)
		return
	}
	loaded, err := f.options.Store.Load(ctx, f.GetLoaded(), answer.Head.Version)
	f.reportFetched(loaded, err, true)
}

// runFetchPeer fetches the configuration from a peer.
func (f *Follower) runFetchPeer(ctx context.Context, peer string) {
	loaded, err := f.fetchFromPeer(ctx, peer)
	f.reportFetched(loaded, err, false)
}

// reportFetched counts the result of a fetch and reports it to the control loop.
func (f *Follower) reportFetched(loaded *config.Loaded, err error, fromStore bool) {
	f.lock.Lock()
	switch {
	case err != nil:
		f.counts.FailedFetches++
	case fromStore:
		f.counts.FetchedStore++
	default:
		f.counts.FetchedPeer++
	}
	f.lock.Unlock()
	if err != nil {
		f.options.Log.Info("fetch-failed", zap.Bool("from-store", fromStore), zap.Error(err))
		f.Send(gossip.FetchFailed{})
		return
	}
	f.Send(gossip.FetchDone{Loaded: loaded})
}

// fetchFromPeer requests a peer's manifest and then the manifest's chunks that this process has not
// loaded.
func (f *Follower) fetchFromPeer(ctx context.Context, peer string) (*config.Loaded, error) {
	old := f.GetLoaded()
	answer, err := f.fetchChunks(ctx, peer, &wire.Fetch{})
	if err != nil {
		return nil, err
	}
	if len(answer.GetChunks()) == 0 {
		return nil, ErrFollow.New("peer %s has no configuration", peer)
	}
	first := answer.GetChunks()[0]
	version := config.Version{Revision: answer.GetRevision(), ManifestHash: config.Hash(first.GetHash())}
	manifest, err := config.DecodeManifest(version.ManifestHash, first.GetData())
	if err != nil {
		return nil, err
	}
	if err := f.fetchMissing(ctx, peer, f.received.retain(old.Missing(manifest))); err != nil {
		return nil, err
	}
	startedAt := time.Now()
	loaded, err := config.Load(old, version, manifest, f.received.list())
	f.meter.adoptingNanos.Add(int64(time.Since(startedAt)))
	if err == nil {
		f.received.clear()
	}
	return loaded, err
}

// fetchMissing requests the given chunks from a peer, some of them at a time.
func (f *Follower) fetchMissing(ctx context.Context, peer string, missing []config.Hash) error {
	for batch := range slices.Chunk(missing, chunksPerFetch) {
		fetch := &wire.Fetch{}
		for _, hash := range batch {
			fetch.Hashes = append(fetch.Hashes, string(hash))
		}
		answer, err := f.fetchChunks(ctx, peer, fetch)
		if err != nil {
			return err
		}
		if err := f.received.add(batch, answer); err != nil {
			return err
		}
		f.Send(gossip.FetchProgress{Peer: peer})
	}
	return nil
}

// fetchChunks sends one request to a peer, and waits for the answer within the settings' ReadTimeout.
func (f *Follower) fetchChunks(ctx context.Context, peer string, fetch *wire.Fetch) (*wire.Chunks, error) {
	ctx, cancel := context.WithTimeout(ctx, f.options.Settings.ReadTimeout)
	defer cancel()
	answer, err := f.options.Peers.FetchChunks(ctx, peer, fetch)
	if err != nil {
		return nil, err
	}
	f.meter.fetchedBytes.Add(chunkBytes(answer))
	return answer, nil
}
