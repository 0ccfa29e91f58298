package follow

import (
	"context"
	"time"

	"go.uber.org/zap"

	"verbenaroad.example/share/decide/gossip"
	"verbenaroad.example/share/models/config"
	"verbenaroad.example/share/modules/pauses"
	"verbenaroad.example/share/modules/wire"
)

func (f *Follower) runPoll(ctx context.Context) {
	asked := time.Now()
	answer, err := f.options.Store.ReadHead(ctx)
	if err != nil {
		f.countFailedRead(err)
		f.Tell(gossip.ReadFailed{RequestedAt: asked})
		return
	}
	f.Tell(gossip.HeadObserved{Head: answer.Head, RequestedAt: asked})
}

func (f *Follower) countFailedRead(err error) {
	f.lock.Lock()
	f.counts.FailedReads++
	f.lock.Unlock()
	f.options.Log.Debug("store-read-failed", zap.Error(err))
}

// loopWatch keeps a watch on the head until the context ends.
func (f *Follower) loopWatch(ctx context.Context) {
	index := uint64(0)
	for ctx.Err() == nil {
		answer, err := f.options.Store.WatchHead(ctx, index, watchWait)
		if err != nil {
			f.countFailedRead(err)
			index = 0
			pauses.Wait(ctx, watchPause)
			continue
		}
		index = answer.Index
		// The answer may be as old as the request, so the request's time is the safe one.
		f.Tell(gossip.HeadObserved{Head: answer.Head, RequestedAt: answer.RequestedAt, FromWatch: true})
		if index == 0 {
			pauses.Wait(ctx, watchPause)
		}
	}
}

func (f *Follower) runFetchStore(ctx context.Context) {
	answer, err := f.options.Store.ReadHead(ctx)
	if err != nil {
		f.tellFetched(nil, err, true)
		return
	}
	loaded, err := f.options.Store.Load(ctx, f.GetLoaded(), answer.Head.Version)
	f.tellFetched(loaded, err, true)
}

func (f *Follower) runFetchPeer(ctx context.Context, peer string) {
	ctx, cancel := context.WithTimeout(ctx, f.options.Settings.ReadTimeout)
	defer cancel()
	loaded, err := f.fetchPeer(ctx, peer)
	f.tellFetched(loaded, err, false)
}

func (f *Follower) tellFetched(loaded *config.Loaded, err error, fromStore bool) {
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
		f.Tell(gossip.FetchFailed{})
		return
	}
	f.Tell(gossip.FetchDone{Loaded: loaded})
}

// fetchPeer asks a peer for its manifest and then for the chunks that are missing here.
func (f *Follower) fetchPeer(ctx context.Context, peer string) (*config.Loaded, error) {
	old := f.GetLoaded()
	answer, err := f.options.Peers.FetchChunks(ctx, peer, &wire.Fetch{})
	if err != nil {
		return nil, err
	}
	if len(answer.GetChunks()) == 0 {
		return nil, ErrFollow.New("peer %s has no configuration", peer)
	}
	f.meter.fetched.Add(sizeOf(answer))
	first := answer.GetChunks()[0]
	place := config.Version{Revision: answer.GetRevision(), ManifestHash: config.Hash(first.GetHash())}
	manifest, err := config.DecodeManifest(place.ManifestHash, first.GetData())
	if err != nil {
		return nil, err
	}
	chunks, err := f.fetchMissing(ctx, peer, old.Missing(manifest))
	if err != nil {
		return nil, err
	}
	started := time.Now()
	loaded, err := config.Load(old, place, manifest, chunks)
	f.meter.adopting.Add(int64(time.Since(started)))
	return loaded, err
}

func (f *Follower) fetchMissing(ctx context.Context, peer string, missing []config.Hash) ([]config.Chunk, error) {
	if len(missing) == 0 {
		return nil, nil
	}
	fetch := &wire.Fetch{}
	for _, hash := range missing {
		fetch.Hashes = append(fetch.Hashes, string(hash))
	}
	answer, err := f.options.Peers.FetchChunks(ctx, peer, fetch)
	if err != nil {
		return nil, err
	}
	f.meter.fetched.Add(sizeOf(answer))
	chunks := make([]config.Chunk, 0, len(answer.GetChunks()))
	for _, chunk := range answer.GetChunks() {
		chunks = append(chunks, config.Chunk{Hash: config.Hash(chunk.GetHash()), Data: chunk.GetData()})
	}
	return chunks, nil
}
