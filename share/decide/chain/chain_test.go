package chain_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"verbenaroad.example/share/decide/chain"
	"verbenaroad.example/share/decide/delay"
	"verbenaroad.example/share/models/site"
)

const ms = time.Millisecond

// newStages is a part lookup: one stage of large results that nothing waits for,
// beside a chain of three.
func newStages() []site.Stage {
	return []site.Stage{
		{Service: "encode", ResultBytes: 1_500_000},
		{Service: "encode", ResultBytes: 8000},
		{Service: "retrieve", After: []int{1}, ResultBytes: 60_000},
		{Service: "rerank", After: []int{2}, ResultBytes: 6000},
	}
}

// newWait is a queue in which a request of rank 0 waits for the times given.
func newWait(at time.Time, onTime, late time.Duration) chain.Wait {
	const rate = 1000
	return chain.Wait{At: at, Backlog: delay.Backlog{
		OnTime: delay.Counts{0: rate * onTime.Seconds()}, Late: delay.Counts{0: rate * (late - onTime).Seconds()}, Rate: rate,
	}}
}

func newKnown(now time.Time, wait time.Duration) chain.Known {
	pool := &site.Pool{Batch: 10, CallTime: 200 * ms, ItemTime: 10 * ms, KeepTime: 4 * time.Second}
	k := chain.Known{Pools: map[string]*site.Pool{}, Waits: map[string]chain.Wait{}}
	for _, name := range []string{"encode", "retrieve", "rerank"} {
		k.Pools[name] = pool
		k.Waits[name] = newWait(now, wait, 3*wait)
	}
	return k
}

func TestPlanAddsTheLongestWay(t *testing.T) {
	is := is.New(t)
	now := time.Unix(0, 0)
	p := chain.NewPlan(now, 0, newStages(), []int{2, 1, 6, 10}, newKnown(now, 100*ms))
	// engine 200, rerank 200+100, retrieve 200+60, encode 100+200+50; the queues of the
	// later stages are worked off before the request gets there
	is.Equal(p.Total, 1110*ms)
	is.Equal(p.After[1], 760*ms)
	is.Equal(p.After[0], 200*ms)
	is.Equal(p.Level, []int{0, 2, 1, 0})
}

// A stage that is left out takes no time and holds nothing up.
func TestPlanSkipsStagesWithoutResults(t *testing.T) {
	is := is.New(t)
	now := time.Unix(0, 0)
	p := chain.NewPlan(now, 0, newStages(), []int{2, 0, 0, 0}, newKnown(now, 100*ms))
	is.Equal(p.Total, 550*ms) // 100+200+50 and the engine's 200
	is.Equal(p.Level, []int{0, 0, 0, 0})
	is.Equal(chain.NewPlan(now, 0, newStages(), nil, chain.Known{}).Total, 200*ms)
}

// Twenty part lookups a second each make large results that their engine needs only
// at the end. Begun at once they fill their server's memory for a second more each;
// begun with the last stage of the chain they are done at the same time.
func TestLargeResultsAreMadeLast(t *testing.T) {
	is := is.New(t)
	now := time.Unix(0, 0)
	p := chain.NewPlan(now, 0, newStages(), []int{2, 1, 6, 10}, newKnown(now, 0))
	is.True(!p.Begin(0, 2)) // the chain has two stages left behind its first
	is.True(p.Begin(1, 2))
	is.True(!p.Begin(0, 1))
	is.True(p.Begin(0, 0)) // the last stage begins now
}

// A burst of one kind of request, 2.6 times its rate for six seconds, fills the
// queue of its last stage. Who can be on time begins; who cannot waits where it
// holds nothing while there is hope, and is told at once when there is none.
func TestAdmitInABurst(t *testing.T) {
	now := time.Unix(0, 0)
	for _, c := range []struct {
		name         string
		onTime, late time.Duration
		target, ends time.Duration
		want         chain.Verdict
	}{
		{"calm", 0, 0, 2 * time.Second, 8 * time.Second, chain.Go},
		{"short queue", 900 * ms, 1200 * ms, 2500 * ms, 8 * time.Second, chain.Go},
		{"late, and its results would wait for a part of their time", 2 * time.Second, 2500 * ms, 2 * time.Second, 8 * time.Second, chain.Hold},
		{"late, short wait", 200 * ms, 300 * ms, 500 * ms, 8 * time.Second, chain.Go},
		{"no hope", 3 * time.Second, 7 * time.Second, 2 * time.Second, 8 * time.Second, chain.Refuse},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			k := newKnown(now, 0)
			k.Waits["rerank"] = newWait(now, c.onTime, c.late)
			p := chain.NewPlan(now, 0, newStages(), []int{2, 1, 6, 10}, k)
			got, pause := p.Admit(now, now.Add(c.target), now.Add(c.ends))
			is.Equal(got, c.want)
			is.Equal(pause > 0, c.want == chain.Refuse)
		})
	}
}

// The burst has just begun: a hundred requests are in their first stage, and the
// queues behind it are still empty. They will be full when the next request
// gets there, so it must count what is on its way, less what is done until then.
func TestPlanCountsWhatIsOnItsWay(t *testing.T) {
	is := is.New(t)
	now := time.Unix(0, 0)
	k := newKnown(now, 0)
	counts := []int{0, 1, 6, 10}
	empty := chain.NewPlan(now, 0, newStages(), counts, k)
	k.Waits["rerank"] = chain.Wait{Backlog: delay.Backlog{Rate: 500}, At: now}
	k.Ahead = map[string]delay.Counts{"rerank": {0: 1000}}
	full := chain.NewPlan(now, 0, newStages(), counts, k)
	// 1000 results at 500 a second take 2 s, of which 510 ms pass in the stages before
	is.Equal(full.Total-empty.Total, 1490*ms)
}

// A queue that was told of two seconds ago says nothing any more: without this an
// ingress that refused everything would never hear that there is room again.
func TestWaitsFade(t *testing.T) {
	is := is.New(t)
	told := time.Unix(0, 0)
	k := newKnown(told, 2*time.Second)
	fresh := chain.NewPlan(told, 0, newStages(), []int{0, 1, 1, 1}, k)
	old := chain.NewPlan(told.Add(2*time.Second), 0, newStages(), []int{0, 1, 1, 1}, k)
	is.Equal(fresh.Total-old.Total, 2*time.Second) // the later queues are worked off meanwhile
}

func TestLimitsLeaveTimeForWhatFollows(t *testing.T) {
	is := is.New(t)
	now := time.Unix(0, 0)
	p := chain.NewPlan(now, 0, newStages(), []int{0, 1, 6, 10}, newKnown(now, 0))
	onTime, useful := p.Limits(1, now.Add(2*time.Second), now.Add(8*time.Second))
	is.Equal(onTime, now.Add(2*time.Second-p.After[1]))
	is.True(useful.Before(now.Add(8*time.Second - p.After[1])))
}

// Reviews burst and fill the queue of the first stage, and more are on their way; the
// operators rank notes first. Judged by the whole queue a note waits for 3 s and is
// refused; what really goes before it are other notes. A chat behind all of them is
// not let in.
func TestAdmitByRank(t *testing.T) {
	is := is.New(t)
	const note, review, chat = site.Rank(0), site.Rank(1), site.Rank(2)
	now := time.Unix(0, 0)
	k := newKnown(now, 0)
	k.Waits["encode"] = chain.Wait{At: now, Backlog: delay.Backlog{
		OnTime: delay.Counts{note: 20, review: 300}, Late: delay.Counts{review: 500}, Rate: 100,
	}}
	k.Ahead = map[string]delay.Counts{"encode": {review: 100}}
	admit := func(rank site.Rank) chain.Verdict {
		p := chain.NewPlan(now, rank, newStages(), []int{0, 1, 6, 10}, k)
		v, _ := p.Admit(now, now.Add(2*time.Second), now.Add(6*time.Second))
		return v
	}
	is.Equal(admit(note), chain.Go)
	is.Equal(admit(review), chain.Refuse)
	is.Equal(admit(chat), chain.Refuse)
}
