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
