package recall_test

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"verbenaroad.example/ingress/services/recall"
	"verbenaroad.example/ingress/services/state"
	"verbenaroad.example/share/decide/memo"
	"verbenaroad.example/share/models/site"
	"verbenaroad.example/share/modules/rhash"
	"verbenaroad.example/share/modules/wire"
)

// fleet is a number of ingresses in three failure domains that call each other directly.
type fleet struct {
	// stop ends all ingresses.
	stop func()

	lock       sync.Mutex
	view       *state.View
	registries map[string]*recall.Registry
	// lost ingresses do not answer and are not ranked. silent ones are ranked and do not answer.
	lost   map[string]bool
	silent map[string]bool
	// messages counts the messages that carried memos, questions the lookups at other ingresses.
	messages  int
	questions int
}

// member is one ingress of a fleet.
type member struct {
	*fleet
	name string
}

func newFleet(t *testing.T, n int) *fleet {
	t.Helper()
	return newFleetWith(t, n, func(*recall.Registry, string) {})
}

// newFleetWith starts n ingresses. Prepare is called for each of them before its start.
func newFleetWith(t *testing.T, n int, prepare func(r *recall.Registry, name string)) *fleet {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	f := &fleet{view: &state.View{}, registries: map[string]*recall.Registry{}, lost: map[string]bool{}, silent: map[string]bool{}, stop: cancel}
	for i := range n {
		name := fmt.Sprint("ingress-", i)
		f.view.Ingresses = append(f.view.Ingresses, site.Ingress{Name: name, Domain: fmt.Sprint("d", i%3)})
		f.registries[name] = recall.NewRegistry(recall.Options{Peers: member{f, name}, Views: f, Log: zap.NewNop()})
		prepare(f.registries[name], name)
	}
	for _, r := range f.registries {
		r.Start(ctx)
	}
	return f
}

func (f *fleet) View() *state.View {
	f.lock.Lock()
	defer f.lock.Unlock()
	return f.view
}

// setEra begins an era of the store.
func (f *fleet) setEra(era uint64) {
	f.lock.Lock()
	defer f.lock.Unlock()
	later := *f.view
	later.Era = era
	f.view = &later
}

// loseFirst loses the ingress that is first for a key.
func (f *fleet) loseFirst(key string) {
	first := member{f, ""}.Rank(key)[0]
	f.lock.Lock()
	defer f.lock.Unlock()
	f.lost[first] = true
}

// lose loses the ingresses with these numbers.
func (f *fleet) lose(numbers ...int) {
	f.lock.Lock()
	defer f.lock.Unlock()
	for _, n := range numbers {
		f.lost[fmt.Sprint("ingress-", n)] = true
	}
}

func (f *fleet) at(n int) *recall.Registry { return f.registries[fmt.Sprint("ingress-", n)] }

func (m member) Self() string { return m.name }

func (m member) Rank(key string) []string {
	m.lock.Lock()
	defer m.lock.Unlock()
	names := []string{}
	for _, i := range m.view.Ingresses {
		if !m.lost[i.Name] {
			names = append(names, i.Name)
		}
	}
	return rhash.Pick(key, names, len(names))
}

var errLost = errors.New("the ingress is lost")

// reach returns the registry of another ingress.
func (m member) reach(name string) (*recall.Registry, error) {
	m.lock.Lock()
	defer m.lock.Unlock()
	if m.lost[name] || m.silent[name] {
		return nil, errLost
	}
	return m.registries[name], nil
}

func (m member) SendMemos(_ context.Context, name string, memos *wire.Memos) error {
	r, err := m.reach(name)
	if err != nil {
		return err
	}
	m.lock.Lock()
	m.messages++
	m.lock.Unlock()
	r.ServeMemos(memos)
	return nil
}

func (m member) Recall(ctx context.Context, name string, q *wire.Recall) (*wire.Recalled, error) {
	r, err := m.reach(name)
	if err != nil {
		return nil, err
	}
	m.lock.Lock()
	m.questions++
	m.lock.Unlock()
	return r.ServeRecall(ctx, q), nil
}

func newMemo(n int) memo.Memo {
	return memo.Memo{Key: fmt.Sprint("stream/", n), Value: []byte{byte(n)}, ExpiresAt: time.Now().Add(time.Minute)}
}

// settle is longer than memos wait to be sent.
const settle = 100 * time.Millisecond

// Guards against facts about requests that are lost with half of the ingresses, among them the one that
// learnt them, and against those that are found only where they were learnt.
func TestMemosOutliveHalfOfTheIngresses(t *testing.T) {
	for _, c := range []struct {
		n    int
		lost []int
	}{
		{6, []int{0, 1, 2}},
		{6, []int{0, 3}},       // a failure domain
		{6, []int{0, 3, 1, 4}}, // two failure domains
		{20, []int{0, 2, 4, 6, 8, 10, 12, 14, 16, 18}},
	} {
		is := is.New(t)
		f := newFleet(t, c.n)
		for k := range 60 {
			f.at(0).Put(newMemo(k))
		}
		time.Sleep(settle)
		f.lose(c.lost...)
		found := 0
		for k := range 60 {
			got := f.at(5).Find(context.Background(), newMemo(k).Key)
			if got.Found {
				is.Equal(got.Memo.Value, newMemo(k).Value)
				found++
			}
		}
		t.Logf("%d ingresses without %v: %d of 60 memos are found", c.n, c.lost, found)
		is.True(found >= 30)
	}
}

// Guards against a lookup that reports that nobody knows a fact while an ingress that may know it does not
// answer, and against one that waits for it.
func TestLookupStatesWhetherAllHaveAnswered(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, 6)
	got := f.at(1).Find(context.Background(), "stream/unknown")
	is.True(!got.Found)
	is.True(got.Conclusive)
	f.silent["ingress-4"] = true
	got = f.at(1).Find(context.Background(), "stream/unknown")
	is.True(!got.Found)
	is.True(!got.Conclusive)
	f.lose(4)
	got = f.at(1).Find(context.Background(), "stream/unknown")
	is.True(!got.Conclusive) // it is registered and cannot be reached
}

// Guards against a message for each fact, and against a lookup that asks every ingress of a large fleet.
func TestMessagesAreLimited(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, 60)
	began := time.Now()
	for k := range 200 {
		f.at(0).Put(newMemo(k))
	}
	// Three holders of each of four shards get a message each 25 ms, not one for each of 200 memos.
	allowed := 3 * 4 * (2 + int(time.Since(began)/(25*time.Millisecond)))
	time.Sleep(settle)
	f.lock.Lock()
	messages := f.messages
	f.lock.Unlock()
	is.True(messages > 0)
	is.True(messages <= allowed)
	for range 10 {
		f.at(1).Find(context.Background(), "stream/unknown")
	}
	is.True(f.questions <= 10*12)
}

// Guards against a fact that stays longer than it is of use, whatever lifetime another ingress states.
func TestMemosExpire(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, 2)
	short := newMemo(1)
	short.ExpiresAt = time.Now().Add(2 * settle)
	f.at(0).Put(short)
	time.Sleep(settle)
	is.True(f.at(1).Find(context.Background(), short.Key).Found)
	time.Sleep(2 * settle)
	is.True(!f.at(1).Find(context.Background(), short.Key).Found)
	f.at(0).Put(newMemo(2))
	f.at(0).Drop(newMemo(2).Key)
	time.Sleep(settle)
	is.True(f.at(0).Find(context.Background(), newMemo(2).Key).Found) // at the other one
}
