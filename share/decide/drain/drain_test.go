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

// An estimator's draft breaks off in mid-stream during a planned stop.
// Causes: the process ends with its last idle moment instead of its last
// answer, a second signal cuts the grace period, or work still arrives.
func TestInstance(t *testing.T) {
	offered := drain.WorkOffered{ID: "a"}
	ended := drain.WorkEnded{ID: "a"}
	admit := []drain.Action{drain.Admit{ID: "a"}}
	announce := []drain.Action{drain.Announce{}}
	stop := []drain.Action{drain.Stop{Cut: []string{}}}
	for name, steps := range map[string][]step{
		"lingers for late senders": {
			{0, drain.StopRequested{}, announce},
			{1, offered, []drain.Action{drain.Refuse{ID: "a"}}},
			{2, drain.Woken{}, stop},
		},
		"running work finishes": {
			{0, offered, admit},
			{1, drain.StopRequested{}, announce},
			{4, drain.Woken{}, nil},
			{5, ended, stop},
		},
		"work ends within the linger": {
			{0, offered, admit},
			{1, drain.StopRequested{}, announce},
			{2, ended, nil},
			{3, drain.Woken{}, stop},
		},
		"grace is bounded": {
			{0, offered, admit},
			{1, drain.StopRequested{}, announce},
			{11, drain.Woken{}, []drain.Action{drain.Stop{Cut: []string{"a"}}}},
			{12, ended, nil},
		},
		"second stop changes nothing": {
			{0, offered, admit},
			{1, drain.StopRequested{}, announce},
			{9, drain.StopRequested{}, nil},
			{11, drain.Woken{}, []drain.Action{drain.Stop{Cut: []string{"a"}}}},
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

// All three instances are told to stop within two seconds. After 3 s none of them takes
// new work, and none is back for three more; an order that takes 1.5 s at the most would
// end in time at each. It is taken where nobody else does, as long as it surely ends.
func TestOrdersAreTakenWhileAllStop(t *testing.T) {
	is := is.New(t)
	i := drain.NewInstance(drain.Settings{Grace: 8 * time.Second, Linger: 3 * time.Second, Admit: 3 * time.Second})
	order := drain.LastOffered{ID: "order", Bound: 1500 * time.Millisecond}
	i.Step(at(0), drain.WorkOffered{ID: "stream"})
	i.Step(at(0), drain.StopRequested{})
	is.Equal(i.Step(at(5), drain.WorkOffered{ID: "a"}), []drain.Action{drain.Refuse{ID: "a"}})
	is.Equal(i.Step(at(6), order), []drain.Action{drain.Admit{ID: "order"}})
	i.Step(at(6), drain.WorkEnded{ID: "stream"})
	is.Equal(i.State(), drain.StateDraining) // the order is under way
	next := drain.LastOffered{ID: "next", Bound: time.Second}
	is.Equal(i.Step(at(6), next), []drain.Action{drain.Refuse{ID: "next"}}) // else it would never be back
	is.Equal(i.Step(at(6), drain.WorkEnded{ID: "order"}), []drain.Action{drain.Stop{Cut: []string{}}})
	is.Equal(i.Step(at(7), order), []drain.Action{drain.Refuse{ID: "order"}})
}

// Work that might not end within the grace period would be cut, which its caller cannot
// tell from work that was done.
func TestWorkThatMightBeCutIsRefused(t *testing.T) {
	is := is.New(t)
	i := drain.NewInstance(drain.Settings{Grace: 8 * time.Second, Linger: 3 * time.Second, Admit: 3 * time.Second})
	i.Step(at(0), drain.WorkOffered{ID: "stream"})
	i.Step(at(0), drain.StopRequested{})
	late := drain.LastOffered{ID: "order", Bound: 1500 * time.Millisecond}
	is.Equal(i.Step(at(7), late), []drain.Action{drain.Refuse{ID: "order"}})
}

// Orders keep failing for seconds after an instance was stopped, or never
// reach it again after its return. Cause: the news of its leaving comes from
// several places, late and out of order.
func TestPeers(t *testing.T) {
	for name, c := range map[string]struct {
		tell   func(p *drain.Peers)
		usable bool
	}{
		"unknown":                 {func(p *drain.Peers) {}, true},
		"list first":              {func(p *drain.Peers) { p.Heard("x", "i1", false); p.Listed("x", true) }, false},
		"heartbeat first":         {func(p *drain.Peers) { p.Listed("x", false); p.Heard("x", "i1", true) }, false},
		"refusal first":           {func(p *drain.Peers) { p.Refused("x", "i1") }, false},
		"earlier heartbeat after": {func(p *drain.Peers) { p.Heard("x", "i1", true); p.Heard("x", "i1", false) }, false},
		"lagging list after":      {func(p *drain.Peers) { p.Heard("x", "i1", true); p.Listed("x", false) }, false},
		"back with a new incarnation": {func(p *drain.Peers) {
			p.Heard("x", "i1", true)
			p.Heard("x", "i2", false)
		}, true},
		"back before the list knows": {func(p *drain.Peers) {
			p.Heard("x", "i1", true)
			p.Listed("x", true)
			p.Heard("x", "i2", false)
			p.Listed("x", true)
		}, true},
		"back, and leaving again by the list": {func(p *drain.Peers) {
			p.Listed("x", true)
			p.Heard("x", "i1", true)
			p.Heard("x", "i2", false)
			p.Listed("x", false)
			p.Listed("x", true)
		}, false},
		"delayed word of the old incarnation": {func(p *drain.Peers) {
			p.Heard("x", "i1", false)
			p.Heard("x", "i2", false)
			p.Refused("x", "i1")
		}, true},
		"delayed word does not bring the old one back": {func(p *drain.Peers) {
			p.Heard("x", "i1", false)
			p.Heard("x", "i2", true)
			p.Heard("x", "i1", false)
		}, false},
		"first contact with one listed as leaving": {func(p *drain.Peers) {
			p.Listed("x", true)
			p.Heard("x", "i1", false)
		}, false},
		"forgotten": {func(p *drain.Peers) { p.Refused("x", "i1"); p.Gone("x") }, true},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			p := drain.NewPeers()
			c.tell(p)
			is.Equal(p.Usable("x"), c.usable)
		})
	}
}
