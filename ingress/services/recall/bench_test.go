package recall_test

import (
	"context"
	"fmt"
	"maps"
	"testing"
	"time"

	"go.uber.org/zap"

	"verbenaroad.example/ingress/services/recall"
	"verbenaroad.example/ingress/services/state"
	"verbenaroad.example/share/decide/memo"
	"verbenaroad.example/share/models/site"
	"verbenaroad.example/share/modules/rhash"
	"verbenaroad.example/share/modules/wire"
)

// manyPeers are ingresses that are ranked as those of a deployment are, and do not answer.
type manyPeers struct {
	view    *state.View
	members []rhash.Weighted
}

func newManyPeers(n int) *manyPeers {
	p := &manyPeers{view: &state.View{}}
	for i := range n {
		name := "ingress-" + string(rune('0'+i%10)) + string(rune('a'+i/10%26)) + string(rune('a'+i/260))
		p.view.Ingresses = append(p.view.Ingresses, site.Ingress{Name: name, Domain: "d" + string(rune('0'+i%6))})
		p.members = append(p.members, rhash.Weighted{Name: name, Weight: 1})
	}
	return p
}

func (p *manyPeers) View() *state.View                                  { return p.view }
func (p *manyPeers) Self() string                                       { return p.members[0].Name }
func (p *manyPeers) Rank(key string) []string                           { return rhash.PickWeighted(key, p.members) }
func (*manyPeers) SendMemos(context.Context, string, *wire.Memos) error { return nil }
func (*manyPeers) Recall(context.Context, string, *wire.Recall) (*wire.Recalled, error) {
	return nil, errLost
}

// BenchmarkPut writes the origin of a stream in a deployment of 420 ingresses.
func BenchmarkPut(b *testing.B) {
	peers := newManyPeers(420)
	r := recall.NewRegistry(recall.Options{Peers: peers, Views: peers, Log: zap.NewNop()})
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	r.Start(ctx)
	m := newMemo(1)
	m.ExpiresAt = time.Now().Add(time.Hour)
	b.ReportAllocs()
	for b.Loop() {
		r.Put(m)
	}
}

// BenchmarkServeMemos holds the memos of a message, as a holder does for 2,400 streams a second.
func BenchmarkServeMemos(b *testing.B) {
	peers := newManyPeers(420)
	r := recall.NewRegistry(recall.Options{Peers: peers, Views: peers, Log: zap.NewNop()})
	message := &wire.Memos{}
	for k := range 4 {
		message.Memos = append(message.Memos, &wire.Memo{Key: newMemo(k).Key, Value: make([]byte, 24), LifeNanos: int64(time.Minute)})
	}
	b.ReportAllocs()
	for b.Loop() {
		r.ServeMemos(message)
	}
}

// BenchmarkEncodeSegment encodes what a writer writes each second of a quarter of 2,400 streams.
func BenchmarkEncodeSegment(b *testing.B) {
	memos := newMemos(600)
	b.ReportAllocs()
	for b.Loop() {
		segment, _ := memo.EncodeSegment(memos)
		b.SetBytes(int64(len(segment)))
	}
}

// BenchmarkReadSegments decodes what a reader reads of 27,000 streams after its start.
func BenchmarkReadSegments(b *testing.B) {
	segments := [][]byte{}
	for memos := newMemos(27000); len(memos) > 0; {
		segment, count := memo.EncodeSegment(memos[:min(600, len(memos))])
		segments, memos = append(segments, segment), memos[count:]
	}
	b.ReportAllocs()
	for b.Loop() {
		read := map[memo.Digest][]byte{}
		for _, segment := range segments {
			values, err := memo.DecodeSegment(segment)
			if err != nil {
				b.Fatal(err)
			}
			maps.Copy(read, values)
		}
	}
}

func newMemos(n int) []memo.Memo {
	memos := []memo.Memo{}
	for k := range n {
		memos = append(memos, memo.Memo{Key: fmt.Sprintf("stream/%016x", k), Value: []byte{byte(k % 3)}})
	}
	return memos
}
