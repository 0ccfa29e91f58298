// Package recall keeps facts about requests so that they outlive the ingress that learnt them. A memo is
// held by the ingress that writes it and by a few others, chosen by rendezvous hashing and spread over the
// failure domains; any ingress can look it up there. This is soft state: it is limited in
// time, number and size, it is sent without an acknowledgement, and it may be lost.
package recall

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"verbenaroad.example/ingress/services/state"
	"verbenaroad.example/share/decide/memo"
	"verbenaroad.example/share/modules/logs"
	"verbenaroad.example/share/modules/wire"
)

const (
	// copies is how many other ingresses hold a memo.
	copies = 3
	// maxMemos limits the memos that this ingress holds, maxPending those that wait to be sent to one
	// other ingress.
	maxMemos   = 32768
	maxPending = 4096
	// flushInterval is the shortest time between two messages to the same ingress. A memo that is
	// written just before its ingress is lost is lost with it.
	flushInterval = 25 * time.Millisecond
	// sendTimeout limits opening a link for a message.
	sendTimeout = time.Second
	// maxLife limits the lifetime of a memo of another ingress.
	maxLife = 10 * time.Minute
)

// Peers communicates with the other ingresses.
type Peers interface {
	// Rank returns the names of the ingresses that can be reached, ordered by their score for a key.
	Rank(key string) []string
	// Self returns the name of this ingress.
	Self() string
	// SendMemos makes another ingress hold memos. Recall asks it for one.
	SendMemos(ctx context.Context, name string, memos *wire.Memos) error
	Recall(ctx context.Context, name string, r *wire.Recall) (*wire.Recalled, error)
}

// Views provides the current view of the deployment.
type Views interface {
	View() *state.View
}

// Options are the settings of a Registry.
type Options struct {
	Peers Peers
	Views Views
	Log   *zap.Logger
}

// Registry holds memos and exchanges them with the other ingresses. It is safe for concurrent use.
type Registry struct {
	options Options
	// archive is nil if no memos are kept in the store.
	archive *Archive

	lock  sync.Mutex
	table *memo.Table
	// pending holds the memos to be sent, by the name of the ingress that they are for.
	pending map[string][]memo.Memo
	// dropped counts the memos that were not sent because too many were pending.
	dropped int
	// wake holds a token while pending is not empty.
	wake chan struct{}
}

// NewRegistry returns a registry without memos.
func NewRegistry(options Options) *Registry {
	return &Registry{
		options: options, table: memo.NewTable(maxMemos), pending: map[string][]memo.Memo{}, wake: make(chan struct{}, 1),
	}
}

// Start sends memos to other ingresses until the context ends.
func (r *Registry) Start(ctx context.Context) {
	go r.loop(ctx)
	if r.archive != nil {
		go r.archive.loopRead(ctx)
		go r.archive.loopWrite(ctx)
	}
}

// Put holds a memo and has other ingresses hold it.
func (r *Registry) Put(m memo.Memo) {
	r.lock.Lock()
	defer r.lock.Unlock()
	if err := r.table.Put(time.Now(), m); err != nil {
		r.options.Log.Warn("memo-not-kept", logs.Err(err))
		return
	}
	r.queue(m)
}

// Drop removes a memo from this ingress. The copies of others expire.
func (r *Registry) Drop(key string) {
	r.lock.Lock()
	defer r.lock.Unlock()
	r.table.Drop(key)
}

// queue has a memo sent to those that are to hold it. The caller holds the lock.
func (r *Registry) queue(m memo.Memo) {
	holders := r.listHolders(m.Key)
	for _, name := range holders[:min(len(holders), copies)] {
		if len(r.pending[name]) >= maxPending {
			r.dropped++
			continue
		}
		r.pending[name] = append(r.pending[name], m)
	}
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

// listHolders returns the other reachable ingresses in the order in which they hold a memo.
func (r *Registry) listHolders(key string) []string {
	return r.order(memo.ShardOf(key), func(name string) bool { return name != r.options.Peers.Self() })
}

// orderMembers returns the reachable ingresses, with this one, in the order in which they hold the memos of a group.
func (r *Registry) orderMembers(shard memo.Shard) []string {
	return r.order(shard, func(string) bool { return true })
}

func (r *Registry) order(shard memo.Shard, isIncluded func(name string) bool) []string {
	domains := map[string]string{}
	for _, i := range r.options.Views.View().Ingresses {
		domains[i.Name] = i.Domain
	}
	ranked := []memo.Holder{}
	for _, name := range r.options.Peers.Rank(shard.RankKey()) {
		if isIncluded(name) {
			ranked = append(ranked, memo.Holder{Name: name, Domain: domains[name]})
		}
	}
	return memo.OrderHolders(ranked)
}

func (r *Registry) loop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-r.wake:
		}
		for name, memos := range r.takePending() {
			go r.runSend(ctx, name, memos)
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(flushInterval):
		}
	}
}

func (r *Registry) takePending() map[string][]memo.Memo {
	r.lock.Lock()
	defer r.lock.Unlock()
	taken := r.pending
	r.pending = map[string][]memo.Memo{}
	if r.dropped > 0 {
		r.options.Log.Warn("memos-not-sent", zap.Int("count", r.dropped), zap.String("reason", "too many are pending"))
		r.dropped = 0
	}
	return taken
}

// runSend sends memos to one ingress. It does not try again: the other copies remain.
func (r *Registry) runSend(ctx context.Context, name string, memos []memo.Memo) {
	ctx, cancel := context.WithTimeout(ctx, sendTimeout)
	defer cancel()
	now := time.Now()
	message := &wire.Memos{}
	for _, m := range memos {
		message.Memos = append(message.Memos, encode(now, m))
	}
	if err := r.options.Peers.SendMemos(ctx, name, message); err != nil {
		r.options.Log.Info("memos-not-sent", zap.Int("count", len(memos)), zap.String("ingress", name), logs.Err(err))
	}
}

func encode(now time.Time, m memo.Memo) *wire.Memo {
	return &wire.Memo{Key: m.Key, Value: m.Value, LifeNanos: int64(m.ExpiresAt.Sub(now))}
}

func decode(now time.Time, m *wire.Memo) memo.Memo {
	return memo.Memo{Key: m.GetKey(), Value: m.GetValue(), ExpiresAt: now.Add(min(time.Duration(m.GetLifeNanos()), maxLife))}
}

// ServeMemos holds memos for another ingress.
func (r *Registry) ServeMemos(message *wire.Memos) {
	r.lock.Lock()
	defer r.lock.Unlock()
	now := time.Now()
	for _, m := range message.GetMemos() {
		if err := r.table.Put(now, decode(now, m)); err != nil {
			r.options.Log.Warn("memo-not-kept", logs.Err(err))
		}
	}
}

// ServeRecall looks up a memo for another ingress. It returns nil if this ingress cannot tell yet whether it holds
// the memo.
func (r *Registry) ServeRecall(ctx context.Context, message *wire.Recall) *wire.Recalled {
	m, found, isConclusive := r.findHere(ctx, message.GetKey())
	switch {
	case found:
		return &wire.Recalled{Memo: encode(time.Now(), m)}
	case isConclusive:
		return &wire.Recalled{}
	default:
		return nil
	}
}

// findHere looks up a memo here, also among those that were read from the store. If these are not read yet,
// isConclusive is false.
func (r *Registry) findHere(ctx context.Context, key string) (m memo.Memo, found, isConclusive bool) {
	if m, found := r.findLocal(key); found || r.archive == nil || !r.archive.mayHold(key) {
		return m, found, true
	}
	return r.archive.find(ctx, key)
}

// listSince returns the memos that were written here after the given number of writes, and the number of writes now.
func (r *Registry) listSince(now time.Time, writes uint64) ([]memo.Memo, uint64) {
	r.lock.Lock()
	defer r.lock.Unlock()
	return r.table.ListSince(now, writes), r.table.Writes()
}

func (r *Registry) findLocal(key string) (memo.Memo, bool) {
	r.lock.Lock()
	defer r.lock.Unlock()
	return r.table.Find(time.Now(), key)
}
