package drain_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"verbenaroad.example/share/decide/drain"
)

func at(seconds int) time.Time {
	return time.Date(2026, 12, 1, 9, 0, seconds, 0, time.UTC)
}

type step struct {
	seconds int
	event   drain.Event
	want    []drain.Action
}

// Guards against a streamed answer that breaks off during a planned stop. Causes: the process ends
// when it is idle for a moment instead of after its last answer, a second signal shortens the grace
// period, or work still arrives.
func TestInstance(t *testing.T) {
	offered := drain.WorkOffered{ID: "a"}
	ended := drain.WorkEnded{ID: "a"}
	admit := []drain.Action{drain.Admit{ID: "a"}}
	announce := []drain.Action{drain.Announce{}}
	stop := []drain.Action{drain.EndSends{}, drain.EndAnswers{}, drain.Stop{Unfinished: []string{}}}
	cut := []drain.Action{drain.EndSends{}, drain.EndAnswers{}, drain.Stop{Unfinished: []string{"a"}}}
	for name, steps := range map[string][]step{
		"idle instance waits for late senders": {
			{0, drain.StopRequested{}, announce},
			{1, offered, []drain.Action{drain.Refuse{ID: "a"}}},
			{2, drain.TimerFired{}, stop},
		},
		"running work ends before the stop": {
			{0, offered, admit},
			{1, drain.StopRequested{}, announce},
			{4, drain.TimerFired{}, nil},
			{5, ended, stop},
		},
		"work ends within the linger period": {
			{0, offered, admit},
			{1, drain.StopRequested{}, announce},
			{2, ended, nil},
			{3, drain.TimerFired{}, stop},
		},
		"grace period ends with work running": {
			{0, offered, admit},
			{1, drain.StopRequested{}, announce},
			{11, drain.TimerFired{}, cut},
			{12, ended, nil},
		},
		"second stop request has no effect": {
			{0, offered, admit},
			{1, drain.StopRequested{}, announce},
			{9, drain.StopRequested{}, nil},
			{11, drain.TimerFired{}, cut},
			{12, drain.StopRequested{}, nil},
			{13, offered, []drain.Action{drain.Refuse{ID: "a"}}},
		},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			i := drain.NewInstance(drain.Settings{Grace: 10 * time.Second, Linger: 2 * time.Second})
			for _, s := range steps {
				is.Equal(i.Step(at(s.seconds), s.event), s.want)
			}
		})
	}
}

// Guards against closing the connection of work that waits, although it could still be refused or answered: first what was
// not sent ends, then what has no answer, then the rest, in this order even if the timer is late.
func TestPhasesOfTheGracePeriodEndInOrder(t *testing.T) {
	settings := drain.Settings{Grace: 10 * time.Second, Linger: 2 * time.Second, SendReserve: 4 * time.Second, AnswerReserve: time.Second}
	for name, steps := range map[string][]step{
		"on time": {
			{5, drain.TimerFired{}, nil},
			{6, drain.TimerFired{}, []drain.Action{drain.EndSends{}}},
			{8, drain.TimerFired{}, nil},
			{9, drain.TimerFired{}, []drain.Action{drain.EndAnswers{}}},
			{10, drain.TimerFired{}, []drain.Action{drain.Stop{Unfinished: []string{"a"}}}},
			{11, drain.TimerFired{}, nil},
		},
		"late":           {{12, drain.TimerFired{}, []drain.Action{drain.EndSends{}, drain.EndAnswers{}, drain.Stop{Unfinished: []string{"a"}}}}},
		"work has ended": {{3, drain.WorkEnded{ID: "a"}, []drain.Action{drain.EndSends{}, drain.EndAnswers{}, drain.Stop{Unfinished: []string{}}}}},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			i := drain.NewInstance(settings)
			i.Step(at(0), drain.WorkOffered{ID: "a"})
			i.Step(at(0), drain.StopRequested{})
			for _, s := range steps {
				is.Equal(i.Step(at(s.seconds), s.event), s.want)
			}
		})
	}
}

// Three instances are asked to stop within two seconds. After 3 s none of them admits new work, and
// none is back for another 3 s, although a request of at most 1.5 s would end in time on any of
// them. Such a request is admitted if no other instance takes it and it is certain to end in time.
func TestLastResortWorkIsAdmittedWhileAllInstancesStop(t *testing.T) {
	is := is.New(t)
	i := drain.NewInstance(drain.Settings{Grace: 8 * time.Second, Linger: 3 * time.Second, AdmitPeriod: 3 * time.Second})
	request := drain.LastResortOffered{ID: "request", MaxDuration: 1500 * time.Millisecond}
	i.Step(at(0), drain.WorkOffered{ID: "stream"})
	i.Step(at(0), drain.StopRequested{})
	is.Equal(i.Step(at(5), drain.WorkOffered{ID: "a"}), []drain.Action{drain.Refuse{ID: "a"}})
	is.Equal(i.Step(at(6), request), []drain.Action{drain.Admit{ID: "request"}})
	i.Step(at(6), drain.WorkEnded{ID: "stream"})
	is.Equal(i.State(), drain.StateDraining) // the request is still running
	next := drain.LastResortOffered{ID: "next", MaxDuration: time.Second}
	is.Equal(i.Step(at(6), next), []drain.Action{drain.Refuse{ID: "next"}}) // otherwise the instance might never restart
	stop := []drain.Action{drain.EndSends{}, drain.EndAnswers{}, drain.Stop{Unfinished: []string{}}}
	is.Equal(i.Step(at(6), drain.WorkEnded{ID: "request"}), stop)
	is.Equal(i.Step(at(7), request), []drain.Action{drain.Refuse{ID: "request"}})
}

// Guards against admitting work that may not end within the grace period: it would be aborted, and
// its caller could not tell whether it was done.
func TestWorkThatMayOutlastTheGracePeriodIsRefused(t *testing.T) {
	is := is.New(t)
	i := drain.NewInstance(drain.Settings{Grace: 8 * time.Second, Linger: 3 * time.Second, AdmitPeriod: 3 * time.Second})
	i.Step(at(0), drain.WorkOffered{ID: "stream"})
	i.Step(at(0), drain.StopRequested{})
	late := drain.LastResortOffered{ID: "request", MaxDuration: 1500 * time.Millisecond}
	is.Equal(i.Step(at(7), late), []drain.Action{drain.Refuse{ID: "request"}})

	i = drain.NewInstance(drain.Settings{Grace: 8 * time.Second, Linger: 3 * time.Second, SendReserve: 2 * time.Second, AnswerReserve: time.Second})
	i.Step(at(0), drain.WorkOffered{ID: "stream"})
	i.Step(at(0), drain.StopRequested{})
	late.MaxDuration = 2500 * time.Millisecond
	is.Equal(i.Step(at(5), late), []drain.Action{drain.Refuse{ID: "request"}}) // its answer would have to begin after EndAnswers
}

// Guards against requests that fail for seconds after an instance was stopped, or that no longer
// reach it after its restart: reports of its leaving come from several sources, late and out of
// order.
func TestPeers(t *testing.T) {
	for name, c := range map[string]struct {
		observe func(p *drain.Peers)
		usable  bool
	}{
		"unknown instance":                {func(p *drain.Peers) {}, true},
		"list reports leaving first":      {func(p *drain.Peers) { p.ObserveReport("x", "i1", false); p.ObserveListing("x", true) }, false},
		"heartbeat reports leaving first": {func(p *drain.Peers) { p.ObserveListing("x", false); p.ObserveReport("x", "i1", true) }, false},
		"refusal reports leaving first":   {func(p *drain.Peers) { p.ObserveRefusal("x", "i1") }, false},
		"earlier heartbeat arrives late":  {func(p *drain.Peers) { p.ObserveReport("x", "i1", true); p.ObserveReport("x", "i1", false) }, false},
		"list lags behind":                {func(p *drain.Peers) { p.ObserveReport("x", "i1", true); p.ObserveListing("x", false) }, false},
		"restarted with a new incarnation": {func(p *drain.Peers) {
			p.ObserveReport("x", "i1", true)
			p.ObserveReport("x", "i2", false)
		}, true},
		"restarted while the list still shows it leaving": {func(p *drain.Peers) {
			p.ObserveReport("x", "i1", true)
			p.ObserveListing("x", true)
			p.ObserveReport("x", "i2", false)
			p.ObserveListing("x", true)
		}, true},
		"restarted and listed as leaving again": {func(p *drain.Peers) {
			p.ObserveListing("x", true)
			p.ObserveReport("x", "i1", true)
			p.ObserveReport("x", "i2", false)
			p.ObserveListing("x", false)
			p.ObserveListing("x", true)
		}, false},
		"delayed refusal of the old incarnation": {func(p *drain.Peers) {
			p.ObserveReport("x", "i1", false)
			p.ObserveReport("x", "i2", false)
			p.ObserveRefusal("x", "i1")
		}, true},
		"delayed heartbeat of the old incarnation": {func(p *drain.Peers) {
			p.ObserveReport("x", "i1", false)
			p.ObserveReport("x", "i2", true)
			p.ObserveReport("x", "i1", false)
		}, false},
		"first report of an instance listed as leaving": {func(p *drain.Peers) {
			p.ObserveListing("x", true)
			p.ObserveReport("x", "i1", false)
		}, false},
		"removed": {func(p *drain.Peers) { p.ObserveRefusal("x", "i1"); p.Remove("x") }, true},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			p := drain.NewPeers()
			c.observe(p)
			is.Equal(p.Usable("x"), c.usable)
		})
	}
}
