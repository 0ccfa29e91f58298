package queue_test

import (
	"fmt"
	"reflect"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"verbenaroad.example/share/decide/queue"
	"verbenaroad.example/share/models/config"
	"verbenaroad.example/share/modules/codes"
)

var start = time.Date(2026, 12, 1, 8, 0, 0, 0, time.UTC) //nolint:gochecknoglobals // a constant in all but syntax

const service = 100 * time.Millisecond

func newFairQueue(limit, slots int) *queue.Queue {
	return queue.New(queue.Settings{Mode: queue.ModeFair, MaxWaiting: limit, Slots: slots, InitialServiceTime: service})
}

func item(id, team string, p config.Priority, deadline time.Duration) queue.Item {
	return queue.Item{ID: id, Team: team, Priority: p, Weight: 1, Cost: 1, Deadline: start.Add(deadline)}
}

// popAll pops and ends all items one at a time and returns their ids.
func popAll(q *queue.Queue) []string {
	var ids []string
	for {
		i, ok := q.Pop(start)
		if !ok {
			return ids
		}
		ids = append(ids, i.ID)
		q.Done(start.Add(service), i.ID, 0)
	}
}

func TestPopOrder(t *testing.T) {
	urgent, normal, batch := config.PriorityUrgent, config.PriorityNormal, config.PriorityBatch
	items := []queue.Item{
		item("b1", "a", batch, time.Second),
		item("a1", "a", normal, 3*time.Second),
		item("a2", "a", normal, 2*time.Second),
		item("a3", "a", normal, 4*time.Second),
		item("c1", "c", normal, 9*time.Second),
		item("u1", "c", urgent, 9*time.Second),
	}
	cases := []struct {
		mode queue.Mode
		want []string
	}{
		{queue.ModeFair, []string{"u1", "a2", "c1", "a1", "a3", "b1"}},
		{queue.ModeFIFO, []string{"b1", "a1", "a2", "a3", "c1", "u1"}},
	}
	for _, tc := range cases {
		t.Run(string(tc.mode), func(t *testing.T) {
			is := is.New(t)
			q := queue.New(queue.Settings{Mode: tc.mode, MaxWaiting: 9, Slots: 1, InitialServiceTime: service})
			for _, i := range items {
				is.Equal(q.Push(start, i), queue.PushResult{})
			}
			is.Equal(popAll(q), tc.want)
			is.Equal(q.TrackedTeams(), 0)
		})
	}
}

func TestFullQueueEvictsOrRefuses(t *testing.T) {
	cases := []struct {
		name     string
		queued   []queue.Item
		arriving queue.Item
		evicted  string
		refused  codes.Code
	}{
		{
			"item of a lower class is evicted",
			[]queue.Item{item("1", "a", config.PriorityBatch, 1), item("2", "b", config.PriorityNormal, 1), item("3", "b", config.PriorityNormal, 1)},
			item("4", "b", config.PriorityUrgent, 1), "1", codes.OK,
		},
		{
			"team that would be as far over its share is refused",
			[]queue.Item{item("1", "a", config.PriorityNormal, 5), item("2", "a", config.PriorityNormal, 9), item("3", "b", config.PriorityNormal, 1)},
			item("4", "b", config.PriorityNormal, 1), "", codes.Overloaded,
		},
		{
			"item with the most slack of the team over its share is evicted",
			[]queue.Item{item("1", "a", config.PriorityNormal, 5), item("2", "a", config.PriorityNormal, 9), item("3", "b", config.PriorityNormal, 1)},
			item("4", "c", config.PriorityNormal, 1), "2", codes.OK,
		},
		{
			"item of a lower class is refused",
			[]queue.Item{item("1", "a", config.PriorityNormal, 5), item("2", "a", config.PriorityNormal, 9), item("3", "b", config.PriorityNormal, 1)},
			item("4", "c", config.PriorityBatch, 1), "", codes.Overloaded,
		},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			q := newFairQueue(3, 1)
			for _, i := range tc.queued {
				is.Equal(q.Push(start, i), queue.PushResult{})
			}
			p := q.Push(start, tc.arriving)
			is.Equal(q.Len(), 3)
			if tc.refused != codes.OK {
				is.Equal(p.Refused.Code, tc.refused)
				is.Equal(p.Refused.Outcome, codes.OutcomeNotRun)
				is.True(p.Refused.RetryAfter > 0)
				return
			}
			is.Equal(p.Refused, nil)
			is.Equal(p.Evicted.ID, tc.evicted)
		})
	}
}

func TestExpireReturnsItemsThatCannotStartInTime(t *testing.T) {
	is := is.New(t)
	q := newFairQueue(9, 0)
	late := item("late", "a", config.PriorityNormal, time.Second)
	late.MinRunTime = 400 * time.Millisecond
	q.Push(start, late)
	q.Push(start, item("open", "a", config.PriorityNormal, 2*time.Second))
	is.Equal(len(q.Expire(start.Add(600*time.Millisecond))), 0)
	at, _ := q.NextExpiry()
	is.Equal(at, start.Add(600*time.Millisecond))
	_, ok := q.Pop(start.Add(601 * time.Millisecond))
	is.True(!ok)
	expired := q.Expire(start.Add(601 * time.Millisecond))
	is.Equal(len(expired), 1)
	is.Equal(expired[0].ID, "late")
	is.Equal(q.Push(start.Add(time.Second), late).Refused.Code, codes.DeadlineUnmeetable)
}

func TestEstimateWaitDependsOnClassAndTeam(t *testing.T) {
	is := is.New(t)
	q := newFairQueue(100, 2)
	is.Equal(q.EstimateWait(start, item("x", "c", config.PriorityNormal, time.Hour)), time.Duration(0))
	for n := range 42 {
		q.Push(start, item(fmt.Sprint(n), "a", config.PriorityNormal, time.Hour))
	}
	for range 2 {
		q.Pop(start)
	}
	wait := func(team string, p config.Priority) time.Duration {
		return q.EstimateWait(start, item("x", team, p, time.Hour))
	}
	is.Equal(wait("c", config.PriorityUrgent), service/2)
	is.Equal(wait("a", config.PriorityNormal), service/2+40*service/2)
	is.Equal(wait("a", config.PriorityBatch), wait("a", config.PriorityNormal))
	is.True(wait("c", config.PriorityNormal) < wait("a", config.PriorityNormal)/5)
}

// Guards against late answers to urgent calls while batch runs hold all slots: no slot becomes free
// before the deadline of the urgent call unless a batch run is canceled.
func TestPreemptCancelsTheYoungestBatchRun(t *testing.T) {
	is := is.New(t)
	q := newFairQueue(9, 2)
	for n, id := range []string{"old", "young"} {
		batch := item(id, "a", config.PriorityBatch, time.Hour)
		batch.Preemptible = true
		batch.Cost = 50
		q.Push(start, batch)
		q.Pop(start.Add(time.Duration(n) * time.Millisecond))
	}
	now := start.Add(2 * time.Millisecond)
	q.Push(now, item("far-deadline", "b", config.PriorityUrgent, time.Hour))
	_, ok := q.Preempt(now)
	is.True(!ok) // there is time for a slot to become free
	q.Push(now, item("near-deadline", "b", config.PriorityUrgent, 50*time.Millisecond))
	victim, ok := q.Preempt(now)
	is.True(ok)
	is.Equal(victim.ID, "young")
	_, ok = q.Preempt(now)
	is.True(!ok) // one canceled run is enough for one call at risk
	q.Done(now, "young", 0)
	is.Equal(q.Load(now).Service, service) // a canceled run does not count towards the service time
	next, ok := q.Pop(now)
	is.True(ok)
	is.Equal(next.ID, "near-deadline")
}

// Guards against one team with ten times the others' rate starving them: without fair queueing
// their calls wait behind its backlog and are answered late or evicted.
func TestBurstOfOneTeamKeepsTheSharesOfOthers(t *testing.T) {
	is := is.New(t)
	fairIndex := jainIndexUnderBurst(queue.ModeFair)
	fifoIndex := jainIndexUnderBurst(queue.ModeFIFO)
	t.Logf("Jain index of 5 equal teams, one at ten times the rate: fair %.3f, fifo %.3f", fairIndex, fifoIndex)
	is.True(fairIndex >= 0.95)
	is.True(fifoIndex < fairIndex)
}

// jainIndexUnderBurst runs 4 slots for 60 s, with each team offering more than a fifth of the
// capacity, and returns Jain's fairness index of the cost served per team.
func jainIndexUnderBurst(mode queue.Mode) float64 {
	const teams, slots, ticks = 5, 4, 600
	q := queue.New(queue.Settings{Mode: mode, MaxWaiting: 64, Slots: slots, InitialServiceTime: service})
	served := make(map[string]float64)
	for tick := range ticks {
		now := start.Add(time.Duration(tick) * service)
		for team := range teams {
			count := 1
			if team == 0 {
				count = 10
			}
			for n := range count {
				i := item(fmt.Sprint(tick, team, n), fmt.Sprint(team), config.PriorityNormal, 0)
				i.Deadline = now.Add(4 * time.Second)
				q.Push(now, i)
			}
		}
		q.Expire(now)
		for range slots {
			i, ok := q.Pop(now)
			if ok {
				served[i.Team] += i.Cost
				q.Done(now.Add(service), i.ID, 0)
			}
		}
	}
	sum, squares := 0.0, 0.0
	for _, s := range served {
		sum += s
		squares += s * s
	}
	return sum * sum / (teams * squares)
}

// countServed pops n items of a queue in which every team with a weight above 0 always has items
// waiting, and returns the number of items popped for each team. measured is the cost that the runs
// of a team report.
func countServed(q *queue.Queue, n int, weights map[string]float64, measured map[string]float64) map[string]int {
	counts := make(map[string]int)
	for n := range n {
		for _, team := range []string{"a", "b"} {
			i := item(fmt.Sprint(team, n), team, config.PriorityNormal, time.Hour)
			i.Weight = weights[team]
			if i.Weight > 0 {
				q.Push(start, i)
			}
		}
		i, _ := q.Pop(start)
		q.Done(start, i.ID, measured[i.Team])
		counts[i.Team]++
	}
	return counts
}

func TestSharesFollowWeightAndMeasuredCost(t *testing.T) {
	is := is.New(t)
	equal := map[string]float64{"a": 1, "b": 1}
	is.Equal(countServed(newFairQueue(999, 1), 400, map[string]float64{"a": 3, "b": 1}, nil), map[string]int{"a": 300, "b": 100})
	is.Equal(countServed(newFairQueue(999, 1), 400, equal, map[string]float64{"a": 1, "b": 3}), map[string]int{"a": 300, "b": 100})
}

// Guards against crediting a team for the time in which it sent nothing: on its return the others
// would wait until it has caught up.
func TestIdleTeamEarnsNoCredit(t *testing.T) {
	is := is.New(t)
	q := newFairQueue(999, 1)
	for n := range 300 {
		q.Push(start, item(fmt.Sprint("early", n), "a", config.PriorityNormal, time.Hour))
	}
	countServed(q, 100, map[string]float64{"a": 1}, nil)
	counts := countServed(q, 100, map[string]float64{"a": 1, "b": 1}, nil)
	is.Equal(counts, map[string]int{"a": 50, "b": 50})
}

func TestTrackedTeamsAreBounded(t *testing.T) {
	is := is.New(t)
	q := newFairQueue(8, 1)
	for n := range 4 { // keeps the queue from becoming empty, which would drop all idle teams
		q.Push(start, item(fmt.Sprint("first", n), "a", config.PriorityNormal, time.Hour))
	}
	for n := range 200 {
		q.Push(start, item(fmt.Sprint("held", n), "a", config.PriorityNormal, time.Hour))
		i := item(fmt.Sprint(n), fmt.Sprint("team-", n), config.PriorityNormal, time.Minute)
		i.Cost = 1000
		q.Push(start, i)
		for range 2 {
			next, _ := q.Pop(start)
			q.Done(start, next.ID, 0)
		}
		is.True(q.Len() > 0)
		is.True(q.TrackedTeams() <= 8+4*8)
	}
}

func TestExpectedServiceTimeFollowsCostAndRuns(t *testing.T) {
	is := is.New(t)
	q := newFairQueue(8, 1)
	is.Equal(q.ExpectedServiceTime(3), 3*service)
	for n := range 100 {
		q.Push(start, item(fmt.Sprint(n), "a", config.PriorityNormal, time.Hour))
		q.Pop(start)
		q.Done(start.Add(2*service), fmt.Sprint(n), 0)
	}
	is.Equal(q.ExpectedServiceTime(1).Round(time.Millisecond), 2*service)
}

func TestSecondPushOfAnItemIsRefused(t *testing.T) {
	is := is.New(t)
	q := newFairQueue(8, 1)
	is.Equal(q.Push(start, item("x", "a", config.PriorityNormal, time.Hour)).Refused, nil)
	is.Equal(q.Push(start, item("x", "a", config.PriorityNormal, time.Hour)).Refused.Code, codes.BadRequest)
	q.Pop(start)
	is.Equal(q.Push(start, item("x", "a", config.PriorityNormal, time.Hour)).Refused.Code, codes.BadRequest)
}

func TestPreemptSparesNonPreemptibleRuns(t *testing.T) {
	is := is.New(t)
	q := newFairQueue(8, 1)
	q.Push(start, item("batch", "a", config.PriorityBatch, time.Hour))
	q.Pop(start)
	q.Push(start, item("near-deadline", "b", config.PriorityUrgent, time.Millisecond))
	_, ok := q.Preempt(start)
	is.True(!ok)
}

func TestItemsLeaveOnceAndLimitsHold(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := rapid.IntRange(1, 8).Draw(t, "limit")
		slots := rapid.IntRange(0, 3).Draw(t, "slots")
		mode := rapid.SampledFrom([]queue.Mode{queue.ModeFair, queue.ModeFIFO}).Draw(t, "mode")
		s := queue.Settings{Mode: mode, MaxWaiting: limit, Slots: slots, InitialServiceTime: service}
		q, twin := queue.New(s), queue.New(s)
		departures := make(map[string]int)
		running := make(map[string]bool)
		waiting := make(map[string]bool)
		leave := func(id string) {
			departures[id]++
			if departures[id] != 1 || !waiting[id] {
				t.Fatalf("%s left the queue %d times, waiting %t", id, departures[id], waiting[id])
			}
			delete(waiting, id)
		}
		now := start
		for n := range rapid.IntRange(1, 80).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 50).Draw(t, "ms")) * time.Millisecond)
			switch rapid.IntRange(0, 4).Draw(t, "event") {
			case 0, 1:
				i := drawItem(t, n, now)
				p := q.Push(now, i)
				if !reflect.DeepEqual(p, twin.Push(now, i)) {
					t.Fatal("two queues with equal input differ in output")
				}
				if p.Refused == nil {
					waiting[i.ID] = true
				}
				if p.Evicted != nil {
					leave(p.Evicted.ID)
				}
			case 2:
				i, ok := q.Pop(now)
				if j, also := twin.Pop(now); also != ok || j != i {
					t.Fatal("two queues with equal input differ in output")
				}
				if ok {
					leave(i.ID)
					running[i.ID] = true
					if !i.Deadline.IsZero() && now.After(i.Deadline) {
						t.Fatalf("%s popped after its deadline", i.ID)
					}
				}
			case 3:
				for _, i := range q.Expire(now) {
					leave(i.ID)
				}
				twin.Expire(now)
			case 4:
				for id := range running {
					q.Done(now, id, 2)
					twin.Done(now, id, 2)
					delete(running, id)
					break
				}
			}
			if q.Len() > limit || len(running) > slots || q.TrackedTeams() > 5*limit {
				t.Fatalf("%d waiting, %d running, %d teams", q.Len(), len(running), q.TrackedTeams())
			}
		}
	})
}

func drawItem(t *rapid.T, n int, now time.Time) queue.Item {
	i := queue.Item{ID: fmt.Sprint(n)}
	i.Team = rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "team")
	i.Priority = rapid.SampledFrom([]config.Priority{config.PriorityUrgent, config.PriorityNormal, config.PriorityBatch}).Draw(t, "priority")
	i.Weight = rapid.Float64Range(0, 3).Draw(t, "weight")
	i.Cost = rapid.Float64Range(0, 5).Draw(t, "cost")
	if rapid.Bool().Draw(t, "bounded") {
		i.Deadline = now.Add(time.Duration(rapid.IntRange(0, 200).Draw(t, "deadline")) * time.Millisecond)
	}
	return i
}
